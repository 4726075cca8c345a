import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {eraOf, positionOf, revisionOf} from '../store-position.js';

const era = fc.integer({min: 0, max: 100_000});
const revision = fc.integer({min: 0, max: (2 ** 36) - 1});

test('positions order by era first, then by revision, and decode to both', () => {
	fc.assert(fc.property(era, revision, era, revision, (leftEra, left, rightEra, right) => {
		const [one, other] = [positionOf(leftEra, left)!, positionOf(rightEra, right)!];
		assert.deepEqual([eraOf(one), revisionOf(one)], [leftEra, left]);
		assert.equal(Math.sign(one - other), Math.sign(leftEra - rightEra) || Math.sign(left - right));
	}), {seed: 42});
});

test('without an era, positions equal revisions', () => {
	assert.equal(positionOf(0, 812), 812);
});

test('an invalid era or revision has no position', () => {
	const invalidPairs = [[-1, 1], [0.5, 1], [Number.NaN, 1], [2 ** 20, 1], [1, -1], [1, 0.5], [1, 2 ** 36], [1, Number.NaN]] as const;
	assert.deepEqual(invalidPairs.map(([one, other]) => positionOf(one, other)), invalidPairs.map(() => undefined));
});
