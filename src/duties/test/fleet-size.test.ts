import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import type {LoadSample} from '../fleet-load.js';
import {FleetSizes, type SizeFacts} from '../fleet-size.js';

const clock = new ManualClock(1000);
const load = (requests: number, missedPart: number): LoadSample => ({
	requests, slots: 21, reading: 0, waits: 0, missedPart,
});
const play = (sizes: FleetSizes, seconds: number, requests: number, missedPart = 0): void => {
	for (let step = 0; step < seconds * 4; step++) {
		clock.now += 250;
		sizes.addSample('s', load(requests, missedPart));
	}
};

const factsOf = (changes: Partial<SizeFacts> = {}): SizeFacts => ({
	fleet: {service: 's', replicas: 12}, isScarce: false, isMostlyReady: true, serving: 12, bootTime: 4000, ...changes,
});
const assertNear = (actual: number, expected: number, message?: string): void => {
	assert.ok(Math.abs(actual - expected) < 0.001, message ?? `${actual} instead of ${expected}`);
};

const standing = (needed: number) => ({service: 's', replicas: 12, needed});

test('before any load the size is that of the first fleet, or the one that the previous holder measured', () => {
	const sizes = FleetSizes.create(clock);
	assert.equal(sizes.of(factsOf()).needed, 12);
	assert.equal(sizes.of(factsOf({fleet: standing(7)})).needed, 7);
	assert.ok(sizes.of(factsOf()).leastNow < 12);
});

test('the size decreases after a long observation, not for a small difference, and never while replicas are unavailable', () => {
	const sizes = FleetSizes.create(clock);
	play(sizes, 10, 45);
	assert.equal(sizes.of(factsOf()).needed, 12, 'the load was observed for too short a time');
	play(sizes, 20, 45);
	assert.equal(sizes.of(factsOf({isScarce: true})).needed, 12);
	assert.equal(sizes.of(factsOf({isMostlyReady: false})).needed, 12, 'some of the ordered replicas are missing');
	assertNear(sizes.of(factsOf()).needed, 7.2);
	play(sizes, 5, 45);
	assertNear(sizes.of(factsOf({fleet: standing(7.2)})).needed, 7.2, 'the effect of the last decrease cannot be measured yet');
	play(sizes, 2, 45);
	assert.equal(sizes.of(factsOf({fleet: standing(7.2)})).needed, 5);
	assert.equal(sizes.of(factsOf({fleet: standing(5.5)})).needed, 5.5);
});

test('the size increases by a limited fraction per boot time, so that the effect of each increase can be measured', () => {
	const sizes = FleetSizes.create(clock);
	play(sizes, 1, 900);
	assert.equal(sizes.of(factsOf({fleet: standing(8)})).needed, 10);
	play(sizes, 4, 900);
	assert.equal(sizes.of(factsOf({fleet: standing(10)})).needed, 10);
	play(sizes, 3, 900);
	assert.equal(sizes.of(factsOf({fleet: standing(10)})).needed, 12.5);
	assert.ok(sizes.of(factsOf({fleet: standing(10)})).leastNow <= 12.5);
});

test('the size does not decrease while goals are missed, nor until they have been met for a boot time', () => {
	const sizes = FleetSizes.create(clock);
	play(sizes, 30, 45, 0.3);
	const few = {serving: 2};
	assert.equal(sizes.of(factsOf(few)).needed, 12);
	play(sizes, 5, 45);
	assert.equal(sizes.of(factsOf(few)).needed, 12);
	play(sizes, 2, 45);
	assertNear(sizes.of(factsOf(few)).needed, 7.2);
});

test('if goals are missed although the estimated replicas are ready, the estimate is corrected upwards', () => {
	const sizes = FleetSizes.create(clock);
	const facts = factsOf({fleet: standing(5), serving: 5});
	play(sizes, 30, 45);
	assert.equal(sizes.of(facts).needed, 5);
	play(sizes, 2, 45, 0.6);
	assert.equal(sizes.of(facts).needed, 5, 'goals were missed too briefly');
	play(sizes, 2, 45, 0.6);
	assert.equal(sizes.of(facts).needed, 8, 'the correction grows with the fraction of missed goals');
	assert.ok(sizes.of(facts).leastNow > 4, 'the correction applies to expensive replicas too');
	play(sizes, 4, 45, 0.6);
	assert.equal(sizes.of(factsOf({fleet: standing(8), serving: 3})).needed, 8, 'the ordered replicas are not ready yet');
	play(sizes, 4, 45, 0.6);
	const all = factsOf({fleet: standing(8), serving: 9});
	assert.equal(sizes.of(all).needed, 8, 'new replicas first work off the waiting requests');
	play(sizes, 4, 45, 0.6);
	assert.equal(sizes.of(all).needed, 12.5, 'the correction factor is limited to 2.5');
	play(sizes, 30, 45);
	for (let step = 0; step < 5; step++) {
		play(sizes, 30, 45);
		sizes.of(factsOf({fleet: standing(12.5)}));
	}

	play(sizes, 7, 45);
	assert.equal(sizes.of(factsOf({fleet: standing(6)})).needed, 5, 'the correction ends after goals were met for long');
});
