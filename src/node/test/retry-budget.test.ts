/** Guards against retries that exceed the budget of their service within one window. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {greatestRetryExcess, type RetryBound} from '../../../development/harness/retry-excess.js';
import {RelayInstallation, routeTo, until} from '../../../development/relay/relay-installation.js';

const bound: RetryBound = {ratio: 1, slack: 0, window: 2000};
const streams = 20;
/** Starts of a process within one window. */
const restarts = 5;
/** Milliseconds for which no replica is listed. */
const absence = 1800;
/** Milliseconds from the first arrival of a stream to the crash of its replica; shorter than a stream takes. */
const timeToCrash = 350;

/** Cuts twenty streams, lists the next replica almost a window later, cuts twenty streams there, and lists another replica at once. */
async function crashTwice(installation: RelayInstallation): Promise<void> {
	const begin = (group: string) => Array.from({length: streams}, async (_, index) => installation.call({
		path: '/stream/x', method: 'POST', body: `${group} ${index}`, headers: {'Deadline-Ms': '8000'},
	}));
	const first = begin('first');
	const replica = installation.replicas.get('i-1')!;
	await until(() => replica.seen.length >= streams);
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
		routes: [routeTo('/stream/', {
			kind: 'streaming', resumable: true, timeout_ms: 8000, max_attempts: 4,
		})],
		bounds: {retryRatio: bound.ratio, retryWindow: bound.window, retrySlack: bound.slack},
	});
	context.after(async () => installation.close());
	installation.prepareReplicas(replica => {
		replica.behave({delay: 20, events: 60, gap: 20});
	});
	await crashTwice(installation);
	assertWithinBudget(installation, bound);
});

/** Guards against a share of the budget that each start of a process gets anew. */
test('a fleet whose boxes restart again and again within one window sends no more retries than allowed', async context => {
	const restartBound: RetryBound = {ratio: 0, slack: 20, window: 10_000};
	const installation = await RelayInstallation.start({
		relays: 0, replicas: ['i-1', 'i-2', 'i-3'], bounds: {retryRatio: restartBound.ratio, retryWindow: restartBound.window, retrySlack: restartBound.slack},
	});
	context.after(async () => installation.close());
	installation.prepareReplicas(replica => {
		replica.behave({fault: 'refuse'});
	});
	for (let start = 0; start < restarts; start++) {
		const relay = await installation.addRelay('relay-1');
		await Promise.all(Array.from({length: streams}, async () => installation.call({path: '/calls/x'}, relay)));
		await relay.kill();
	}

	assertWithinBudget(installation, restartBound);
});

function assertWithinBudget({allReplicas}: RelayInstallation, allowed: RetryBound): void {
	const arrivals = allReplicas.flatMap(({seen}) => seen).sort((left, right) => left.at - right.at);
	const retries = arrivals.filter(({id}, index) => arrivals.findIndex(other => other.id === id) < index);
	const most = greatestRetryExcess({
		requestedAt: arrivals.filter(arrival => !retries.includes(arrival)).map(({at}) => at), retriedAt: retries.map(({at}) => at),
	}, allowed);
	assert.ok((most?.excess ?? 0) <= 0, JSON.stringify(most));
}
