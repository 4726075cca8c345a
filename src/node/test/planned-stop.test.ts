/*
 * Guards against requests that a stopping box has read and that end without an answer: those that waited for a slot of their replica, or whose body was
 * complete only late in the grace period, got a reset connection when the process exited; those behind another one on its connection were discarded.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {describe, test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import {headOf, openRaw, statusesOf} from '../../../development/relay/raw-exchange.js';
import {
	RelayInstallation, routeTo, until, type ClientView, type InstallationPlan, type RelayMember,
} from '../../../development/relay/relay-installation.js';
import type {SeenRequest} from '../../../development/relay/replica-standin.js';

/** Milliseconds for which replicas work on a request; longer than each grace period. */
const work = 4000;
const kinds = ['non_idempotent', 'idempotent', 'streaming'] as const;
const graces = [2000, 3000] as const;
/** Milliseconds that a request is known to take, and the time after the stop signal at which less than that is left. */
const usualWork = 600;
const lateBodyDelay = 1400;
/** Bytes of an answer that exceeds the buffers of the system, and milliseconds after the stop signal at which its client begins to read, shortly after the planned exit. */
const largeAnswer = 12_000_000;
const slowReaderDelay = 3600;
const routes = kinds.map(kind => routeTo(`/${kind}/`, {
	kind, timeout_ms: 20_000, goal_ms: 15_000, max_attempts: 1,
}));

async function start(context: TestContext, plan: Partial<InstallationPlan> & {readonly grace: number}): Promise<RelayInstallation> {
	const installation = await RelayInstallation.start({
		relays: 1, replicas: ['i-1'], routes, bounds: {grace: plan.grace}, ...plan,
	});
	context.after(async () => installation.close());
	return installation;
}

/** Stops a relay as its process does after SIGTERM. */
async function stop({node, kill}: RelayMember): Promise<void> {
	await Effect.runPromise(node.stop());
	await kill();
}

const seenAt = ({allReplicas}: RelayInstallation): readonly SeenRequest[] => allReplicas.flatMap(({seen}) => seen);
const callAll = (installation: RelayInstallation, relay: RelayMember, paths: readonly string[]): ReadonlyArray<Promise<ClientView>> =>
	paths.map(async path => installation.call({
		path, method: 'POST', body: 'x', headers: {'Deadline-Ms': '20000'},
	}, relay));

function assertRefused(view: ClientView, status: number, verdict: string): void {
	assert.equal(view.status, status);
	assert.ok(view.isWhole);
	assert.equal((JSON.parse(view.body) as {readonly verdict: unknown}).verdict, verdict);
}

/** Sends half of a body, stops the relay, and sends the rest late; returns what the connection brings. */
async function sendLateBody(relay: RelayMember): Promise<string> {
	const raw = openRaw(relay);
	raw.send(`${headOf('/non_idempotent/late', 10)}first`);
	await pause(100);
	const stopped = stop(relay);
	await pause(lateBodyDelay);
	raw.send('later');
	await stopped;
	const {text} = await raw.ended;
	return text;
}

describe('a planned stop', {concurrency: true}, () => {
	for (const grace of graces) {
		for (const kind of kinds) {
			test(`answers ${kind} requests that run or wait for a slot at their replica when the grace period of ${grace} ms ends`, async context => {
				const installation = await start(context, {grace});
				const [relay] = installation.relays;
				const replica = installation.replicas.get('i-1')!;
				replica.behave({delay: work});
				replica.room = {slots: 1, waiting: 10, rejections: Number.POSITIVE_INFINITY};
				const calls = callAll(installation, relay!, Array.from({length: 4}, (_, index) => `/${kind}/${index}`));
				await until(() => replica.seen.length === calls.length);
				const stoppedAt = performance.now();
				const stopped = stop(relay!);
				const views = await Promise.all(calls);
				await stopped;
				assert.ok(performance.now() - stoppedAt < grace);
				for (const view of views) {
					assertRefused(view, 502, 'may-have-run');
				}
			});
		}
	}

	test('answers requests that were forwarded to the stopping box or from it', async context => {
		const installation = await start(context, {grace: 2000, relays: 3});
		await installation.untilAllHeard();
		const [cut, ...others] = installation.relays;
		cut!.network.state = 'refuse';
		await installation.call({path: '/idempotent/first'}, cut);
		await until(() => cut!.log.lines.some(({eventName}) => eventName === 'replicasUnreachable'));
		installation.replicas.get('i-1')!.behave({delay: work});
		const calls = callAll(installation, cut!, Array.from({length: 6}, (_, index) => `/non_idempotent/${index}`));
		await until(() => seenAt(installation).filter(({target}) => target.startsWith('/non_idempotent/')).length === calls.length);
		await Promise.all([stop(others[0]!), pause(300).then(async () => stop(cut!))]);
		for (const view of await Promise.all(calls)) {
			assertRefused(view, 502, 'may-have-run');
		}
	});

	test('refuses a request that waits in the box as not run', async context => {
		const installation = await start(context, {grace: 2000});
		const [relay] = installation.relays;
		const replica = installation.replicas.get('i-1')!;
		replica.limit = '0.2';
		await installation.call({path: '/non_idempotent/first', method: 'POST', body: 'x'});
		const calls = callAll(installation, relay!, Array.from({length: 3}, (_, index) => `/non_idempotent/${index}`));
		await pause(100);
		const before = replica.seen.length;
		await stop(relay!);
		const views = await Promise.all(calls);
		const refused = views.filter(({status}) => status !== 200);
		assert.ok(refused.length > 0);
		assert.equal(replica.seen.length - before <= views.length - refused.length, true);
		for (const view of refused) {
			assertRefused(view, 503, 'not-run');
		}
	});

	test('refuses a request whose body is not complete when the grace period ends, and passes nothing on', async context => {
		const installation = await start(context, {grace: 2000});
		const [relay] = installation.relays;
		const raw = openRaw(relay!);
		raw.send(`${headOf('/non_idempotent/slow', 10)}first`);
		await pause(100);
		await stop(relay!);
		const {text} = await raw.ended;
		assert.deepEqual(statusesOf(text), [503]);
		assert.match(text, /"verdict":"not-run"/v);
		assert.equal(seenAt(installation).length, 0);
	});

	test('does not pass on a request whose body is complete when too little of the grace period is left to serve it', async context => {
		const installation = await start(context, {grace: 2000});
		const [relay] = installation.relays;
		const replica = installation.replicas.get('i-1')!;
		replica.behave({delay: usualWork});
		await Promise.all(callAll(installation, relay!, Array.from({length: 4}, (_, index) => `/non_idempotent/${index}`)));
		const before = replica.seen.length;
		const text = await sendLateBody(relay!);
		assert.deepEqual(statusesOf(text), [503]);
		assert.match(text, /"verdict":"not-run"/v);
		assert.equal(replica.seen.length, before);
	});

	test('serves a request whose body is complete while enough of the grace period is left', async context => {
		const installation = await start(context, {grace: 3000});
		const [relay] = installation.relays;
		installation.replicas.get('i-1')!.behave({delay: 100});
		await Promise.all(callAll(installation, relay!, ['/non_idempotent/first']));
		assert.deepEqual(statusesOf(await sendLateBody(relay!)), [200]);
	});

	// Connections that waited to be accepted, and requests that had not been read, were reset as the process exited.
	test('refuses new connections before the process exits, and still answers on open ones', async context => {
		const installation = await start(context, {grace: 2000});
		const [relay] = installation.relays;
		const kept = openRaw(relay!);
		kept.send(`${headOf('/idempotent/first', 1)}x`);
		await until(() => kept.received().endsWith('answer of i-1'));
		await Effect.runPromise(relay!.node.stop());
		assert.equal((await installation.call({path: '/idempotent/new'})).status, 0);
		kept.send(`${headOf('/idempotent/second', 1)}x`);
		assert.deepEqual(statusesOf((await kept.ended).text), [200, 503]);
	});

	// The exit reset answers of which the box had all, and the system not yet.
	test('delivers a whole answer whose client reads slowly, as long as the process may wait', async context => {
		const installation = await start(context, {grace: 4000});
		const [relay] = installation.relays;
		const replica = installation.replicas.get('i-1')!;
		replica.behave({padding: largeAnswer});
		const client = connect(relay!.port, '127.0.0.1');
		client.write(`${headOf('/idempotent/large', 1)}x`);
		await until(() => relay!.log.lines.some(({eventName}) => eventName === 'requestAnswered'));
		const stopped = stop(relay!);
		await pause(slowReaderDelay);
		let bytes = 0;
		client.on('data', data => {
			bytes += data.length;
		}).on('error', () => undefined);
		await once(client, 'close');
		await stopped;
		assert.ok(bytes > largeAnswer, `${bytes} bytes of ${largeAnswer}`);
	});

	test('answers the requests that arrived behind another one on its connection', async context => {
		const installation = await start(context, {grace: 2000});
		const [relay] = installation.relays;
		const replica = installation.replicas.get('i-1')!;
		replica.behave({delay: 300});
		const raw = openRaw(relay!);
		raw.send([1, 2, 3].map(number => `${headOf(`/non_idempotent/${number}`, 1)}x`).join(''));
		await until(() => replica.seen.length === 1);
		await stop(relay!);
		const {text} = await raw.ended;
		const statuses = statusesOf(text);
		assert.equal(statuses.length, 3, text);
		assert.equal(statuses.filter(status => status === 200).length, replica.runs.length);
		assert.equal(text.match(/Connection: close/gv)?.length, 1);
	});
});
