import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {divideRing, ownSlots} from '../limit-slots.js';

const seed = 36;
const runs = 300;
const limits = fc.oneof(fc.double({min: 0.1, max: 300, noNaN: true}), fc.constantFrom(1, 64, 65, 1e6, 1e308));
const fleets = fc.array(fc.double({min: 0.01, max: 100, noNaN: true}), {minLength: 1, maxLength: 40}).map(weights => new Map(weights.map((weight, index) => [`edge-${index}`, weight])));
/** Milliseconds since the epoch. */
const moments = fc.double({min: 1.7e12, max: 1.9e12, noNaN: true});

test('each slot belongs to exactly one box for any weights', () => {
	fc.assert(fc.property(limits, fleets, moments, fc.string(), (limit, weights, from, start) => {
		const until = from + 5000;
		const all = ownSlots({start, limit, range: {from: 0, length: 1}}, from, until).map(({at}) => at);
		const owned = [...divideRing(weights).values()].flatMap(range => ownSlots({start, limit, range}, from, until).map(({at}) => at));
		// Rounding may give a slot at the end of a range to two boxes or to none.
		assert.ok(Math.abs(owned.length - all.length) <= 1, `${owned.length} of ${all.length}`);
		assert.ok(new Set(owned).size >= owned.length - 1);
	}), {seed, numRuns: runs});
});

test('the slots of a period hold as many requests as the limit allows', () => {
	fc.assert(fc.property(limits, moments, fc.string(), (limit, from, start) => {
		const seconds = 20;
		const requests = ownSlots({start, limit, range: {from: 0, length: 1}}, from, from + (seconds * 1000)).reduce((sum, slot) => sum + slot.requests, 0);
		assert.ok(requests <= (limit * seconds * 1.02) + Math.ceil(limit / 64) + 1, `${requests} in ${seconds} s`);
		assert.ok(requests >= (limit * seconds * 0.98) - Math.ceil(limit / 64) - 1, `${requests} in ${seconds} s`);
	}), {seed, numRuns: runs});
});

test('a used slot is not returned again, even if the query starts exactly at its beginning', () => {
	fc.assert(fc.property(limits, moments, fc.string(), (limit, from, start) => {
		const plan = {start, limit, range: {from: 0, length: 1}};
		const slots = ownSlots(plan, from, from + 2000);
		for (const [index, {at}] of slots.entries()) {
			assert.deepEqual(ownSlots(plan, at, from + 2000), slots.slice(index + 1));
		}
	}), {seed, numRuns: runs});
});

test('the slots of a box are spread evenly over time', () => {
	for (const length of [0.5, 0.1, 1 / 87]) {
		const slots = ownSlots({start: 'i-1', limit: 10, range: {from: 0.2, length}}, 1.76e12, 1.76e12 + 400_000).map(({at}) => at);
		const longest = Math.max(...slots.slice(1).map((at, index) => at - slots[index]!));
		assert.ok(longest <= 100 / length * 2.7, `${longest} ms between two slots at a range of ${length}`);
	}
});
