/** Guards against retries that exceed the budget of their service within one window. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {greatestRetryExcess} from '../../../development/harness/retry-excess.js';
import {RelayInstallation, routeTo, until} from '../../../development/relay/relay-installation.js';
import type {RetryBound} from '../../quota/retry-window.js';

const bound: RetryBound = {ratio: 0.5, slack: 0, window: 2000};
const streams = 20;
/** Starts of a process within one window. */
const restarts = 5;
/** Milliseconds for which no replica is listed. */
const absence = 1800;
/** Milliseconds from the first arrival of a stream to the crash of its replica; shorter than a stream takes. */
const timeToCrash = 600;

/** Milliseconds between two calls of the steady load, which begins two windows before the first crash. */
const callInterval = 100;
const warmUp = 4500;
/** Milliseconds until boxes that have heard each other have their shares. */
const shareDelay = 1500;

/** Cuts twenty streams, lists the next replica almost a window later, cuts twenty streams there, and lists another replica at once. */
async function crashTwice(installation: RelayInstallation): Promise<void> {
	const begin = (group: string) => Array.from({length: streams}, async (_, index) => installation.call({
		path: '/stream/x', method: 'POST', body: `${group} ${index}`, headers: {'Deadline-Ms': '8000'},
	}));
	const first = begin('first');
	const replica = installation.replicas.get('i-1')!;
	await until(() => replica.seen.filter(({target}) => target === '/stream/x').length === streams);
	await pause(timeToCrash);
	await replica.close();
	installation.unlist('i-1');
	await pause(absence);
	const second = await installation.addReplica('i-2');
	await until(() => second.seen.length > 0);
	const later = begin('later');
	await pause(timeToCrash);
	await second.close();
	installation.unlist('i-2');
	await installation.addReplica('i-3');
	await Promise.all([...first, ...later]);
}

/** Guards against retries that wait for a replica and arrive together with those of the next window. */
test('retries that waited for a replica count in the window in which they arrive', async context => {
	const installation = await RelayInstallation.start({
		relays: 1,
		replicas: ['i-1'],
		routes: [routeTo('/calls/'), routeTo('/stream/', {
			kind: 'streaming', resumable: true, timeout_ms: 8000, max_attempts: 4,
		})],
		bounds: {retryRatio: bound.ratio, retryWindow: bound.window, retrySlack: bound.slack},
	});
	context.after(async () => installation.close());
	installation.prepareReplicas(replica => {
		replica.behave({delay: 20, gap: 20});
		replica.streamEvents = 60;
	});
	const load = setInterval(() => {
		void installation.call({path: '/calls/x'});
	}, callInterval);
	await pause(warmUp);
	await crashTwice(installation);
	clearInterval(load);
	assertWithinBudget(installation, bound);
});

/** Starts relays and three replicas that reject all requests. */
async function startRefusing(context: TestContext, relays: number, {ratio, window, slack}: RetryBound): Promise<RelayInstallation> {
	const installation = await RelayInstallation.start({
		relays, replicas: ['i-1', 'i-2', 'i-3'], bounds: {retryRatio: ratio, retryWindow: window, retrySlack: slack},
	});
	context.after(async () => installation.close());
	installation.prepareReplicas(replica => {
		replica.behave({fault: 'refuse'});
	});
	return installation;
}

/** Guards against a share of the budget that each start of a process gets anew. */
test('a fleet whose boxes restart again and again within one window sends no more retries than allowed', async context => {
	const restartBound: RetryBound = {ratio: 0, slack: 20, window: 10_000};
	const installation = await startRefusing(context, 0, restartBound);
	for (let start = 0; start < restarts; start++) {
		const relay = await installation.addRelay('relay-1');
		await Promise.all(Array.from({length: streams}, async () => installation.call({path: '/calls/x'}, relay)));
		await relay.kill();
	}

	assertWithinBudget(installation, restartBound);
});

/** Guards against a budget of which a box can use its own share alone, although attempts fail at that box only. */
test('a box at which attempts fail uses the shares of the other boxes too', async context => {
	const lentBound: RetryBound = {ratio: 0, slack: 40, window: 10_000};
	const installation = await startRefusing(context, 4, lentBound);
	await installation.untilAllHeard();
	await pause(shareDelay);
	for (let call = 0; call < streams; call++) {
		await installation.call({path: '/calls/x'});
	}

	const arrivals = installation.allReplicas.flatMap(({seen}) => seen);
	const retries = arrivals.length - new Set(arrivals.map(({id}) => id)).size;
	assert.ok(retries >= lentBound.slack * 0.8, `${retries} retries`);
	assertWithinBudget(installation, lentBound);
});

function assertWithinBudget({allReplicas}: RelayInstallation, allowed: RetryBound): void {
	const arrivals = allReplicas.flatMap(({seen}) => seen).sort((left, right) => left.at - right.at);
	const retries = arrivals.filter(({id}, index) => arrivals.findIndex(other => other.id === id) < index);
	const most = greatestRetryExcess({
		requestedAt: arrivals.filter(arrival => !retries.includes(arrival)).map(({at}) => at), retriedAt: retries.map(({at}) => at),
	}, allowed);
	assert.ok((most?.excess ?? 0) <= 0, JSON.stringify(most));
}
