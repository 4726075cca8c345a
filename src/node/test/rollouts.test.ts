/** Proves on running relays that a bad version gets few requests and is reverted, and that a good one becomes complete without cutting requests. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {rolloutKind} from '../../../platform/formats.js';
import {
	RelayInstallation, routeTo, until, type ClientView,
} from '../../../development/relay/relay-installation.js';
import type {ReplicaConduct, ReplicaStandin} from '../../../development/relay/replica-standin.js';

const service = 'plain';
const target = 'v2';
const relays = 4;
const replicasOfVersion = 6;
/** Milliseconds between two requests of the clients. */
const requestInterval = 4;
/** Seconds and milliseconds in which a rollout is to be decided. */
const duration = {seconds: 12, milliseconds: 12_000};
const bound = {share: 0.1, slack: 50, rollback: 5000};
/** Milliseconds of load before an order. */
const warmUp = 1500;
/** Milliseconds after the tenth bad answer from which on no request may reach the version. */
const reactionTime = 1000;
/** Requests that a bad version may get in all. */
const badExposure = 30;

/** How the replicas of the new version respond to a request. */
type Conduct = NonNullable<ReplicaStandin['conductOf']>;

/** A deployment under constant load. */
type Load = {
	readonly installation: RelayInstallation;
	readonly answers: ClientView[];
	readonly orderedAt: () => number;
	readonly order: () => void;
	readonly state: () => string | undefined;
	readonly newRuns: () => ReadonlyArray<{readonly at: number; readonly isBad: boolean}>;
	readonly stop: () => Promise<void>;
};

async function startLoad(context: TestContext, conductOf: Conduct): Promise<Load> {
	const installation = await RelayInstallation.start({
		relays, replicas: [], routes: [routeTo('/calls/', {timeout_ms: 4000}), routeTo('/other/', {kind: 'non_idempotent', max_attempts: 1}), routeTo('/stream/', {kind: 'streaming', resumable: true})], rollout: bound,
	});
	const answers: ClientView[] = [];
	const running = {isOn: true};
	let orderedAt = Number.POSITIVE_INFINITY;
	const bad: Array<{readonly at: number; readonly isBad: boolean}> = [];
	const start = async (id: string, version: string) => {
		const replica = await installation.addReplica(id, {version, slots: 16});
		replica.behave({delay: 12});
		replica.streamEvents = 6;
		if (version === target) {
			replica.conductOf = (request, inProgress) => {
				const changes = conductOf(request, inProgress);
				bad.push({at: performance.now(), isBad: Object.keys(changes).length > 0});
				return changes;
			};
		}
	};

	await Promise.all(Array.from({length: replicasOfVersion}, async (_, index) => start(`old-${index}`, 'v1')));
	await installation.untilAllHeard();
	const paths = ['/calls/x', '/other/x', '/stream/x'];
	const calls: Array<Promise<unknown>> = [];
	const generating = (async () => {
		for (let index = 0; running.isOn; index++) {
			const relay = installation.relays[index % installation.relays.length];
			calls.push(installation.call({path: paths[index % paths.length]!, method: 'POST', body: 'x'}, relay).then(view => answers.push(view)));
			await pause(requestInterval);
		}
	})();
	await pause(warmUp);
	const stop = async () => {
		running.isOn = false;
		await generating;
		await Promise.all(calls);
	};

	context.after(async () => {
		await stop();
		await installation.close();
	});
	return {
		installation,
		answers,
		orderedAt: () => orderedAt,
		order() {
			orderedAt = performance.now();
			installation.store.put(rolloutKind, service, {service, target_version: target, duration_s: duration.seconds});
			void Promise.all(Array.from({length: replicasOfVersion}, async (_, index) => start(`new-${index}`, target)));
		},
		state: () => (installation.store.status(rolloutKind, service) as {readonly state?: string} | undefined)?.state,
		newRuns: () => bad,
		stop,
	};
}

/** Runs a rollout of a version that must be found bad. */
async function assertReverted(context: TestContext, conductOf: Conduct): Promise<void> {
	const load = await startLoad(context, conductOf);
	load.order();
	await until(() => load.state() === 'reverted' || load.state() === 'complete', duration.milliseconds + 3000);
	const decidedAfter = performance.now() - load.orderedAt();
	assert.equal(load.state(), 'reverted');
	await pause(reactionTime);
	const runs = load.newRuns();
	const tenthBad = runs.filter(({isBad}) => isBad)[9]?.at ?? Number.POSITIVE_INFINITY;
	context.diagnostic(`reverted after ${Math.round(decidedAfter)} ms and ${runs.length} requests, ${runs.filter(({isBad}) => isBad).length} of them bad`);
	assert.ok(runs.length <= bound.slack + (bound.share * load.answers.length), `${runs.length} requests`);
	assert.equal(runs.filter(({at}) => at > tenthBad + reactionTime).length, 0);
	assert.ok(decidedAfter <= duration.milliseconds);
}

const isEvery = (count: number) => {
	let requests = 0;
	return () => {
		requests++;
		return requests % count === 0;
	};
};

const error: Partial<ReplicaConduct> = {fault: 'error'};
const slow: Partial<ReplicaConduct> = {delay: 90};

test('a version that fails all requests is reverted after few of them', async context => {
	const load = await startLoad(context, () => error);
	load.order();
	await until(() => load.state() === 'reverted', duration.milliseconds);
	await pause(reactionTime);
	context.diagnostic(`${load.newRuns().length} requests`);
	assert.ok(load.newRuns().length <= badExposure, `${load.newRuns().length} requests`);
});

test('a version that fails part of the requests is reverted', async context => {
	const isBad = isEvery(2);
	await assertReverted(context, () => isBad() ? error : {});
});

test('a version that is several times slower is reverted', async context => {
	await assertReverted(context, () => slow);
});

test('a version that is bad on one route only is reverted', async context => {
	await assertReverted(context, ({url}) => url.pathname.startsWith('/other/') ? error : {});
});

test('a version that is bad under load only is reverted', async context => {
	await assertReverted(context, (_, inProgress) => inProgress > 0 ? error : {});
});

test('a version that becomes bad later is reverted', async context => {
	let requests = 0;
	await assertReverted(context, () => {
		requests++;
		return requests > 40 ? error : {};
	});
});

/** Kills a relay and starts it again under its name. */
async function restart(installation: RelayInstallation, index: number): Promise<void> {
	const {name, kill} = installation.relays[index]!;
	await kill();
	const started = await installation.startRelay(name);
	installation.relays[index] = started;
}

test('a bad version is reverted within its bound although relays are killed, all relays are lost and the store is silent', async context => {
	const isBad = isEvery(3);
	const load = await startLoad(context, () => isBad() ? error : {});
	const {installation} = load;
	load.order();
	await until(() => load.newRuns().length > 0);
	await restart(installation, 0);
	installation.store.faults = {...installation.store.faults, isSilent: true};
	await pause(700);
	installation.store.clearFaults();
	await Promise.all(installation.relays.map(async (_, index) => restart(installation, index)));
	await until(() => load.state() === 'reverted' || load.state() === 'complete', duration.milliseconds * 2);
	assert.equal(load.state(), 'reverted');
	const runs = load.newRuns().length;
	context.diagnostic(`reverted after ${Math.round(performance.now() - load.orderedAt())} ms and ${runs} requests`);
	assert.ok(runs <= bound.slack + (bound.share * load.answers.length), `${runs} requests`);
	await pause(reactionTime);
	const before = load.newRuns().length;
	await Promise.all(installation.relays.map(async (_, index) => restart(installation, index)));
	await pause(reactionTime * 2);
	assert.equal(load.newRuns().length, before, 'relays that start later send nothing to a version that was reverted');
});

test('a good version is complete although relays are killed and all relays are lost', async context => {
	const load = await startLoad(context, () => ({}));
	const {installation} = load;
	load.order();
	await until(() => load.newRuns().length > 0);
	await restart(installation, 1);
	await pause(500);
	await Promise.all(installation.relays.map(async (_, index) => restart(installation, index)));
	await until(() => load.state() === 'complete' || load.state() === 'reverted', duration.milliseconds * 2);
	assert.equal(load.state(), 'complete', JSON.stringify(installation.store.status(rolloutKind, service)));
});

test('a good version is complete in time, and no request is lost when the old replicas stop at once', async context => {
	const load = await startLoad(context, () => ({}));
	load.order();
	await until(() => load.state() === 'complete' || load.state() === 'reverted', duration.milliseconds);
	const decidedAfter = performance.now() - load.orderedAt();
	assert.equal(load.state(), 'complete', JSON.stringify(load.installation.store.status(rolloutKind, service)));
	await Promise.all(Array.from({length: replicasOfVersion}, async (_, index) => load.installation.replicas.get(`old-${index}`)!.close()));
	await pause(1000);
	await load.stop();
	const failed = load.answers.filter(({status, isWhole}) => status !== 200 || !isWhole);
	context.diagnostic(`complete after ${Math.round(decidedAfter)} ms; ${load.answers.length} requests, ${failed.length} failed`);
	assert.deepEqual(failed.map(({status, body}) => `${status} ${body}`), []);
});
