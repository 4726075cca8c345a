/*
 * Guards against boxes that ignore what a replica states in its responses. They went on sending requests to a replica whose responses announced that it
 * leaves, until the list of the store said so, and to a replica that had answered 503 and asked for a pause.
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
/** Milliseconds for which requests are counted after a statement of a replica. */
const observationTime = 6000;
/** Milliseconds after a response that announces a departure from which on the box that received it must send no requests. */
const drainTime = 2000;
/** Seconds of the pause that a replica asks for. */
const pauseAsked = 3;
/** Milliseconds after the response that asks for a pause from which on requests are counted. */
const pauseNotice = 500;
/** Number of requests that may still arrive during the pause. */
const pauseSlack = 2;
/** Milliseconds within which a request that cannot be served is refused. */
const refusalTime = 200;
/** Milliseconds in which the boxes and their clients start up. */
const settleTime = 1500;

let installation: RelayInstallation;
let clients: SteadyClients;

const observedReplica = (): ReplicaStandin => installation.replicas.get('i-1')!;
const relayOf = ({id}: SeenRequest): string => id.split(':')[0]!;
const byRelay = (requests: readonly SeenRequest[]): ReadonlyMap<string, readonly SeenRequest[]> => groupBy(requests, request => relayOf(request));

/** @returns For each pause that a replica asked a relay for, the number of requests that the relay sent during it. */
function requestsInPauses(requests: readonly SeenRequest[]): readonly number[] {
	return requests
		.filter(({requestedPause: asked}) => asked !== undefined)
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
	await until(() => [...byRelay(observedReplica().seen).values()].length === relayCount);
	await pause(settleTime);
});

afterEach(async () => {
	await clients.stop();
	await installation.close();
});

/** Relays of a busy test process close connections unread; nothing else may happen to a request of a client. */
async function assertServed(before: number): Promise<void> {
	const unserved = clients.views.slice(before).filter(({status}) => status !== 200);
	assert.deepEqual(unserved.filter(({status}) => status !== 0), [], 'no request is refused or fails');
	assert.equal(await installation.countCut(), 0, 'all requests are served whose connections were read');
}

test('a box sends no requests to a replica whose responses announce that it leaves, whatever its entry in the store says', async () => {
	const before = clients.views.length;
	const announcedAt = performance.now();
	observedReplica().isLeaving = true;
	await pause(observationTime);
	const after = [...byRelay(observedReplica().seen.filter(({at}) => at >= announcedAt)).values()];
	const late = after.flatMap(requests => requests.filter(({at}) => at > requests[0]!.at + drainTime));
	assert.equal(late.length, 0, `${late.length} requests later than ${drainTime} ms after the first response that announced it`);
	await assertServed(before);
	const idle = installation.relays[relayCount]!;
	assert.ok(idle.log.lines.some(({eventName, source}) => eventName === 'replicaAnnouncedLeaving' && source === 'box'), 'a box without requests learns of it');
	await installation.crashReplica('i-1');
	await until(() => observedReplica().isUp && observedReplica().runs.length > 0);
});

test('a request whose replicas are all leaving is refused at once with a retry time', async () => {
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

test('a box whose replicas have all asked it for a pause refuses requests at once; another box serves them until it is asked for a pause too', async () => {
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

test('a box sends no requests to a replica that has answered 503 and asked for a pause', async () => {
	const before = clients.views.length;
	observedReplica().shedding = {every: 2, retryAfter: String(pauseAsked)};
	await pause(observationTime);
	const most = Math.max(...[...byRelay(observedReplica().seen).values()].flatMap(requests => requestsInPauses(requests)));
	assert.ok(observedReplica().seen.some(({requestedPause: asked}) => asked !== undefined), 'the replica has asked for a pause');
	assert.ok(most <= pauseSlack, `${most} requests of one box in a pause of ${pauseAsked} s`);
	await assertServed(before);
});
