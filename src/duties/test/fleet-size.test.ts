import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import type {LoadSample} from '../fleet-load.js';
import {FleetSizes, type SizeFacts} from '../fleet-size.js';

const clock = new MovedClock(1000);
const load = (requests: number): LoadSample => ({
	requests, slots: 21, reading: 0, waits: 0,
});
const play = (sizes: FleetSizes, seconds: number, requests: number): void => {
	for (let step = 0; step < seconds * 4; step++) {
		clock.now += 250;
		sizes.note('s', load(requests));
	}
};

const factsOf = (changes: Partial<SizeFacts> = {}): SizeFacts => ({
	fleet: {service: 's', replicas: 12}, isScarce: false, bootTime: 4000, ...changes,
});
const standing = (needed: number) => ({service: 's', replicas: 12, needed});

test('before any load the first fleet is needed, or what the holder before measured', () => {
	const sizes = FleetSizes.create(clock);
	assert.equal(sizes.of(factsOf()).needed, 12);
	assert.equal(sizes.of(factsOf({fleet: standing(7)})).needed, 7);
	assert.ok(sizes.of(factsOf()).leastNow < 12);
});

test('less is ordered when the load was seen for long, not for a little less, and never while some are not to be had', () => {
	const sizes = FleetSizes.create(clock);
	play(sizes, 10, 45);
	assert.equal(sizes.of(factsOf()).needed, 12, 'too little was seen');
	play(sizes, 20, 45);
	assert.equal(sizes.of(factsOf({isScarce: true})).needed, 12);
	assert.equal(sizes.of(factsOf()).needed, 5);
	assert.equal(sizes.of(factsOf({fleet: standing(5.5)})).needed, 5.5);
});

test('more is ordered by a part at a time, as boot times show whether it was enough', () => {
	const sizes = FleetSizes.create(clock);
	play(sizes, 1, 900);
	assert.equal(sizes.of(factsOf({fleet: standing(8)})).needed, 10);
	play(sizes, 4, 900);
	assert.equal(sizes.of(factsOf({fleet: standing(10)})).needed, 10);
	play(sizes, 3, 900);
	assert.equal(sizes.of(factsOf({fleet: standing(10)})).needed, 12.5);
	assert.ok(sizes.of(factsOf({fleet: standing(10)})).leastNow <= 12.5);
});
