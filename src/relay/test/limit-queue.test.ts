import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {LimitQueue} from '../limit-queue.js';

const shortage = {service: 's', untilCapacity: 100, rate: 4};

test('requests are ordered by urgency and then by arrival; requests of other services do not count', () => {
	const queue = LimitQueue.create(new ManualClock());
	const late = queue.join('s', 2);
	const first = queue.join('s', 1);
	const second = queue.join('s', 1);
	const other = queue.join('t', 0);
	assert.deepEqual([first, second, late, other].map(request => queue.positionOf(request)), [0, 1, 2, 0]);
	assert.ok(queue.hasRequestAhead(second));
	queue.leave(first);
	assert.ok(!queue.hasRequestAhead(second));
});

test('retry delays of refused requests are spaced at the available rate, with less urgent requests after more urgent ones', () => {
	const clock = new ManualClock(1000);
	const queue = LimitQueue.create(clock, () => 0.5);
	const urgent = Array.from({length: 4}, () => queue.reserveRetryDelay({...shortage, urgency: 1}));
	assert.deepEqual(urgent, [350, 600, 850, 1100]);
	assert.equal(queue.reserveRetryDelay({...shortage, urgency: 2}), 1350);
	assert.equal(queue.reserveRetryDelay({...shortage, urgency: 0}), 350, 'reservations of less urgent requests do not delay it');
	clock.now += 10_000;
	assert.equal(queue.reserveRetryDelay({...shortage, urgency: 2}), 350);
});

test('retry delays never exceed eight seconds plus a quarter of jitter, however many requests are refused and however low the rate', () => {
	const queue = LimitQueue.create(new ManualClock(1000));
	const waits = Array.from({length: 500}, (_, index) => queue.reserveRetryDelay({
		service: 's', urgency: 1, untilCapacity: 1e9, rate: index % 2,
	}));
	assert.ok(waits.every(wait => wait > 0 && wait <= 10_000));
	assert.ok(new Set(waits).size > 400, 'the delays differ');
});
