import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {StoreAvailability} from '../store-availability.js';

/** Milliseconds without an answer after which entries may have expired. */
const lapseTime = 2400;
const never = Number.NEGATIVE_INFINITY;

const availabilityAt = (now: number) => {
	const clock = new ManualClock(now);
	return {clock, availability: StoreAvailability.create(clock, () => lapseTime)};
};

test('an outage is detected only if the store answered no box for the lifetime of entries', () => {
	const {clock, availability} = availabilityAt(10_000);
	availability.recordOwnAnswer();
	assert.equal(availability.lastOutageEndedAt, never, 'the first answer does not end an outage');
	clock.now += 2000;
	availability.recordPeerAnswer(500);
	clock.now += 1500;
	availability.recordOwnAnswer();
	assert.equal(availability.lastOutageEndedAt, never);
	clock.now += lapseTime;
	availability.recordOwnAnswer();
	assert.equal(availability.lastOutageEndedAt, clock.now);
});

test('the outage ends with the earliest answer after it that any box reports', () => {
	const {clock, availability} = availabilityAt(10_000);
	availability.recordOwnAnswer();
	clock.now += 5000;
	availability.recordOwnAnswer();
	availability.recordPeerAnswer(150);
	assert.equal(availability.lastOutageEndedAt, clock.now - 150);
	availability.recordPeerAnswer(5100);
	availability.recordPeerAnswer(4995);
	assert.equal(availability.lastOutageEndedAt, clock.now - 150, 'an answer from before the outage does not move its end');
});

test('a store that was restored from a backup counts as available again after an outage, regardless of earlier answers', () => {
	const {clock, availability} = availabilityAt(10_000);
	availability.recordOwnAnswer();
	clock.now += 300;
	availability.recordRestore();
	availability.recordPeerAnswer(200);
	assert.equal(availability.lastOutageEndedAt, clock.now);
});

test('own silence counts only answers to this box', () => {
	const {clock, availability} = availabilityAt(10_000);
	assert.equal(availability.timeSinceOwnAnswer, Number.POSITIVE_INFINITY);
	availability.recordOwnAnswer();
	clock.now += 700;
	availability.recordPeerAnswer(0);
	assert.equal(availability.timeSinceOwnAnswer, 700);
});
