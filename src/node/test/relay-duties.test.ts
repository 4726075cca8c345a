import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';
import type {DutyCall} from '../../../development/relay/store-standin.js';

let installation: RelayInstallation;

before(async () => {
	installation = await RelayInstallation.start({
		relays: 3,
		replicas: ['i-1', 'i-2'],
		withDuties: true,
		services: [{
			name: 'plain', max_conns: 100, autoscale: {
				min: 1, max: 4, boot_s: 1, spot_price: 0.2, zone_prices: {'zone-1': 1, 'zone-2': 1},
			},
		}],
	});
});

after(async () => installation.close());

const reports = (): readonly DutyCall[] => installation.store.dutyCalls.filter(({path}) => path === '/usage');
const orders = (): readonly DutyCall[] => installation.store.dutyCalls.filter(({path}) => path === '/scale');

function assertRules(calls: readonly DutyCall[]): void {
	const counts = new Map<unknown, string>();
	for (const {body} of reports()) {
		const text = JSON.stringify(body.counts);
		assert.equal(counts.get(body.window_id) ?? text, text, 'no window is reported with different counts');
		counts.set(body.window_id, text);
	}

	const holders = new Map(calls.map(({fence, holder}) => [fence, holder]));
	for (const {fence, holder} of calls) {
		assert.equal(holders.get(fence), holder, 'a fence token belongs to one holder');
	}

	const fences = calls.map(({fence}) => fence);
	assert.deepEqual(fences, [...fences].sort((left, right) => left - right), 'fence tokens never decrease');
}

const reportedUsage = (): number => {
	const byWindow = new Map(reports().map(({body}) => [body.window_id, body.counts as Record<string, number>]));
	return [...byWindow.values()].map(counts => counts.basin ?? 0).reduce((left, right) => left + right, 0);
};

test('one holder reports the usage of all relays once, and another takes over when it exits, also when store responses are lost', async () => {
	await until(() => reports().length > 0);
	await Promise.all(installation.relays.flatMap(relay => Array.from({length: 5}, async () => installation.call({path: '/calls/x'}, relay))));
	await until(() => reportedUsage() === 15);
	const [holder] = reports().map(call => call.holder).slice(-1);
	const formerHolder = installation.relays.find(({log}) => log.lines.some(({eventName}) => eventName === 'dutyAcquired'))!;
	installation.store.faults = {isSilent: false, isBusy: false, losesAnswers: true};
	await new Promise(resolve => {
		setTimeout(resolve, 1500);
	});
	installation.store.clearFaults();
	await formerHolder.kill();
	installation.relays.splice(installation.relays.indexOf(formerHolder), 1);
	await until(() => reports().some(call => call.holder !== holder));
	await Promise.all(installation.relays.map(async relay => installation.call({path: '/calls/x'}, relay)));
	await until(() => reportedUsage() === 17);
	assertRules(installation.store.dutyCalls);
});

test('replicas are ordered in every data centre of the service, and the orders are saved in the store', async () => {
	await until(() => new Set(orders().map(({body}) => body.zone)).size === 2);
	const record = installation.store.spec('waydrift-duties', 'record') as {readonly orders: readonly unknown[]; readonly baseline: ReadonlyArray<{readonly replicas: number}>};
	assert.equal(record.orders.length, 2);
	assert.equal(record.baseline[0]!.replicas, 2);
	assertRules(installation.store.dutyCalls);
});

test('the first replicas of a fleet are all counted before any is given up, although they register one after the other', async () => {
	const slowFleet = await RelayInstallation.start({
		relays: 1,
		replicas: ['i-1'],
		withDuties: true,
		services: [{
			name: 'plain', max_conns: 100, autoscale: {
				min: 1, max: 4, boot_s: 1, spot_price: 0.2, zone_prices: {'zone-1': 1},
			},
		}],
	});
	try {
		for (const id of ['i-2', 'i-3']) {
			await new Promise(resolve => {
				setTimeout(resolve, 1500);
			});
			await slowFleet.addReplica(id);
		}

		await until(() => slowFleet.store.spec('waydrift-duties', 'record') !== undefined && slowFleet.store.dutyCalls.some(({path}) => path === '/scale'));
		const record = slowFleet.store.spec('waydrift-duties', 'record') as {readonly baseline: ReadonlyArray<{readonly replicas: number}>};
		assert.equal(record.baseline[0]!.replicas, 3);
	} finally {
		await slowFleet.close();
	}
});
