import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {RecordingCalls} from '../../../development/harness/recording-calls.js';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {OneObjectStore} from '../../../development/harness/one-object-store.js';
import {SilentEventLog} from '../../base/event-log.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import {RouteTableView} from '../../routes/route-table-view.js';
import {DutyLease} from '../duty-lease.js';
import {FleetDuty} from '../fleet-duty.js';
import {MeasuredLoadPolicy} from '../fleet-plan.js';

test('a holder that was suspended after its decision was written sends no orders for it', async () => {
	const clock = new ManualClock(1000);
	const log = SilentEventLog.create();
	let pause = 0;
	const store = new OneObjectStore(() => {
		clock.now += pause;
	});
	const calls = new RecordingCalls();
	const replicas = ReplicaDirectory.create(clock, log);
	const table = RouteTableView.create(clock, log);
	const scaling = {
		minimum: 1, maximum: 5, bootTime: 4000, reclaimablePrice: 0.2, dataCentrePrices: new Map([['a', 1], ['b', 1]]),
	};
	table.apply({
		version: 1, routes: [], clientAccounts: [], limits: {body: 1, headerTimeout: 1, idleTimeout: 1},
		services: [{
			name: 's', maximumConnections: 1, isEngine: true, cacheCapacity: 1, scaling,
		}],
	}, 'store');
	replicas.replaceAll([{
		id: 'i-1', bornAt: undefined, software: '', revision: 1, service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined,
	}], 1);
	const lease = DutyLease.create({
		self: 'box', incarnation: 'one', store, clock, log, wait: () => 0, isFenced: () => false,
	});
	const duty = FleetDuty.create({
		lease, calls, table, replicas, clock, log, policy: MeasuredLoadPolicy.create(),
		limitOf: () => undefined,
		pausedPart: () => 0,
		demand: () => ({
			requests: 0, reading: 0, readRate: 0, goal: 0, residualReading: 0, rate: 20, missedPart: 0, boxes: 1,
		}),
	});
	await Effect.runPromise(lease.acquire());
	clock.now += 5000;
	// The process is suspended while it waits for the answer to its write.
	pause = 30_000;
	await Effect.runPromise(duty.step());
	assert.deepEqual(calls.orders, []);
	pause = 10;
	await Effect.runPromise(duty.step());
	assert.ok(calls.orders.some(({isReclaimable, count}) => isReclaimable && count > 0));
});
