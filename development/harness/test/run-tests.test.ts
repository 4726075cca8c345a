import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';

/** The test runner, as a command of its own and not part of this test's run. */
const runTests = (part: string) => {
	const {NODE_TEST_CONTEXT: _, ...env} = process.env;
	return spawnSync(process.execPath, ['scripts/run-tests.js', part], {env, encoding: 'utf8'});
};

test('a run of which no test is part fails and says so', () => {
	const {status, stdout} = runTests('no-test-has-this-name');
	assert.equal(status, 1);
	assert.match(stdout, /no test was run/v);
});

test('a run whose tests pass does not', () => {
	const {status, stdout} = runTests('event-catalogue');
	assert.equal(status, 0, stdout);
});
