/*
 * A replica in need named in its answers how many requests a second it takes from all boxes together. The boxes passed its word on to
 * clients and went on as before: none read it, so each sent its full share, and none knew of what the others sent. The record of
 * the day has a replica that named one a second and got 12 in four seconds of light load, where 11 are allowed; with four boxes and
 * three replicas on loopback it got 436 in four seconds, while every answer was a 200 and no line of any log told of it.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {mostWithin} from '../../../development/harness/most-within.js';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';
import {SteadyClients} from '../../../development/relay/steady-clients.js';

const relayCount = 4;
const replicaIds = ['i-1', 'i-2', 'i-3'];
const limited = 'i-1';
const clientCount = 24;
/** Milliseconds between two requests of a client. */
const clientPause = 60;
/** Milliseconds from the first answer that names a limit until all boxes must know. */
const contactTime = 3000;
/** Milliseconds of the spans in which requests are counted. */
const span = 4000;
/** Spans that are looked at behind that. */
const observedSpans = 2;
/** Requests a second. */
const limit = 1;
/** One and a half times the limit, and five requests. */
const allowed = (1.5 * limit * span / 1000) + 5;
/** Part of its even share that a replica has to get once it names no limit any more. */
const leastShare = 0.5;

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

test('a replica that names a limit gets no more than that of all boxes together, and everybody is served elsewhere', async () => {
	await until(() => arrivalsSince(limited, 0).length > clientCount);
	const namedAt = performance.now();
	const viewsBefore = clients.views.length;
	replica(limited).limit = String(limit);
	await pause(contactTime + (observedSpans * span));
	const most = mostWithin(arrivalsSince(limited, namedAt + contactTime), span);
	const served = clients.views.slice(viewsBefore).filter(({status, isWhole}) => status === 200 && isWhole);
	assert.ok(most <= allowed, `${most} requests in ${span} ms at a replica that takes ${limit} a second; ${allowed} allowed`);
	assert.equal(served.length, clients.views.length - viewsBefore, 'all are served');
	const lines = installation.relays.flatMap(({log}) => log.lines.filter(({eventName}) => eventName === 'requestAnswered'));
	assert.ok(lines.some(({keptFrom}) => keptFrom === 1), 'a line says that its request was kept from a replica');
	const inVain = lines.filter(({failures}) => String(failures).includes('withheld'));
	assert.ok(inVain.length <= clientCount, `${inVain.length} requests were meant for it in vain`);
});

test('a box that sends nothing to it hears of it from the others', () => {
	const idle = installation.relays[relayCount]!;
	const told = idle.log.lines.filter(({eventName, replica: id}) => eventName === 'replicaLimited' && id === limited);
	// In a round of another box, or in the answer to a question of its own.
	assert.ok(told.some(({source}) => source === 'box' || source === 'digest'), JSON.stringify(told));
	assert.ok(idle.log.lines.every(({eventName}) => eventName !== 'requestAnswered'), 'it has heard it from no replica');
});

test('once it names no limit any more it gets its share again', async () => {
	replica(limited).limit = undefined;
	await pause(contactTime + span);
	const since = performance.now() - span;
	const all = replicaIds.map(id => arrivalsSince(id, since).length);
	const total = all.reduce((sum, count) => sum + count, 0);
	const own = arrivalsSince(limited, since).length;
	assert.ok(own >= total / replicaIds.length * leastShare, `${own} of ${total}`);
});
