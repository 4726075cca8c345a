import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runSuite} from '../suite.js';
import {suites} from '../suites.js';

/** Fixed, so that CI always runs the same histories; `npm run fuzz` runs others. */
const seed = 20_261_202;
const runs = 60;

for (const suite of suites) {
	test(`no history of the suite "${suite.name}" violates its invariant`, async () => {
		const report = await runSuite(suite, {seed, runs});
		assert.equal(report.histories, runs);
		assert.ok(report.faults > 0, 'no fault took effect; a run without faults proves nothing');
	});
}
