/*
 * Guards against streams that a stopping box begins too late: their service mostly streams briefly, so that the mean fits into what is left of the grace
 * period, but they last longer and are cut when the process exits, although their clients could have gone to another box at once.
 */
import assert from 'node:assert/strict';
import {describe, test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import {headOf, openRaw, statusesOf} from '../../../development/relay/raw-exchange.js';
import {
	RelayInstallation, routeTo, until, type ClientView, type InstallationPlan, type RelayMember,
} from '../../../development/relay/relay-installation.js';
import type {ReplicaConduct} from '../../../development/relay/replica-standin.js';

/** Milliseconds of a grace period, and after the stop signal from which no stream is begun that may outlast it. */
const grace = 3000;
const lateFrom = 1100;
/** Milliseconds after the stop signal at which a late event comes, while the mean duration of the service still fits into what is left. */
const lateDelay = 1400;
/** Milliseconds before the stop signal at which early requests are sent. */
const lead = 100;
/** Short streams that the box has seen, besides a long one. */
const shortStreams = 12;
const short = {events: 3, gap: 10} as const;
const long = {events: 30, gap: 100} as const;
const path = '/streaming/long';
const routes = [
	routeTo('/streaming/', {
		kind: 'streaming', timeout_ms: 20_000, goal_ms: 15_000, max_attempts: 2,
	}),
	routeTo('/brief/', {
		kind: 'streaming', timeout_ms: 2200, goal_ms: 400, max_attempts: 2,
	}),
];

async function start(context: TestContext, plan: Partial<InstallationPlan> = {}): Promise<RelayInstallation> {
	const installation = await RelayInstallation.start({
		relays: 1, replicas: ['i-1'], routes, bounds: {grace}, ...plan,
	});
	context.after(async () => installation.close());
	installation.prepareReplicas(replica => {
		replica.conductOf = ({url}) => url.pathname.startsWith(path) ? long : short;
	});
	return installation;
}

/** A long stream: the end of its path, and the tokens of its prompt. */
type LongCall = {readonly name?: string; readonly tokens?: string};

const headersOf = (tokens: string | undefined): Readonly<Record<string, string>> => tokens === undefined ? {} : {'Token-Count': tokens};
const callLong = async (installation: RelayInstallation, {name = '', tokens}: LongCall = {}): Promise<ClientView> => installation.call({
	path: `${path}${name}`, method: 'POST', body: 'x', headers: {'Deadline-Ms': '20000', ...headersOf(tokens)},
});

const callShort = async (installation: RelayInstallation, {tokens, relay}: {readonly tokens?: string; readonly relay?: RelayMember} = {}): Promise<ClientView> => installation.call({
	path: '/streaming/short', method: 'POST', body: 'x', headers: headersOf(tokens),
}, relay);

/** Lets the box see how long the streams of the service last. */
async function warmUp(installation: RelayInstallation, tokens?: string): Promise<void> {
	const longOne = callLong(installation, {tokens});
	for (let count = 0; count < shortStreams; count++) {
		await callShort(installation, {tokens});
	}

	assert.equal((await longOne).isWhole, true);
}

/** Stops a relay as its process does after SIGTERM. */
async function stop({node, kill}: RelayMember): Promise<void> {
	await Effect.runPromise(node.stop());
	await kill();
}

const seenSince = ({allReplicas}: RelayInstallation, time: number): number => allReplicas.flatMap(({seen}) => seen).filter(({at}) => at > time).length;

/** @returns What came, in short. */
const describeAnswer = (text: string): string => `${[...text.matchAll(/^id: /gmv)].length} events, ${(/"verdict":"[a-z\-]+"/v.exec(text))?.[0] ?? 'no verdict'}`;

function assertNotRun({status, isWhole, body}: ClientView): void {
	assert.deepEqual([status, isWhole, describeAnswer(body)], [503, true, '0 events, "verdict":"not-run"']);
}

/** Sends half of a body, stops the relay, and sends the rest late; returns what the connection brings. */
async function sendLateBody(relay: RelayMember, target: string): Promise<string> {
	const raw = openRaw(relay);
	raw.send(`${headOf(target, 10)}first`);
	await pause(lead);
	const stopped = stop(relay);
	await pause(lateDelay);
	raw.send('later');
	const {text} = await raw.ended;
	await stopped;
	return text;
}

function assertTextNotRun(text: string): void {
	assert.deepEqual([statusesOf(text), describeAnswer(text)], [[503], '0 events, "verdict":"not-run"']);
}

/** Sends a long stream shortly before the stop, and returns its answer and the replicas' requests late in the grace period. */
async function stopDuring(installation: RelayInstallation, call: () => Promise<ClientView>): Promise<{readonly view: ClientView; readonly lateRequests: number}> {
	const [relay] = installation.relays;
	const answer = call();
	await pause(lead);
	const stoppedAt = performance.now();
	const stopped = stop(relay!);
	const view = await answer;
	await stopped;
	return {view, lateRequests: seenSince(installation, stoppedAt + lateFrom)};
}

describe('a stopping box does not begin a stream that may outlast it', {concurrency: true}, () => {
	test('when its body is complete late', async context => {
		const installation = await start(context);
		await warmUp(installation);
		assertTextNotRun(await sendLateBody(installation.relays[0]!, path));
	});

	test('when its body is complete late, and no request of the service has been seen', async context => {
		const installation = await start(context, {routes: [routeTo('/streaming/', {kind: 'streaming', timeout_ms: 20_000, max_attempts: 1})]});
		assertTextNotRun(await sendLateBody(installation.relays[0]!, path));
	});

	for (const fault of ['refuse', 'elsewhere'] as const satisfies ReadonlyArray<ReplicaConduct['fault']>) {
		test(`when a replica answers late that it did not run it (${fault})`, async context => {
			const installation = await start(context, {replicas: ['i-1', 'i-2']});
			await warmUp(installation);
			let refusals = 0;
			installation.prepareReplicas(replica => {
				replica.conductOf = () => {
					refusals++;
					return refusals === 1 ? {fault, refusalDelay: lead + lateDelay} : long;
				};
			});
			const {view, lateRequests} = await stopDuring(installation, async () => callLong(installation));
			assertNotRun(view);
			assert.equal(lateRequests, 0);
		});
	}

	test('when it could connect to no replica until then', async context => {
		const installation = await start(context);
		await warmUp(installation);
		const [relay] = installation.relays;
		const stopped = stop(relay!);
		await pause(900);
		// Resets the idle connections too.
		relay!.network.state = 'refuse';
		relay!.network.state = 'hang';
		setTimeout(() => {
			relay!.network.state = 'whole';
		}, 400);
		assertNotRun(await callLong(installation));
		await stopped;
	});

	test('when it has waited in the box', async context => {
		const installation = await start(context);
		await warmUp(installation);
		installation.replicas.get('i-1')!.limit = '1';
		await callShort(installation);
		const calls: Array<Promise<ClientView>> = [];
		const {lateRequests} = await stopDuring(installation, async () => {
			calls.push(...Array.from({length: 3}, async () => callLong(installation)));
			return calls[0]!;
		});
		assert.equal(lateRequests, 0);
		const views = await Promise.all(calls);
		assert.ok(views.some(({status}) => status === 503));
		for (const view of views.filter(({status}) => status !== 200)) {
			assertNotRun(view);
		}
	});

	test('when it has waited in the box while a replica reads a long prompt', async context => {
		const installation = await start(context, {relays: 0});
		const relay = await installation.startRelay('relay-1', {scheduling: {placement: 'cost', queueing: 'box', services: 'all'}});
		installation.relays.push(relay);
		await until(() => relay.node.isReady);
		await warmUp(installation, '100');
		installation.replicas.get('i-1')!.conductOf = ({url}) => url.pathname.endsWith('/first') ? {...short, delay: lead + lateDelay} : long;
		const first = callLong(installation, {name: '/first', tokens: '60000'});
		const {view, lateRequests} = await stopDuring(installation, async () => callLong(installation, {tokens: '20000'}));
		assertNotRun(view);
		assert.equal(lateRequests, 0);
		assert.equal((await first).isWhole, true);
	});

	test('when another box would pass it on', async context => {
		const installation = await start(context, {relays: 3});
		await installation.untilAllHeard();
		const [relay] = installation.relays;
		await warmUp(installation);
		relay!.network.state = 'refuse';
		await installation.call({path: '/streaming/first'}, relay);
		await until(() => relay!.log.lines.some(({eventName}) => eventName === 'replicasUnreachable'));
		assertTextNotRun(await sendLateBody(relay!, path));
	});

	test('when another box, which can choose a third one, forwards it', async context => {
		const installation = await start(context, {relays: 3});
		await installation.untilAllHeard();
		const [relay, stopping] = installation.relays;
		await Promise.all(installation.relays.map(async one => callShort(installation, {relay: one})));
		relay!.network.state = 'refuse';
		await callShort(installation, {relay});
		await until(() => relay!.log.lines.some(({eventName}) => eventName === 'replicasUnreachable'));
		const stopped = stop(stopping!);
		const views = await Promise.all(Array.from({length: 6}, async () => callLong(installation)));
		await stopped;
		assert.deepEqual(views.map(({status, isWhole}) => `${status} ${isWhole}`), views.map(() => '200 true'));
	});

	test('when it comes after the load balancer has taken the box out, while other requests are still taken', async context => {
		const installation = await start(context, {bounds: {grace: 10_000}});
		installation.replicas.get('i-1')!.conductOf = ({url}) => url.pathname.startsWith(path) ? {events: 70, gap: 100} : short;
		await callShort(installation);
		const before = callLong(installation);
		await pause(lead);
		const stopped = stop(installation.relays[0]!);
		await pause(3200);
		const [view, brief] = await Promise.all([callLong(installation), installation.call({path: '/brief/x', method: 'POST', body: 'x'})]);
		assertNotRun(view);
		assert.equal(brief.status, 200);
		await before;
		await stopped;
	});
});

test('a stopping box begins a stream whose own time ends before its exit, late in the grace period', async context => {
	const installation = await start(context);
	assert.deepEqual(statusesOf(await sendLateBody(installation.relays[0]!, '/brief/x')), [200]);
});
