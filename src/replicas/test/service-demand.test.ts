import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {pooledDemand} from '../fleet-demand.js';
import {ServiceDemands} from '../service-demand.js';

test('requests in progress are the arrival rate times the mean duration, regardless of the queue', () => {
	const clock = new ManualClock(1000);
	const demand = ServiceDemands.create(clock).of('s');
	for (let step = 0; step < 2000; step++) {
		clock.now += 20;
		demand.recordArrival(300, 250);
		demand.recordDuration(400);
	}

	const {requests, reading} = demand.current;
	assert.ok(Math.abs(requests - 20) < 1, String(requests));
	assert.ok(Math.abs(reading - 15_000) < 500, String(reading));
});

test('the read rate is that of requests that hardly queued, and is zero until there are enough samples', () => {
	const demand = ServiceDemands.create(new ManualClock()).of('s');
	for (let index = 0; index < 10; index++) {
		demand.recordRead(5000, 50);
	}

	assert.equal(demand.readRate, 0);
	for (let index = 0; index < 400; index++) {
		// One request in ten gets a replica without other work.
		demand.recordRead(5000, index % 10 === 0 ? 50 : 150);
	}

	assert.ok(demand.readRate > 60_000 && demand.readRate < 130_000, String(demand.readRate));
	const before = demand.readRate;
	demand.recordRead(100, 1);
	assert.equal(demand.readRate, before, 'a short prompt is no sample');
});

test('the residual read time of a busy replica grows with the share of long prompts', () => {
	const demand = ServiceDemands.create(new ManualClock()).of('s');
	const residualReading = () => pooledDemand([demand.current]).residualReading;
	assert.equal(residualReading(), 0);
	for (let index = 0; index < 3000; index++) {
		demand.recordArrival(index % 10 === 0 ? 10_000 : 1000, index % 2 === 0 ? 200 : 400);
		demand.recordRead(2000, 20);
	}

	// Mean square of 10.9 million divided by twice the mean of 1,900 tokens, at 100 tokens a millisecond plus the effect of the quantile.
	assert.ok(Math.abs(residualReading() - 28.7) < 4, String(residualReading()));
	assert.ok(Math.abs(demand.goal - 300) < 10);
});

test('the pooled demand of many boxes with few requests each is close to that of one box with all requests', () => {
	const run = (boxes: number) => {
		const clock = new ManualClock(1000);
		const demands = Array.from({length: boxes}, () => ServiceDemands.create(clock).of('s'));
		for (let index = 0; index < 4000; index++) {
			clock.now += 20;
			const demand = demands[index % boxes]!;
			const tokens = index % 7 === 0 ? 10_000 : 2000;
			demand.recordArrival(tokens, 500);
			demand.recordRead(tokens, tokens / (index % 5 === 0 ? 60 : 30));
			demand.recordDuration(300);
			demand.recordOutcome(index % 4 !== 0);
		}

		return pooledDemand(demands.map(({current}) => current));
	};

	const one = run(1);
	const many = run(64);
	for (const key of ['requests', 'reading', 'goal', 'missedPart', 'residualReading', 'readRate'] as const) {
		assert.ok(Math.abs(many[key] - one[key]) < one[key] * 0.35, `${key}: ${many[key]} of ${one[key]}`);
	}

	assert.equal(many.boxes, 64);
});

test('a request that is rejected without a replica counts as demand, and as missed', () => {
	const clock = new ManualClock(1000);
	const demand = ServiceDemands.create(clock).of('s');
	for (let index = 0; index < 1000; index++) {
		clock.now += 20;
		demand.recordArrival(1000, 500);
		demand.recordOutcome(true);
	}

	const before = demand.current;
	for (let index = 0; index < 1000; index++) {
		clock.now += 20;
		demand.recordRejected();
	}

	assert.ok(Math.abs(demand.current.reading - before.reading) < before.reading * 0.05);
	assert.ok(pooledDemand([demand.current]).missedPart > 0.95);
	assert.equal(pooledDemand([before]).missedPart, 0);
	assert.equal(pooledDemand([]).missedPart, 0);
});

test('one box that received only cached prompts does not distort the pooled read rate', () => {
	const demands = [90_000, 24_000, 0, 26_000, 25_000].map(readRate => ({
		requests: 1, reading: 3000, readRate, goal: 900, meanTokens: 2000, meanSquare: 8_000_000, met: 2, missed: 0,
	}));
	assert.equal(pooledDemand(demands).readRate, 26_000);
	assert.equal(pooledDemand(demands).reading, 15_000, 'the demand of that box is included');
});

test('the read rates of another box count once, even if its messages are repeated, and again after it restarts', () => {
	const clock = new ManualClock();
	const [sender, receiver, reference] = [ServiceDemands.create(clock).of('s'), ServiceDemands.create(clock).of('s'), ServiceDemands.create(clock).of('s')];
	for (let index = 0; index < 30; index++) {
		sender.recordRead(5000, 50 + index);
		reference.recordRead(5000, 50 + index);
		receiver.mergeReads('box/1', sender.readSamples);
		receiver.mergeReads('box/1', sender.readSamples);
	}

	assert.ok(Math.abs(receiver.readRate - reference.readRate) < reference.readRate * 0.01);
	const before = receiver.readRate;
	receiver.mergeReads('box/2', {count: 1, rates: [before * 2]});
	assert.ok(receiver.readRate > before);
});
