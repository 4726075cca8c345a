import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import {FleetLoad, type LoadSample} from '../fleet-load.js';

const clock = new MovedClock(1000);
const play = (load: FleetLoad, seconds: number, sample: LoadSample): void => {
	for (let step = 0; step < seconds * 4; step++) {
		clock.now += 250;
		load.note(sample);
	}
};

const calm: LoadSample = {requests: 36, slots: 10, reading: 1};

test('what is needed follows the places that are taken, or the reading, whichever asks for more', () => {
	const load = FleetLoad.create(clock);
	play(load, 1, calm);
	assert.equal(Math.round(load.needed), 10);
	play(load, 1, {...calm, reading: 8.4});
	assert.equal(Math.round(load.needed), 20);
});

test('a peak counts until the trough of its wave is over, and for seconds only where replicas are dear', () => {
	const load = FleetLoad.create(clock);
	play(load, 1, {...calm, requests: 72});
	play(load, 10, calm);
	assert.equal(Math.round(load.needed), 20);
	assert.equal(Math.round(load.neededNow), 10);
	play(load, 20, calm);
	assert.equal(Math.round(load.needed), 10);
});

test('nothing was observed while nothing came, nor over a gap in the samples', () => {
	const load = FleetLoad.create(clock);
	play(load, 60, {requests: 0, slots: 10, reading: 0});
	assert.ok(!load.isObserved);
	play(load, 15, calm);
	clock.now += 60_000;
	play(load, 1, calm);
	assert.ok(!load.isObserved);
	play(load, 10, calm);
	assert.ok(load.isObserved);
});
