import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import {StoreAvailability} from '../store-availability.js';

const lapseTime = 2400;
const never = Number.NEGATIVE_INFINITY;

const availabilityAt = (now: number) => {
	const clock = new MovedClock(now);
	return {clock, availability: StoreAvailability.create(clock, () => lapseTime)};
};

test('an outage is detected only if the store answered no box for the lifetime of entries', () => {
	const {clock, availability} = availabilityAt(10_000);
	availability.noteOwnAnswer();
	assert.equal(availability.returnedAt, never, 'the first answer does not end an outage');
	clock.now += 2000;
	availability.notePeerAnswer(500);
	clock.now += 1500;
	availability.noteOwnAnswer();
	assert.equal(availability.returnedAt, never);
	clock.now += lapseTime;
	availability.noteOwnAnswer();
	assert.equal(availability.returnedAt, clock.now);
});

test('the outage ends with the earliest answer after it that any box reports', () => {
	const {clock, availability} = availabilityAt(10_000);
	availability.noteOwnAnswer();
	clock.now += 5000;
	availability.noteOwnAnswer();
	availability.notePeerAnswer(150);
	assert.equal(availability.returnedAt, clock.now - 150);
	availability.notePeerAnswer(5100);
	availability.notePeerAnswer(4995);
	assert.equal(availability.returnedAt, clock.now - 150, 'an answer from before the outage does not move its end');
});

test('a store that was restored from a backup counts as available again after an outage, regardless of earlier answers', () => {
	const {clock, availability} = availabilityAt(10_000);
	availability.noteOwnAnswer();
	clock.now += 300;
	availability.noteRestore();
	availability.notePeerAnswer(200);
	assert.equal(availability.returnedAt, clock.now);
});

test('own silence counts only answers to this box', () => {
	const {clock, availability} = availabilityAt(10_000);
	assert.equal(availability.ownSilence, Number.POSITIVE_INFINITY);
	availability.noteOwnAnswer();
	clock.now += 700;
	availability.notePeerAnswer(0);
	assert.equal(availability.ownSilence, 700);
});
