import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../../../development/harness/seeded-random.js';
import {spreadRetryDelay} from '../retry-delay.js';

test('clients that are refused in the same moment return spread over time, none before capacity is expected', () => {
	const random = createRandom(3);
	const delays = Array.from({length: 300}, () => spreadRetryDelay(2000, random()));
	assert.ok(Math.min(...delays) >= 2000);
	const busiest = Math.max(...[...Array.from({length: 10}).keys()].map(tenth => delays.filter(delay => delay >= 2000 + (tenth * 100) && delay < 2100 + (tenth * 100)).length));
	assert.ok(busiest <= 60, `${busiest} of 300 clients return within 100 ms`);
});

test('a client whose capacity is expected at once returns after half a second at least', () => {
	assert.deepEqual([spreadRetryDelay(0, 0), spreadRetryDelay(-100, 0), spreadRetryDelay(0, 1)], [500, 500, 750]);
});
