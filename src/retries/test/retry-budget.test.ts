import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '../../../development/fuzz/virtual-time.js';
import {RetryBudget} from '../retry-budget.js';

test('while half of the requests fail, retries add at most a tenth of load plus a small reserve', () => {
	const time = {now: 0};
	const budget = RetryBudget.create(VirtualClock.create(time));
	let retries = 0;
	const requests = 10_000;
	for (let index = 0; index < requests; index++) {
		time.now += 1;
		if (index % 2 === 0) {
			budget.deposit();
		} else if (budget.withdraw()) {
			retries++;
		}
	}

	assert.ok(retries > 0);
	assert.ok(retries <= (requests * 0.1) + 10, `${retries} retries`);
});
