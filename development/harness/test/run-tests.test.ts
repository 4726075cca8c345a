import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';

/** Runs the test runner as a separate command; without `NODE_TEST_CONTEXT` it does not become a part of this test run. */
const runTests = (part: string) => {
	const {NODE_TEST_CONTEXT: _, ...env} = process.env;
	return spawnSync(process.execPath, ['scripts/run-tests.js', part], {env, encoding: 'utf8'});
};

test('a run that matches no test fails with a message', () => {
	const {status, stdout} = runTests('no-test-has-this-name');
	assert.equal(status, 1);
	assert.match(stdout, /no test was run/v);
});

test('a run whose tests pass succeeds', () => {
	const {status, stdout} = runTests('event-catalogue');
	assert.equal(status, 0, stdout);
});
