import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {RecordingLog, until} from '../../../development/relay/relay-installation.js';
import {superviseRoles} from '../role.js';

test('a role that fails is reported, counted and restarted, and the other roles keep running', async () => {
	const log = new RecordingLog();
	const failed: string[] = [];
	let starts = 0;
	let steadyRuns = 0;
	const failing = Effect.sync(() => {
		starts++;
		throw new TypeError('cannot read this');
	});
	const steady = Effect.forever(Effect.sync(() => {
		steadyRuns++;
	}).pipe(Effect.andThen(Effect.sleep(10))));
	await Effect.runPromise(Effect.scoped(superviseRoles([{name: 'failing', run: failing}, {name: 'steady', run: steady}], log, role => {
		failed.push(role);
	}).pipe(Effect.andThen(Effect.promise(async () => until(() => starts === 2 && steadyRuns > 20))))));
	assert.deepEqual(failed, ['failing', 'failing']);
	const lines = log.lines.filter(({eventName}) => eventName === 'roleFailed');
	assert.deepEqual(lines.map(({role, failures}) => [role, failures]), [['failing', 1], ['failing', 2]]);
	assert.match(String(lines[0]!.detail), /cannot read this/v);
});
