import assert from 'node:assert/strict';
import {
	after, before, beforeEach, test,
} from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import {StoreStandin} from '../../../development/relay/store-standin.js';
import {HttpMetadataStore} from '../../../platform/metadata-store.js';
import {SilentEventLog} from '../../base/event-log.js';
import {DutyLease} from '../duty-lease.js';

const wait = 3000;
let standin: StoreStandin;
let clock: MovedClock;

before(async () => {
	standin = await StoreStandin.start();
});

beforeEach(() => {
	clock = new MovedClock(1000);
	standin.remove('waydrift-duties', 'record');
});

after(async () => standin.close());

const leaseOf = (self: string, isFenced: boolean, incarnation = 'one') => DutyLease.create({
	self, incarnation, store: HttpMetadataStore.create('127.0.0.1', standin.port), clock, log: SilentEventLog.create(), wait: () => wait, isFenced: () => isFenced,
});
const acquire = async (lease: DutyLease) => Effect.runPromise(lease.acquire());

test('a new holder waits until the acts of the one before are over where the platform does not look at fences', async () => {
	await acquire(leaseOf('a', false));
	const next = leaseOf('b', false);
	await acquire(next);
	assert.ok(!next.mayAct);
	clock.now += wait;
	assert.ok(next.mayAct);
});

test('where the platform refuses what was fenced off a new holder acts at once', async () => {
	await acquire(leaseOf('a', true));
	const next = leaseOf('b', true);
	await acquire(next);
	assert.ok(next.mayAct);
});

test('a box that comes back to the duties waits until the acts of the other are over, also after a restart or a release', async () => {
	await acquire(leaseOf('a', true));
	const second = leaseOf('b', true);
	await acquire(second);
	const third = leaseOf('a', true, 'two');
	await acquire(third);
	assert.ok(!third.mayAct, 'a, b, a');
	clock.now += wait;
	assert.ok(third.mayAct);
	await Effect.runPromise(third.decide(record => record));
	await Effect.runPromise(third.release());
	const fourth = leaseOf('b', true, 'two');
	await acquire(fourth);
	assert.ok(fourth.mayAct, 'the last to act was a');
	await Effect.runPromise(fourth.release());
	const fifth = leaseOf('b', true, 'three');
	await acquire(fifth);
	assert.ok(!fifth.mayAct, 'b may have acted until this start of it began');
});

test('a box whose own last act is long ago acts at once when it holds the duties again', async () => {
	const first = leaseOf('a', true);
	await acquire(first);
	await Effect.runPromise(first.decide(record => record));
	clock.now += 20_000;
	await acquire(leaseOf('b', true));
	await acquire(first);
	assert.ok(first.mayAct);
});

const order = {
	service: 's', dataCentre: 'x', reclaimable: 3, kept: 1,
};

/** @returns What a box before the restore decided. */
const reportOf = (window: number) => ({window, counts: [['basin', window]] as ReadonlyArray<readonly [string, number]>});

test('a fence is not given out twice where the store has lost the holder that had it', async () => {
	const first = leaseOf('a', true);
	await acquire(first);
	const copy = standin.copy();
	const second = leaseOf('b', true);
	await acquire(second);
	const {signer} = await Effect.runPromise(second.decide(record => record));
	standin.restore(copy);
	const third = leaseOf('c', true);
	await acquire(third);
	clock.now += wait;
	const permit = await Effect.runPromise(third.decide(record => record));
	assert.ok(permit.signer.fence > signer.fence, `${permit.signer.fence} after ${signer.fence}`);
	const late = await Effect.runPromiseExit(first.decide(record => record));
	assert.equal(Exit.isFailure(late), true, 'the holder that the copy names does not know of it yet, and gets no permit');
});

test('a holder does not act on what the store has lost until it has taken the duties again, and goes on from what it decided', async () => {
	const lease = leaseOf('a', false);
	await acquire(lease);
	const copy = standin.copy();
	const before = await Effect.runPromise(lease.decide(record => ({...record, report: reportOf(7), orders: [order]})));
	standin.restore(copy);
	await Effect.runPromise(lease.look());
	assert.deepEqual([lease.isHeld, lease.mayAct, before.isValid()], [false, false, false]);
	await acquire(lease);
	assert.deepEqual([lease.isHeld, lease.mayAct], [true, false], 'another box may have held them, and acted');
	clock.now += wait;
	const after = await Effect.runPromise(lease.decide(record => record));
	assert.deepEqual([after.record.report, after.record.orders], [before.record.report, before.record.orders]);
	assert.ok(after.signer.fence > before.signer.fence);
});

test('a box that did not hold the duties goes on from the copy', async () => {
	const first = leaseOf('a', false);
	await acquire(first);
	await Effect.runPromise(first.decide(record => ({...record, report: reportOf(6)})));
	const copy = standin.copy();
	await Effect.runPromise(first.decide(record => ({...record, report: reportOf(7)})));
	standin.restore(copy);
	const second = leaseOf('b', false);
	await acquire(second);
	assert.deepEqual(second.known!.report, reportOf(6));
});
