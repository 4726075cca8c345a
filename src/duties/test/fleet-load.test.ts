import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {FleetLoad, type LoadSample} from '../fleet-load.js';

const clock = new ManualClock(1000);
const play = (load: FleetLoad, seconds: number, sample: LoadSample): void => {
	for (let step = 0; step < seconds * 4; step++) {
		clock.now += 250;
		load.addSample(sample);
	}
};

const calm: LoadSample = {
	requests: 90, slots: 21, reading: 1, waits: 3, missedPart: 0,
};
const neededFor = (sample: LoadSample): number => {
	const load = FleetLoad.create(clock);
	play(load, 1, sample);
	return load.needed;
};

test('the slots of a replica hold the mean number of requests plus four standard deviations', () => {
	assert.equal(neededFor(calm), 10, 'nine in progress plus four times three are 21 slots');
	const largePlaces = neededFor({...calm, requests: 900, slots: 210});
	assert.ok(largePlaces < 10, 'larger replicas may be used to a higher share');
});

test('replicas may read for half of the time if the residual reading time is a third of the goal', () => {
	assert.equal(neededFor({...calm, reading: 10}), 20);
	assert.equal(neededFor({...calm, reading: 10, waits: 1}), 40, 'a tighter goal needs more replicas');
	assert.ok(neededFor({...calm, reading: 10, waits: 20}) < 13);
});

test('a peak counts until the trough of its wave is over, and for a shorter time for expensive replicas', () => {
	const load = FleetLoad.create(clock);
	play(load, 1, {...calm, requests: 180});
	const peak = load.leastNow;
	play(load, 10, calm);
	assert.equal(load.needed, 20);
	assert.ok(Math.abs(load.leastNow - (peak / 2)) < 0.001);
	play(load, 20, calm);
	assert.equal(load.needed, 10);
	assert.ok(load.leastNow < load.needed);
});

test('time without requests and gaps between samples do not count as observed', () => {
	const load = FleetLoad.create(clock);
	play(load, 60, {...calm, requests: 0});
	assert.ok(!load.isObserved);
	play(load, 15, calm);
	clock.now += 60_000;
	play(load, 1, calm);
	assert.ok(!load.isObserved);
	play(load, 10, calm);
	assert.ok(load.isObserved);
});

test('goals count as met or missed only for the observed time', () => {
	const load = FleetLoad.create(clock);
	assert.equal(load.goalsMissedFor, 0);
	play(load, 10, calm);
	assert.ok(load.goalsMetFor >= 9000);
	play(load, 3, {...calm, missedPart: 0.5});
	assert.ok(load.goalsMissedFor >= 2900);
	assert.equal(load.goalsMetFor, 0);
	clock.now += 60_000;
	play(load, 1, {...calm, missedPart: 0.5});
	assert.ok(load.goalsMissedFor <= 1000, 'the gap was not observed');
	clock.now += 60_000;
	play(load, 1, calm);
	assert.ok(load.goalsMetFor <= 1000);
});
