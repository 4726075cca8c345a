import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ReadRateEstimate} from '../read-rate-estimate.js';

test('an unknown rate that another box sends is not adopted: a single sample is still no estimate', () => {
	const estimate = ReadRateEstimate.create();
	estimate.adopt(0);
	estimate.addSample(100);
	assert.equal(estimate.rate, 0);
	estimate.adopt(50_000);
	assert.equal(estimate.rate, 50_000);
	estimate.adopt(0);
	assert.equal(estimate.rate, 50_000);
});
