import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runSuite} from '../suite.js';
import {suites} from '../suites.js';

/** Fixed, so that CI judges the same histories each time; `npm run fuzz` tries others. */
const seed = 20_261_202;
const runs = 60;

for (const suite of suites) {
	test(`no history of the suite "${suite.name}" breaks its promise`, async () => {
		const report = await runSuite(suite, {seed, runs});
		assert.equal(report.histories, runs);
		assert.ok(report.faults > 0, 'a suite without faults proves nothing');
	});
}
