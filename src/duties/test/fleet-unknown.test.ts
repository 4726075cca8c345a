/*
 * Guards against a holder that has not read the list of replicas yet and treats it as empty: it would count a first fleet of
 * zero and order existing replicas again.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {RecordingCalls} from '../../../development/harness/recording-calls.js';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {OneObjectStore} from '../../../development/harness/one-object-store.js';
import {SilentEventLog} from '../../base/event-log.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import type {ReplicaEntry} from '../../replicas/replica.js';
import {RouteTableView} from '../../routes/route-table-view.js';
import {DutyLease} from '../duty-lease.js';
import {FleetDuty} from '../fleet-duty.js';
import {MeasuredLoadPolicy} from '../fleet-plan.js';

/** Milliseconds after which no more replicas of the first fleet register. */
const settled = 5000;

const entry = (id: string): ReplicaEntry => ({
	id, bornAt: undefined, software: '', revision: 1, service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined,
});

const startHolder = async () => {
	const clock = new ManualClock(1000);
	const log = SilentEventLog.create();
	const calls = new RecordingCalls();
	const replicas = ReplicaDirectory.create(clock, log);
	const table = RouteTableView.create(clock, log);
	table.apply({
		version: 1, routes: [], clientAccounts: [], limits: {body: 1, headerTimeout: 1, idleTimeout: 1},
		services: [{
			name: 's', maximumConnections: 1, isEngine: true, cacheCapacity: 1, scaling: {
				minimum: 1, maximum: 5, bootTime: 4000, reclaimablePrice: 0.2, dataCentrePrices: new Map([['a', 1], ['b', 1]]),
			},
		}],
	}, 'store');
	const lease = DutyLease.create({
		self: 'box', incarnation: 'one', store: new OneObjectStore(), clock, log, wait: () => 0, isFenced: () => false,
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
	return {
		clock, calls, replicas, lease, duty,
	};
};

test('no replicas are ordered and no first fleet is counted before the list of replicas was read', async () => {
	const {clock, calls, replicas, lease, duty} = await startHolder();
	clock.now += settled;
	await Effect.runPromise(duty.step());
	assert.deepEqual(calls.orders, []);
	assert.deepEqual(lease.known?.baseline, []);
	replicas.replaceAll([entry('i-1'), entry('i-2'), entry('i-3')], 5);
	await Effect.runPromise(duty.step());
	assert.deepEqual(calls.orders, [], 'replicas may still register');
	clock.now += settled;
	await Effect.runPromise(duty.step());
	assert.deepEqual(lease.known?.baseline.map(({replicas: count}) => count), [3]);
	assert.ok(calls.orders.length > 0);
});

test('replicas are ordered if the list was read and is empty', async () => {
	const {clock, calls, replicas, duty} = await startHolder();
	replicas.replaceAll([], 5);
	clock.now += settled;
	await Effect.runPromise(duty.step());
	assert.ok(calls.orders.some(({count}) => count > 0));
});
