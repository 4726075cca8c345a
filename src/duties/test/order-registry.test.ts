import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import type {ReplicaOrder} from '../duty-calls.js';
import {OrderRegistry} from '../order-registry.js';

const clock = new ManualClock(1000);
const order = (dataCentre: string, count: number, isReclaimable = true): ReplicaOrder => ({
	service: 's', dataCentre, count, isReclaimable,
});
const due = (registry: OrderRegistry, asked: ReplicaOrder, present: number) => registry.isDue(asked, {present, bootTime: 4000});

test('an order is sent once, and again if replicas have gone or have not arrived in time', () => {
	const registry = OrderRegistry.create(clock);
	assert.ok(due(registry, order('a', 3), 0));
	registry.recordAccepted(order('a', 3));
	assert.ok(!due(registry, order('a', 3), 0));
	clock.now += 4000;
	assert.ok(!due(registry, order('a', 3), 3));
	assert.ok(due(registry, order('a', 3), 2), 'one of three has gone');
	assert.ok(due(registry, order('a', 4), 3), 'more replicas are planned');
	registry.recordAccepted(order('b', 2));
	clock.now += 8000;
	assert.ok(due(registry, order('b', 2), 1), 'one of two has not arrived');
});

test('a holder does not repeat an order of another holder whose replicas are present', () => {
	assert.ok(!due(OrderRegistry.create(clock), order('a', 3), 3));
	assert.ok(due(OrderRegistry.create(clock), order('a', 3), 5));
});

test('unavailable replicas are retried in one data centre at a time, the least recently tried, and in all once an order is accepted', () => {
	const registry = OrderRegistry.create(clock);
	const asked = ['a', 'b', 'c', 'd'].map(dataCentre => order(dataCentre, 2));
	for (const each of asked) {
		clock.now += 10;
		registry.recordRefused(each, 'conflict');
	}

	assert.ok(registry.isScarce('s'));
	let calls = 0;
	for (let step = 0; step < 60; step++) {
		clock.now += 250;
		for (const each of asked.filter(one => due(registry, one, 0))) {
			calls++;
			registry.recordRefused(each, 'conflict');
		}
	}

	assert.ok(calls >= 8 && calls <= 10, `${calls} calls in 15 s`);
	registry.recordAccepted(asked[2]!);
	assert.ok(asked.filter((_, index) => index !== 2).every(one => due(registry, one, 0)));
	assert.ok(!registry.isScarce('s'));
});

test('a refusal is forgotten if the replicas are present nevertheless', () => {
	const registry = OrderRegistry.create(clock);
	registry.recordRefused(order('a', 1), 'conflict');
	assert.ok(!due(registry, order('a', 1), 1));
	assert.ok(!registry.isScarce('s'));
});

test('an unanswered call is repeated soon, and data centres without available kept replicas are returned', () => {
	const registry = OrderRegistry.create(clock);
	registry.recordRefused(order('a', 1, false), 'unanswered');
	assert.deepEqual([...registry.withoutKeptCapacity('s')], []);
	clock.now += 400;
	assert.ok(due(registry, order('a', 1, false), 0));
	registry.recordRefused(order('b', 1, false), 'conflict');
	assert.deepEqual([...registry.withoutKeptCapacity('s')], ['b']);
	assert.ok(!registry.isScarce('s'), 'only unavailable reclaimable replicas count');
});

test('the removal of replicas added without an order is ordered once, and those that stay are ignored', () => {
	const registry = OrderRegistry.create(clock);
	registry.recordAccepted(order('a', 0, false));
	clock.now += 5000;
	assert.ok(due(registry, order('a', 0, false), 2));
	registry.recordAccepted(order('a', 0, false));
	clock.now += 20_000;
	assert.ok(!due(registry, order('a', 0, false), 2));
	assert.ok(due(registry, order('a', 0, false), 3), 'another replica was added');
});
