import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	drawReplica, forecastLoad, type ReportedLoad, type StaleLoad,
} from '../load-forecast.js';

const idle = {requests: 0, unreadTokens: 0};
const replicaWith = (changes: Partial<ReportedLoad> = {}): ReportedLoad => ({
	others: idle, own: idle, slots: 10, penalty: 0, ...changes,
});
const rates = {
	requests: 0, tokens: 1000, readRate: 50_000, duration: 1000,
};
const indexes = Array.from({length: 100}, (_, index) => index / 100);
const drawn = (loads: readonly ReportedLoad[], stale: StaleLoad) => {
	const forecast = forecastLoad(loads, stale);
	return indexes.map(random => drawReplica(forecast, random));
};

test('without requests since the reports, the least loaded replica is always drawn', () => {
	const loads = [replicaWith({others: {requests: 5, unreadTokens: 0}}), replicaWith({others: {requests: 1, unreadTokens: 0}}), replicaWith({others: {requests: 9, unreadTokens: 0}})];
	assert.deepEqual([...new Set(drawn(loads, {rates, age: 0}))], [1]);
});

test('replicas of equal load are drawn equally often, also before anything was measured', () => {
	const loads = [replicaWith(), replicaWith(), replicaWith(), replicaWith()];
	for (const requests of [0, 100]) {
		const counts = [0, 1, 2, 3].map(index => drawn(loads, {
			rates: {
				requests, tokens: 0, readRate: 0, duration: requests,
			},
			age: 500,
		}).filter(one => one === index).length);
		assert.ok(counts.every(count => count >= 24 && count <= 26), counts.join(' '));
	}
});

test('the more requests arrive between reports, the more replicas are drawn, each in proportion to what it lacks', () => {
	const loads = [0, 100, 200].map(penalty => replicaWith({penalty}));
	// Each request adds 20 ms of reading and a tenth of 1000 ms.
	const few = drawn(loads, {rates: {...rates, requests: 1.25}, age: 1000});
	const many = drawn(loads, {rates: {...rates, requests: 5}, age: 1000});
	assert.deepEqual([0, 1, 2].map(index => few.includes(index)), [true, true, false]);
	assert.deepEqual([0, 1, 2].map(index => many.filter(one => one === index).length > 10), [true, true, true]);
	assert.ok(many.filter(one => one === 0).length > many.filter(one => one === 2).length);
});

test('reported work is predicted to have been done since, and the other boxes\' requests to have been added', () => {
	const loads = [replicaWith({others: {requests: 10, unreadTokens: 100_000}, own: {requests: 1, unreadTokens: 500}}), replicaWith()];
	const {work: [loaded, other]} = forecastLoad(loads, {rates, age: 1000});
	assert.deepEqual([Math.round(loaded!.requests * 10) / 10, loaded!.unreadTokens], [1 + 3.7, 50_500]);
	assert.deepEqual(other, idle);
	const [, filled] = forecastLoad(loads, {rates: {...rates, requests: 10}, age: 1000}).work;
	assert.ok(filled!.requests > 5, String(filled!.requests));
});

test('a replica with a penalty above the level is not drawn', () => {
	const loads = [replicaWith(), replicaWith({penalty: 5000})];
	assert.deepEqual([...new Set(drawn(loads, {rates: {...rates, requests: 10}, age: 1000}))], [0]);
});
