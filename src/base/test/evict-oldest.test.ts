import assert from 'node:assert/strict';
import {test} from 'node:test';
import {evictOldest} from '../evict-oldest.js';

test('the entries that were inserted first are removed until the bound holds', () => {
	const map = new Map([['a', 1], ['b', 2], ['c', 3], ['d', 4]]);
	evictOldest(map, 4);
	assert.equal(map.size, 4);
	evictOldest(map, 2);
	assert.deepEqual([...map.keys()], ['c', 'd']);
	evictOldest(map, 0);
	assert.equal(map.size, 0);
});
