/*
 * A call that had been cut was refused as not run at a second box, where it should have been told that it may have run. That box had
 * notes to write when the store went away; the shard they belong to refused everything at once for the rest of its pause, up to
 * 750 ms after the store was back, and a call whose key falls into that shard (one of sixteen) was among it: 503 `claim-unavailable`
 * after 31 ms in place of 409. It was refused so too where another box wrote to the shard just before this one, as the box of the cut call
 * does: a write that came too late counted as a failure of the store (503 after 49 ms, in one of two whole suites). And it was refused where it
 * came in the very moment of a try, between two pauses (503 `claim-unavailable` in one of 33 runs of the test of a box that had notes to write).
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import {FakeObjectStore, FakeObjects} from '../../../development/fuzz/fake-object-store.js';
import {SystemClock} from '../../base/clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import {Metrics} from '../../base/metrics.js';
import {ClaimShard} from '../claim-shard.js';

/** Milliseconds after which new operations are refused at once, and some tries beyond it. */
const longOutage = 1900;

const shardOver = (store: FakeObjectStore) => ClaimShard.create('claims/0', {
	store, clock: SystemClock.create(), log: SilentEventLog.create(), metrics: Metrics.create(),
});
const look = async (shard: ClaimShard, name: string) => Effect.runPromiseExit(shard.run(name, entry => ({write: undefined, outcome: entry})));

/** @returns A shard whose store has just come back, and the operation that has waited since before it went. */
async function afterOutage() {
	const store = FakeObjectStore.create(new FakeObjects(() => performance.now()));
	const shard = shardOver(store);
	store.isOut = true;
	const waiting = look(shard, 'a');
	await pause(longOutage);
	store.isOut = false;
	return {shard, waiting};
}

test('the first operation after the store came back finds it back, though what waited before it pauses', async () => {
	const {shard, waiting} = await afterOutage();
	assert.ok(Exit.isSuccess(await look(shard, 'b')));
	assert.ok(Exit.isSuccess(await waiting));
});

test('what comes while a try is under way is not refused: the store is back', async () => {
	const {shard, waiting} = await afterOutage();
	const exits: Array<Promise<Exit.Exit<unknown, unknown>>> = [];
	const back = new AbortController();
	void waiting.then(() => {
		back.abort();
	});
	// One of them comes while the try reads, which takes five milliseconds.
	while (!back.signal.aborted) {
		exits.push(look(shard, `b-${exits.length}`));
		await pause(1);
	}

	const refused = await Promise.all(exits.map(async exit => Exit.isFailure(await exit)));
	assert.deepEqual(refused.filter(Boolean), [], `of ${refused.length}`);
});

/** Objects that another box writes just before a write of this one. */
class ContestedObjects extends FakeObjects {
	/** Writes that come too late. */
	contested = 0;

	override write(key: string, value: string, expected: number): number | undefined {
		if (this.contested === 0) {
			return super.write(key, value, expected);
		}

		this.contested--;
		super.write(key, JSON.stringify({}), expected);
		return undefined;
	}
}

test('the first operation after the store came back is not refused because another box wrote in the same moment', async () => {
	const objects = new ContestedObjects(() => performance.now());
	const store = FakeObjectStore.create(objects);
	const shard = shardOver(store);
	store.isOut = true;
	const noted = Effect.runPromiseExit(shard.run('a', (_, storeTime) => ({
		write: {
			attempt: 'x', fingerprint: 'f', state: 'ran', claimedAt: storeTime,
		}, outcome: undefined,
	})));
	await pause(longOutage);
	store.isOut = false;
	objects.contested = 1;
	assert.ok(Exit.isSuccess(await look(shard, 'b')));
	assert.ok(Exit.isSuccess(await noted));
});

test('while the store is out a few calls a second find that out, and all else is refused at once', async () => {
	const objects = new FakeObjects(() => performance.now());
	const store = FakeObjectStore.create(objects);
	const shard = shardOver(store);
	store.isOut = true;
	const waiting = look(shard, 'a');
	await pause(longOutage);
	const before = objects.faults;
	const exits = await Promise.all(Array.from({length: 200}, async (_, index) => {
		await pause(index * 2);
		return look(shard, `b-${index}`);
	}));
	assert.ok(exits.every(exit => Exit.isFailure(exit)));
	assert.ok(objects.faults - before <= 10, `${objects.faults - before} calls`);
	store.isOut = false;
	await waiting;
});
