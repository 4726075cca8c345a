import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {LeastWaitChoice} from '../replica-choice.js';
import {Replica} from '../replica.js';

const clock = new ManualClock(1000);
const replicasOf = (count: number): readonly Replica[] => Array.from({length: count}, (_, index) => Replica.create({
	id: `i-${index}`, bornAt: undefined, software: '', revision: 1, service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 4, isDraining: false, isReclaimable: false, leavesIn: undefined,
}, clock));

/** Returns a pseudo-random generator that yields the same numbers in each run. */
const seeded = () => {
	let state = 1;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
};

/** Requests at the busiest replica if 200 boxes choose by the same stale load, in which all replicas but two are busy. */
const maxRequestsAtOneReplica = (isWorkOld: boolean): number => {
	const replicas = replicasOf(40);
	for (const replica of replicas.slice(2)) {
		replica.setAggregateWork({requests: 3, unreadTokens: 5000});
	}

	const random = seeded();
	const counts = new Map<string, number>();
	for (let box = 0; box < 200; box++) {
		const choice = LeastWaitChoice.create({
			dataCentre: 'a', now: () => clock.monotonic(), random, isWorkStale: () => isWorkOld,
		});
		const {entry} = choice.rank(replicas, {promptTokens: 1000, sharedParts: []})[0]!.replica;
		counts.set(entry.id, (counts.get(entry.id) ?? 0) + 1);
	}

	return Math.max(...counts.values());
};

test('boxes that choose by the same stale load do not all choose the same replicas', () => {
	assert.ok(maxRequestsAtOneReplica(false) >= 80, 'if the load is assumed to be current, two replicas get all requests');
	assert.ok(maxRequestsAtOneReplica(true) <= 40, String(maxRequestsAtOneReplica(true)));
});

test('the replica that rendezvous hashing assigns to a prompt is compared even if only a few are sampled', () => {
	const replicas = replicasOf(40);
	const random = seeded();
	const chosen = Array.from({length: 20}, () => LeastWaitChoice.create({
		dataCentre: 'a', now: () => clock.monotonic(), random, isWorkStale: () => true,
	}).rank(replicas, {promptTokens: 9000, sharedParts: [{id: 'part', tokens: 8000}]})[0]!.replica.entry.id);
	assert.equal(new Set(chosen).size, 1, 'all boxes send the prompt to the same replica without coordination');
});

test('the number of tracked prompt parts stays bounded, also if requests have several new parts each', () => {
	const replica = replicasOf(1)[0]!;
	const choice = LeastWaitChoice.create({dataCentre: 'a', now: () => clock.monotonic()});
	const requestOf = (index: number) => ({promptTokens: 90, sharedParts: [{id: `${index}-first`, tokens: 30}, {id: `${index}-second`, tokens: 30}, {id: `${index}-third`, tokens: 30}]});
	for (let index = 0; index < 2000; index++) {
		choice.recordRead(replica, requestOf(index));
	}

	assert.equal(choice.unreadTokens(replica, requestOf(1999)), 0);
	assert.equal(choice.unreadTokens(replica, requestOf(400)), 90, 'the oldest parts are evicted');
});
