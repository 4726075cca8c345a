/*
 * Guards against boxes that ignore the request limit of a replica. An overloaded replica announced in its responses how many requests per second it accepts
 * from all boxes together. The boxes passed the header on to clients but did not read it, so each sent its full share, and none knew what the other boxes
 * sent. In the incident a replica that announced one request per second got 12 in four seconds of light load, where 11 are allowed; with four boxes and three
 * replicas on loopback it got 436 in four seconds, while every response was a 200 and no log line showed it.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {maxWithin} from '../../../development/harness/max-within.js';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';
import {SteadyClients} from '../../../development/relay/steady-clients.js';

const relayCount = 4;
const replicaIds = ['i-1', 'i-2', 'i-3'];
const limited = 'i-1';
const clientCount = 24;
/** Milliseconds between two requests of a client. */
const clientPause = 60;
/** Milliseconds from the first response with a limit after which all boxes must know it. */
const contactTime = 3000;
/** Length in milliseconds of the spans in which requests are counted. */
const span = 4000;
/** Number of spans that are observed after that. */
const observedSpans = 2;
/** Limit in requests per second. */
const limit = 1;
/** Requests allowed in a span: one and a half times the limit, and five more. */
const allowed = (1.5 * limit * span / 1000) + 5;
/** Minimum part of its equal share that a replica must get once it announces no limit any more. */
const minShare = 0.5;

let installation: RelayInstallation;
let clients: SteadyClients;

const replica = (id: string) => installation.replicas.get(id)!;
const arrivalsSince = (id: string, since: number): readonly number[] => replica(id).seen.filter(({at}) => at >= since).map(({at}) => at);

before(async () => {
	// One relay has no clients.
	installation = await RelayInstallation.start({relays: relayCount + 1, replicas: replicaIds});
	installation.prepareReplicas(each => {
		each.behave({delay: 20});
	});
	clients = SteadyClients.start(installation, {clients: clientCount, pause: clientPause, relays: installation.relays.slice(0, relayCount)});
});

after(async () => {
	await clients.stop();
	await installation.close();
});

test('a replica that announces a limit gets no more requests than that from all boxes together, and the other replicas serve the rest', async () => {
	await until(() => arrivalsSince(limited, 0).length > clientCount);
	const announcedAt = performance.now();
	const viewsBefore = clients.views.length;
	replica(limited).limit = String(limit);
	await pause(contactTime + (observedSpans * span));
	const maxArrivals = maxWithin(arrivalsSince(limited, announcedAt + contactTime), span);
	const unserved = clients.views.slice(viewsBefore).filter(({status, isWhole}) => status !== 200 || !isWhole);
	assert.ok(maxArrivals <= allowed, `${maxArrivals} requests in ${span} ms at a replica with a limit of ${limit} per second; ${allowed} allowed`);
	// Relays of a busy test process close connections unread; nothing else may happen to a request.
	assert.deepEqual(unserved.filter(({status}) => status !== 0), [], 'no request is refused or fails');
	assert.equal(await installation.countCut(), 0, 'all requests are served whose connections were read');
	const lines = installation.relays.flatMap(({log}) => log.lines.filter(({eventName}) => eventName === 'requestAnswered'));
	assert.ok(lines.some(({keptFrom}) => keptFrom === 1), 'a log line says that a replica was excluded for its request');
	const withheld = lines.filter(({failures}) => String(failures).includes('withheld'));
	assert.ok(withheld.length <= clientCount, `${withheld.length} requests chose the replica and were withheld`);
});

test('a box that sends no requests to the replica learns the limit from the other boxes', () => {
	const idle = installation.relays[relayCount]!;
	const limitLines = idle.log.lines.filter(({eventName, replica: id}) => eventName === 'replicaLimited' && id === limited);
	// In a gossip message of another box, or in the digest that it requested.
	assert.ok(limitLines.some(({source}) => source === 'box' || source === 'digest'), JSON.stringify(limitLines));
	assert.ok(idle.log.lines.every(({eventName}) => eventName !== 'requestAnswered'), 'the box has received no response of a replica');
});

test('a replica that no longer announces a limit gets its share of the requests again', async () => {
	replica(limited).limit = undefined;
	await pause(contactTime + span);
	const since = performance.now() - span;
	const all = replicaIds.map(id => arrivalsSince(id, since).length);
	const total = all.reduce((sum, count) => sum + count, 0);
	const limitedCount = arrivalsSince(limited, since).length;
	assert.ok(limitedCount >= total / replicaIds.length * minShare, `${limitedCount} of ${total}`);
});
