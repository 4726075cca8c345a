/*
 * The memory of request bodies: what is refused, in which order memory is assigned, and what a body gets when there is none.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {BodyRequest} from '../../../development/harness/body-request.js';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {RequestBodies} from '../request-bodies.js';

const kibibyte = 1024;
const limit = 1000 * kibibyte;
const maxSize = 400 * kibibyte;

const create = (): {readonly clock: ManualClock; readonly bodies: RequestBodies} => {
	const clock = new ManualClock();
	return {clock, bodies: RequestBodies.create(clock, limit)};
};

test('a body is read whole, and its memory counts until it is released', async () => {
	const {bodies} = create();
	const request = BodyRequest.create(bodies, 100_000).read(maxSize);
	request.push(60_000).push(40_000).end();
	await pause(1);
	assert.deepEqual([request.outcome, bodies.used], ['100000 bytes', 100_000]);
	request.body.release();
	assert.equal(bodies.used, 0);
});

test('a body over the limit is refused by its announced length and by its size', async () => {
	const {bodies} = create();
	const announced = BodyRequest.create(bodies, maxSize + 1).read(maxSize);
	const sent = BodyRequest.create(bodies).read(maxSize);
	for (let size = 0; size <= maxSize; size += 50 * kibibyte) {
		sent.push(50 * kibibyte);
	}

	await pause(1);
	assert.deepEqual([announced.outcome, sent.outcome, bodies.used], ['body-too-large, not-run', 'body-too-large, not-run', 0]);
});

test('large bodies wait for memory in the order of arrival while small ones are read', async () => {
	const {bodies} = create();
	const [first, second] = [BodyRequest.create(bodies, maxSize).read(maxSize), BodyRequest.create(bodies, maxSize).read(maxSize)];
	const small = BodyRequest.create(bodies, 1000).read(maxSize);
	small.push(1000).end();
	await pause(1);
	assert.deepEqual([bodies.waiting, small.outcome], [1, '1000 bytes']);
	first.push(maxSize).end();
	await pause(1);
	assert.deepEqual([bodies.waiting, first.outcome], [1, `${maxSize} bytes`]);
	first.body.release();
	second.push(maxSize).end();
	await pause(1);
	assert.deepEqual([bodies.waiting, second.outcome], [0, `${maxSize} bytes`]);
});

test('a body whose client stalls is given up as not run while others wait', async () => {
	const {clock, bodies} = create();
	const stalled = BodyRequest.create(bodies, maxSize).read(maxSize);
	const waiting = BodyRequest.create(bodies, maxSize).read(maxSize);
	stalled.push(1000);
	clock.now += 2000;
	await pause(700);
	assert.deepEqual([stalled.outcome, bodies.waiting], ['sender-too-slow, not-run', 0]);
	waiting.push(maxSize).end();
	await pause(1);
	assert.equal(waiting.outcome, `${maxSize} bytes`);
});

test('a body that has waited too long for memory is refused as not run', async () => {
	const {clock, bodies} = create();
	const held = BodyRequest.create(bodies, maxSize).read(maxSize);
	held.push(maxSize).end();
	const waiting = BodyRequest.create(bodies, maxSize).read(maxSize);
	clock.now += 6000;
	await pause(700);
	assert.deepEqual([held.outcome, waiting.outcome], [`${maxSize} bytes`, 'box-full, not-run']);
});

test('many small bodies without an end never take more than the limit', async () => {
	const {clock, bodies} = create();
	const requests = Array.from({length: 100}, () => BodyRequest.create(bodies).read(maxSize));
	for (const request of requests) {
		request.push(60 * kibibyte);
		clock.now += 10;
		assert.ok(bodies.used <= limit, `${bodies.used} bytes`);
	}

	await pause(1);
	const refused = requests.filter(({outcome}) => outcome !== 'none');
	assert.ok(refused.length > 0);
	assert.ok(refused.every(({outcome}) => outcome.endsWith('not-run')));
});
