/**
 * Reproduces the incident SHORT (docs/incidents): a box acquires the duties while a data centre is being reclaimed. Its own
 * few samples suggest that a sixth of the fleet would be enough.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {OneObjectStore} from '../../../development/harness/one-object-store.js';
import {SilentEventLog} from '../../base/event-log.js';
import type {Replica} from '../../replicas/replica.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import {RouteTableView} from '../../routes/route-table-view.js';
import {DutyCalls, DutyRefusal, type ReplicaOrder} from '../duty-calls.js';
import {DutyLease} from '../duty-lease.js';
import type {StandingOrder} from '../duty-record.js';
import type {FleetDemand} from '../../replicas/fleet-demand.js';
import {FleetDuty} from '../fleet-duty.js';
import {MeasuredLoadPolicy} from '../fleet-plan.js';

const dataCentres = ['a', 'b', 'c', 'd'];
/** Reclaimable replicas ordered in each data centre. */
const orderedEach = 20;
const standing: readonly StandingOrder[] = dataCentres.map(dataCentre => ({
	service: 's', dataCentre, reclaimable: orderedEach, kept: 0,
}));
/** Milliseconds until a new replica is ready. */
const bootTime = 4000;

/** Records accepted orders; one data centre has no reclaimable replicas available. */
class ScarceCalls extends DutyCalls {
	readonly taken: ReplicaOrder[] = [];

	constructor(private readonly dryDataCentre: string | undefined) {
		super();
	}

	override reportUsage(): Effect.Effect<void> {
		return Effect.void;
	}

	override orderReplicas(_signer: unknown, order: ReplicaOrder): Effect.Effect<void, DutyRefusal> {
		return Effect.suspend(() => {
			if (order.isReclaimable && order.dataCentre === this.dryDataCentre) {
				return Effect.fail(new DutyRefusal({reason: 'conflict', detail: 'none available'}));
			}

			this.taken.push(order);
			return Effect.void;
		});
	}
}

const openFleet = (
	dryDataCentre: string | undefined,
	demand: () => FleetDemand,
	limitOf: (replica: Replica) => number | undefined = () => undefined,
	pausedPart: (replica: Replica) => number = () => 0,
) => {
	const clock = new ManualClock(1000);
	const log = SilentEventLog.create();
	const store = new OneObjectStore();
	const calls = new ScarceCalls(dryDataCentre);
	const replicas = ReplicaDirectory.create(clock, log);
	const table = RouteTableView.create(clock, log);
	table.apply({
		version: 1, routes: [], clientAccounts: [], limits: {body: 1, headerTimeout: 1, idleTimeout: 1},
		services: [{
			name: 's', maximumConnections: 1, isEngine: true, cacheCapacity: 1,
			scaling: {
				minimum: 1, maximum: 46, bootTime, reclaimablePrice: 0.18, dataCentrePrices: new Map(dataCentres.map(name => [name, 1])),
			},
		}],
	}, 'store');
	replicas.replaceAll([], 0);
	for (const dataCentre of dataCentres.filter(name => name !== dryDataCentre)) {
		for (let index = 0; index < orderedEach; index++) {
			replicas.put({
				id: `${dataCentre}-${index}`, bornAt: undefined, software: '', revision: 1, service: 's',
				host: '127.0.0.1', port: 1, dataCentre, slots: 32, isDraining: false, isReclaimable: true, leavesIn: undefined,
			});
		}
	}

	const leaseOf = (self: string) => DutyLease.create({
		self, incarnation: 'one', store, clock, log, wait: () => 3000, isFenced: () => true,
	});
	const lease = leaseOf('next');
	const duty = FleetDuty.create({
		lease, calls, table, replicas, clock, log, policy: MeasuredLoadPolicy.create(), demand, limitOf, pausedPart,
	});
	return {
		clock, calls, lease, duty, former: leaseOf('former'),
	};
};

/** The load as one of eighty boxes estimated it in second 23 of the recorded run. */
const demandSeen: FleetDemand = {
	requests: 37, reading: 300_000, readRate: 30_000, goal: 1000, residualReading: 140, rate: 20, missedPart: 0, boxes: 80,
};

const takeOver = async ({clock, lease, duty, former}: ReturnType<typeof openFleet>) => {
	await Effect.runPromise(former.acquire());
	await Effect.runPromise(former.decide(record => ({
		...record, orders: standing, baseline: [{
			service: 's', replicas: 63, isSettled: true, needed: 63,
		}],
	})));
	for (let step = 0; step < 100; step++) {
		clock.now += 300;
		duty.observe();
	}

	await Effect.runPromise(lease.acquire());
	await Effect.runPromise(duty.step());
};

test('a box that acquires the duties while a data centre is being reclaimed does not order fewer replicas, whatever its own samples suggest', async () => {
	const fleet = openFleet('a', () => demandSeen);
	await takeOver(fleet);
	const fewer = fleet.calls.taken.filter(({count, isReclaimable}) => isReclaimable && count < orderedEach);
	assert.deepEqual(fewer, []);
});

test('a fleet shrinks by a limited fraction per boot time, so that the effect on the remaining replicas can be measured', async () => {
	const fleet = openFleet(undefined, () => demandSeen);
	await takeOver(fleet);
	const {clock, calls, duty} = fleet;
	const smallest = () => Math.min(...calls.taken.filter(({isReclaimable}) => isReclaimable).map(({count}) => count));
	assert.ok(smallest() >= orderedEach / 2, `${smallest()} of ${orderedEach} at once`);
	for (let step = 0; step < 10; step++) {
		clock.now += 300;
		duty.observe();
		await Effect.runPromise(duty.step());
	}

	assert.ok(smallest() >= orderedEach / 2, `${smallest()} of ${orderedEach} within a boot time`);
});

test('prompts with an unknown read rate do not reduce the number of replicas', async () => {
	const fleet = openFleet(undefined, () => ({...demandSeen, readRate: 0, residualReading: 0}));
	await takeOver(fleet);
	assert.deepEqual(fleet.calls.taken.filter(({count, isReclaimable}) => isReclaimable && count < orderedEach), []);
});

test('replicas that paused requests of some boxes count with the capacity they offer to the other boxes', async () => {
	const demand: FleetDemand = {...demandSeen, requests: 1500, rate: 400};
	const totalWith = async (paused: number): Promise<number> => {
		const fleet = openFleet(undefined, () => demand, undefined, ({entry}) => entry.dataCentre === 'a' ? paused : 0);
		await takeOver(fleet);
		return dataCentres
			.map(dataCentre => fleet.calls.taken.findLast(order => order.dataCentre === dataCentre && order.isReclaimable)?.count ?? orderedEach)
			.reduce((sum, count) => sum + count, 0);
	};

	const [none, half, all] = [await totalWith(0), await totalWith(0.5), await totalWith(1)];
	assert.ok(half - none >= 8 && half - none <= 20, `${half - none} more for 20 replicas that paused half of the boxes`);
	assert.ok(all - none >= 16 && all - none <= 36, `${all - none} more for 20 replicas that paused all boxes`);
});

test('replicas with a limit count with the capacity they offer, and fully again soon after the limit ends', async () => {
	// Each of 80 replicas would get five requests per second.
	const demand: FleetDemand = {...demandSeen, requests: 1500, rate: 400};
	let limit: number | undefined = 1;
	const isLimited = ({entry}: Replica): boolean => entry.dataCentre === 'a';
	const totalOf = ({calls}: ReturnType<typeof openFleet>): number => dataCentres
		.map(dataCentre => calls.taken.findLast(order => order.dataCentre === dataCentre && order.isReclaimable)?.count ?? orderedEach)
		.reduce((sum, count) => sum + count, 0);
	const fleet = openFleet(undefined, () => demand, replica => isLimited(replica) ? limit : undefined);
	const plain = openFleet(undefined, () => demand);
	await takeOver(fleet);
	await takeOver(plain);
	const more = totalOf(fleet) - totalOf(plain);
	assert.ok(more >= 16 && more <= 36, `${more} more for 20 replicas that offer a fifth of their capacity`);
	limit = undefined;
	for (const {clock, duty} of [fleet, plain]) {
		for (let step = 0; step < 60; step++) {
			clock.now += 300;
			duty.observe();
			await Effect.runPromise(duty.step());
		}
	}

	assert.equal(totalOf(fleet), totalOf(plain));
});
