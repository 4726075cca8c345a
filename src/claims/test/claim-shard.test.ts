/*
 * Guards against calls that are refused as not run (503 `claim-unavailable`) after the store is available again, although they may have
 * run (409). The client retries an interrupted call at a second box, which still has results of earlier calls to write from the time of the
 * outage. There were three causes:
 * - The shard refused every operation for the rest of its pause, up to 750 ms after the store was available again.
 * - A version conflict with another box, such as the box of the interrupted call, counted as a failure of the store.
 * - The call arrived during an attempt, between two pauses.
 * Since there are sixteen shards, only some of the calls were affected.
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

/** Milliseconds of an outage: the time after which new operations are refused early, plus a few attempts. */
const longOutage = 1900;

const shardOver = (store: FakeObjectStore) => ClaimShard.create('claims/0', {
	store, clock: SystemClock.create(), log: SilentEventLog.create(), metrics: Metrics.create(),
});
const readEntry = async (shard: ClaimShard, name: string) => Effect.runPromiseExit(shard.run(name, entry => ({write: undefined, outcome: entry})));

/** @returns A shard whose store has just become available again, and an operation that has waited for the whole outage. */
async function afterOutage() {
	const store = FakeObjectStore.create(new FakeObjects(() => performance.now()));
	const shard = shardOver(store);
	store.isUnavailable = true;
	const waiting = readEntry(shard, 'a');
	await pause(longOutage);
	store.isUnavailable = false;
	return {shard, waiting};
}

test('the first operation after an outage succeeds although the earlier operations are in a pause', async () => {
	const {shard, waiting} = await afterOutage();
	assert.ok(Exit.isSuccess(await readEntry(shard, 'b')));
	assert.ok(Exit.isSuccess(await waiting));
});

test('operations that arrive during the first attempt after an outage are not refused', async () => {
	const {shard, waiting} = await afterOutage();
	const exits: Array<Promise<Exit.Exit<unknown, unknown>>> = [];
	const recovered = new AbortController();
	void waiting.then(() => {
		recovered.abort();
	});
	// One of them arrives during the read of the attempt, which takes five milliseconds.
	while (!recovered.signal.aborted) {
		exits.push(readEntry(shard, `b-${exits.length}`));
		await pause(1);
	}

	const refused = await Promise.all(exits.map(async exit => Exit.isFailure(await exit)));
	assert.deepEqual(refused.filter(Boolean), [], `of ${refused.length}`);
});

/** Objects that another box writes just before a write of this box. */
class ContestedObjects extends FakeObjects {
	/** Number of coming writes that conflict with one of another box. */
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

test('the first operation after an outage is not refused if another box writes at the same moment', async () => {
	const objects = new ContestedObjects(() => performance.now());
	const store = FakeObjectStore.create(objects);
	const shard = shardOver(store);
	store.isUnavailable = true;
	const recorded = Effect.runPromiseExit(shard.run('a', (_, storeTime) => ({
		write: {
			attempt: 'x', fingerprint: 'f', state: 'ran', claimedAt: storeTime,
		}, outcome: undefined,
	})));
	await pause(longOutage);
	store.isUnavailable = false;
	objects.contested = 1;
	assert.ok(Exit.isSuccess(await readEntry(shard, 'b')));
	assert.ok(Exit.isSuccess(await recorded));
});

test('during an outage only a few calls per second reach the store, and all operations are refused', async () => {
	const objects = new FakeObjects(() => performance.now());
	const store = FakeObjectStore.create(objects);
	const shard = shardOver(store);
	store.isUnavailable = true;
	const waiting = readEntry(shard, 'a');
	await pause(longOutage);
	const before = objects.faults;
	const exits = await Promise.all(Array.from({length: 200}, async (_, index) => {
		await pause(index * 2);
		return readEntry(shard, `b-${index}`);
	}));
	assert.ok(exits.every(exit => Exit.isFailure(exit)));
	assert.ok(objects.faults - before <= 10, `${objects.faults - before} calls`);
	store.isUnavailable = false;
	await waiting;
});
