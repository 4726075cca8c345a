import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {BodyBuffer} from '../body-buffer.js';

const expected = Buffer.from(Array.from({length: 100_003}, (_, index) => index % 251));

test('pieces of one byte are collected in order, in at most twice their memory', () => {
	const buffer = BodyBuffer.create();
	for (const byte of expected) {
		buffer.add(Uint8Array.of(byte));
	}

	assert.deepEqual(Buffer.from(buffer.content), expected);
	assert.ok(buffer.capacity <= 2 * expected.length, `${buffer.capacity} bytes`);
});

test('a body of known length takes just its length', () => {
	const buffer = BodyBuffer.create(expected.length);
	buffer.add(expected.subarray(0, 10));
	buffer.add(expected.subarray(10));
	assert.deepEqual(Buffer.from(buffer.content), expected);
	assert.equal(buffer.capacity, expected.length);
});

test('a buffer that was cleared is empty', () => {
	const buffer = BodyBuffer.create();
	buffer.add(expected);
	buffer.clear();
	assert.deepEqual([buffer.size, buffer.capacity], [0, 0]);
});
