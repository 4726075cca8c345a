import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {StoreStandin} from '../../../development/relay/store-standin.js';
import {HttpMetadataStore} from '../../../platform/metadata-store.js';
import {UsageCounts} from '../usage-counts.js';
import {UsageDraft} from '../usage-draft.js';

test('after the loss of all boxes the next holder restores their counts and counts none twice', async () => {
	const standin = await StoreStandin.start();
	const store = HttpMetadataStore.create('127.0.0.1', standin.port);
	const clock = new ManualClock(10_000);
	const countsOf = () => UsageCounts.create(() => clock.now, () => 5000);
	const first = countsOf();
	first.recordRequest('basin');
	first.recordRequest('basin');
	first.merge('other/one', [{window: first.currentWindow, counts: [['basin', 3]]}]);
	const draft = UsageDraft.create({
		start: 'self/one', store, counts: first, clock,
	});
	// A single step must be enough, since the box may be lost before the next one.
	await Effect.runPromise(draft.step());
	const second = countsOf();
	second.recordRequest('basin');
	const next = UsageDraft.create({
		start: 'self/two', store, counts: second, clock,
	});
	await Effect.runPromise(next.step());
	second.merge('other/one', [{window: second.currentWindow, counts: [['basin', 3]]}]);
	assert.deepEqual(second.total(second.currentWindow).counts, [['basin', 6]]);
	await standin.close();
});
