import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AcceptQueue} from '../accept-queue.js';

/** Milliseconds between two connections that are taken from the queue. */
const step = 10;

/** Takes connections from the queue until a time. */
function fill(queue: AcceptQueue, from: number, until: number): void {
	for (let now = from; now <= until; now += step) {
		queue.recordConnection(now);
	}
}

test('a queue that holds connections for long is an overload, and is emptied', () => {
	const queue = AcceptQueue.create();
	fill(queue, 0, 390);
	assert.equal(queue.isEmptying, false);
	fill(queue, 400, 410);
	assert.deepEqual([queue.isOverloaded, queue.isEmptying], [true, true]);
	queue.recordEmpty(420);
	assert.deepEqual([queue.isOverloaded, queue.isEmptying], [true, false]);
});

test('during an overload the queue is emptied much earlier, until it has emptied by itself for a second', () => {
	const queue = AcceptQueue.create();
	fill(queue, 0, 410);
	queue.recordEmpty(420);
	fill(queue, 430, 470);
	assert.equal(queue.isEmptying, false);
	fill(queue, 480, 490);
	assert.equal(queue.isEmptying, true);
	queue.recordEmpty(500);
	for (let now = 520; now < 1600; now += 40) {
		fill(queue, now, now + 20);
		queue.recordEmpty(now + 30);
	}

	assert.equal(queue.isOverloaded, false);
	fill(queue, 2000, 2390);
	assert.equal(queue.isEmptying, false);
});

test('a burst that is processed within 400 ms closes no connection', () => {
	const queue = AcceptQueue.create();
	for (let now = 0; now < 5000; now += 450) {
		fill(queue, now, now + 390);
		queue.recordEmpty(now + 400);
		assert.equal(queue.isOverloaded, false);
	}
});
