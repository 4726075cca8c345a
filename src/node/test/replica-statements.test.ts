/*
 * Boxes went on sending requests to a replica whose answers said that it leaves, until the store's list said so, and to one that had answered 503 and asked
 * for a time without requests.
 */
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';
import {SteadyClients} from '../../../development/relay/steady-clients.js';
import type {ReplicaStandin, SeenRequest} from '../../../development/relay/replica-standin.js';
import {groupBy} from '../../base/group-by.js';

const relayCount = 4;
const clientCount = 24;
/** Milliseconds between two requests of a client. */
const clientPause = 60;
/** Milliseconds for which requests are counted after a replica has said something of itself. */
const observed = 6000;
/** Milliseconds after an answer that says that its replica leaves, from which on the box that got it sends it nothing. */
const drainTime = 2000;
/** Seconds without requests that a replica asks for. */
const pauseAsked = 3;
/** Milliseconds after the answer that asks for them, from which on requests count. */
const pauseNotice = 500;
/** Requests that may come in that time all the same. */
const pauseSlack = 2;
/** Milliseconds within which what cannot be served is refused. */
const refusalTime = 200;
const settleTime = 1500;

let installation: RelayInstallation;
let clients: SteadyClients;

const told = (): ReplicaStandin => installation.replicas.get('i-1')!;
const relayOf = ({id}: SeenRequest): string => id.split(':')[0]!;
const byRelay = (requests: readonly SeenRequest[]): ReadonlyMap<string, readonly SeenRequest[]> => groupBy(requests, request => relayOf(request));

/** Requests at a replica that a relay sent in a time in which that relay had been asked for none. */
function inPauses(requests: readonly SeenRequest[]): readonly number[] {
	return requests
		.filter(({pauseAsked: asked}) => asked !== undefined)
		.map(({at}) => requests.filter(other => other.at > at + pauseNotice && other.at < at + (pauseAsked * 1000)).length);
}

beforeEach(async () => {
	// One relay has no clients.
	installation = await RelayInstallation.start({relays: relayCount + 1, replicas: ['i-1', 'i-2', 'i-3']});
	installation.prepareReplicas(replica => {
		replica.behave({delay: 20});
	});
	clients = SteadyClients.start(installation, {
		clients: clientCount, pause: clientPause, relays: installation.relays.slice(0, relayCount), headers: ({name}, number) => ({'Attempt-Id': `${name}:${number}`}),
	});
	await until(() => [...byRelay(told().seen).values()].length === relayCount);
	await pause(settleTime);
});

afterEach(async () => {
	await clients.stop();
	await installation.close();
});

test('a box sends nothing to a replica that says in its answers that it leaves, whatever its entry in the store says', async () => {
	const before = clients.views.length;
	const saidAt = performance.now();
	told().isLeaving = true;
	await pause(observed);
	const after = [...byRelay(told().seen.filter(({at}) => at >= saidAt)).values()];
	const late = after.flatMap(requests => requests.filter(({at}) => at > requests[0]!.at + drainTime));
	assert.equal(late.length, 0, `${late.length} requests later than ${drainTime} ms after the first answer that said so`);
	const served = clients.views.slice(before).filter(({status}) => status === 200);
	assert.equal(served.length, clients.views.length - before, 'all are served');
	const idle = installation.relays[relayCount]!;
	assert.ok(idle.log.lines.some(({eventName, source}) => eventName === 'replicaAnnouncedLeaving' && source === 'box'), 'a box without requests learns of it');
	await installation.end('i-1');
	await until(() => told().isUp && told().runs.length > 0);
});

test('a request whose replicas all leave is refused at once, with a time to come back', async () => {
	for (const replica of installation.replicas.values()) {
		replica.isLeaving = true;
	}

	await pause(drainTime);
	const since = performance.now();
	const view = await installation.call({path: '/calls/late'});
	assert.equal(view.status, 503);
	assert.ok(Number(view.headers['retry-after']) > 0);
	assert.ok(performance.now() - since < refusalTime);
});

test('a request whose replicas have all asked its box for a pause is refused at once; another box serves it until it is asked too', async () => {
	await clients.stop();
	for (const replica of installation.replicas.values()) {
		replica.shedding = {every: 1, retryAfter: String(pauseAsked)};
	}

	await installation.call({path: '/calls/first'});
	for (const replica of installation.replicas.values()) {
		replica.shedding = undefined;
	}

	const since = performance.now();
	const refused = await installation.call({path: '/calls/second'});
	assert.equal(refused.status, 503);
	assert.ok(performance.now() - since < refusalTime);
	assert.ok(Number(refused.headers['retry-after']) < 1, 'another box may serve it soon');
	assert.equal((await installation.call({path: '/calls/third'}, installation.relays[1])).status, 200);
	await pause((pauseAsked * 1000) + pauseNotice);
	assert.equal((await installation.call({path: '/calls/fourth'})).status, 200);
});

test('a box sends nothing to a replica that has turned it away and asked for a time without requests', async () => {
	const before = clients.views.length;
	told().shedding = {every: 2, retryAfter: String(pauseAsked)};
	await pause(observed);
	const most = Math.max(...[...byRelay(told().seen).values()].flatMap(requests => inPauses(requests)));
	assert.ok(told().seen.some(({pauseAsked: asked}) => asked !== undefined), 'requests are turned away');
	assert.ok(most <= pauseSlack, `${most} requests of one box in ${pauseAsked} s in which it had been asked for none`);
	const served = clients.views.slice(before).filter(({status}) => status === 200);
	assert.equal(served.length, clients.views.length - before, 'all are served');
});
