/*
 * Guards against boxes that ignore a store that was restored from a backup. They ignored its list of replicas until its revision had passed the one that
 * they knew: they went on sending requests to a replica that was leaving, and used no new replica.
 */
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {configurationKind, configurationName} from '../../../platform/formats.js';
import {RelayInstallation, testKey, until} from '../../../development/relay/relay-installation.js';
import {SteadyClients} from '../../../development/relay/steady-clients.js';
import type {StoreBackup} from '../../../development/relay/store-standin.js';

const relayCount = 4;
const clientCount = 16;
/** Milliseconds between two requests of a client. */
const clientPause = 40;
/** Milliseconds for which the store is unavailable. */
const outageTime = 500;
/** Number of writes that the store loses. */
const writesLost = 40;
/** Milliseconds after the store has accepted a departure from which on the replica must get no requests. */
const drainTime = 2000;
/** Milliseconds within which boxes prove that the store has the configuration that they know. */
const proofTime = 2500;
/** Milliseconds for which requests are counted. */
const observationTime = 5000;

let installation: RelayInstallation;
let clients: SteadyClients;
let backup: StoreBackup;

const arrivalsAt = (id: string): readonly number[] => installation.replicas.get(id)?.seen.map(({at}) => at) ?? [];

/** Makes the store unavailable for a while and restores it from a backup that lacks the last writes. */
async function restoreBackup(): Promise<void> {
	const {store} = installation;
	store.faults = {isSilent: false, isBusy: true, losesAnswers: false};
	await pause(outageTime);
	store.restore(backup);
	store.clearFaults();
}

beforeEach(async () => {
	installation = await RelayInstallation.start({relays: relayCount, replicas: ['i-1', 'i-2', 'i-3'], withDuties: true});
	clients = SteadyClients.start(installation, {clients: clientCount, pause: clientPause, relays: [...installation.relays]});
	await until(() => arrivalsAt('i-1').length > clientCount);
	backup = installation.store.backUp();
	for (let write = 0; write < writesLost; write++) {
		installation.list('i-2', {cold_left_ms: writesLost - write});
	}

	await pause(drainTime / 2);
});

afterEach(async () => {
	await clients.stop();
	await installation.close();
});

test('boxes apply the list of a store that has lost its last writes, although its revisions are lower', async () => {
	await restoreBackup();
	await pause(200);
	installation.list('i-1', {state: 'draining', seq: 2});
	const acceptedAt = performance.now();
	await installation.addReplica('i-4');
	await pause(observationTime);
	const lateArrivals = arrivalsAt('i-1').filter(at => at > acceptedAt + drainTime);
	assert.equal(lateArrivals.length, 0, `${lateArrivals.length} requests at a replica later than ${drainTime} ms after the store had accepted its departure`);
	assert.ok(arrivalsAt('i-4').some(at => at < acceptedAt + drainTime), 'a new replica is used');
});

test('boxes keep a configuration that the store has lost, a box that starts then receives it, and a revoked key stays revoked', async () => {
	const {store, relays} = installation;
	const tenants = [{
		name: 'basin', api_keys: ['another'], unit: 'requests', plain_tokens: 1, rate_per_s: 0, burst: 0,
	}];
	const version = installation.configure({tenants});
	await until(() => relays.every(({log}) => log.lines.some(line => line.eventName === 'routesApplied' && line.version === version)));
	const written = store.spec(configurationKind, configurationName);
	await restoreBackup();
	await until(() => relays.every(({log}) => log.lines.some(({eventName}) => eventName === 'storeRestored')));
	const started = await installation.startRelay('relay-late');
	relays.push(started);
	await until(() => started.log.lines.some(line => line.eventName === 'routesApplied' && line.version === version));
	const statuses = async () => {
		const views = await Promise.all(relays.map(async relay => installation.call({path: '/calls/x', headers: {Authorization: `Bearer ${testKey}`}}, relay)));
		return views.map(({status}) => status);
	};

	assert.ok((await statuses()).every(status => status === 401 || status === 503), 'a box that cannot prove that its configuration is the newest refuses requests');
	store.put(configurationKind, configurationName, written);
	await pause(proofTime);
	assert.deepEqual(await statuses(), relays.map(() => 401));
});

test('duties continue after the store has lost their record, with fence tokens that never decrease and no window reported with different counts', async () => {
	const {store} = installation;
	const usage = () => store.dutyCalls.filter(({path}) => path === '/usage');
	await until(() => usage().length > 1);
	backup = store.backUp();
	const known = usage().length;
	await until(() => usage().length > known + 1);
	await restoreBackup();
	const before = usage().length;
	await until(() => usage().length > before + 2);
	const counts = new Map<unknown, string>();
	for (const {body} of usage()) {
		const text = JSON.stringify(body.counts);
		assert.equal(counts.get(body.window_id) ?? text, text, `window ${String(body.window_id)}`);
		counts.set(body.window_id, text);
	}

	const fences = usage().map(({fence}) => fence);
	assert.deepEqual(fences, [...fences].sort((left, right) => left - right));
	assert.ok(fences.at(-1)! > fences[before - 1]!);
});
