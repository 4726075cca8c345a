import assert from 'node:assert/strict';
import {
	after, before, beforeEach, test,
} from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {StoreStandin} from '../../../development/relay/store-standin.js';
import {HttpMetadataStore} from '../../../platform/metadata-store.js';
import {SilentEventLog} from '../../base/event-log.js';
import {DutyLease} from '../duty-lease.js';

/** Milliseconds during which calls of a previous holder may still take effect. */
const wait = 3000;
let standin: StoreStandin;
let clock: ManualClock;

before(async () => {
	standin = await StoreStandin.start();
});

beforeEach(() => {
	clock = new ManualClock(1000);
	standin.remove('waydrift-duties', 'record');
});

after(async () => standin.close());

const leaseOf = (self: string, isFenced: boolean, incarnation = 'one') => DutyLease.create({
	self, incarnation, store: HttpMetadataStore.create('127.0.0.1', standin.port), clock, log: SilentEventLog.create(), wait: () => wait, isFenced: () => isFenced,
});
const acquire = async (lease: DutyLease) => Effect.runPromise(lease.acquire());

test('a new holder waits until the calls of the previous one have expired if the platform does not check fences', async () => {
	await acquire(leaseOf('a', false));
	const next = leaseOf('b', false);
	await acquire(next);
	assert.ok(!next.mayAct);
	clock.now += wait;
	assert.ok(next.mayAct);
});

test('a new holder acts at once if the platform rejects calls with an old fence', async () => {
	await acquire(leaseOf('a', true));
	const next = leaseOf('b', true);
	await acquire(next);
	assert.ok(next.mayAct);
});

test('a box that acquires the duties again after another holder waits until its own earlier calls have expired, also after a restart or a release', async () => {
	await acquire(leaseOf('a', true));
	const second = leaseOf('b', true);
	await acquire(second);
	const third = leaseOf('a', true, 'two');
	await acquire(third);
	assert.ok(!third.mayAct, 'the holders were a, b, a');
	clock.now += wait;
	assert.ok(third.mayAct);
	await Effect.runPromise(third.decide(record => record));
	await Effect.runPromise(third.release());
	const fourth = leaseOf('b', true, 'two');
	await acquire(fourth);
	assert.ok(fourth.mayAct, 'a was the last holder that made calls');
	await Effect.runPromise(fourth.release());
	const fifth = leaseOf('b', true, 'three');
	await acquire(fifth);
	assert.ok(!fifth.mayAct, 'an earlier process of b may have made calls until this one started');
});

test('a box whose own last call has expired acts at once when it holds the duties again', async () => {
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

/** @returns A report decided before the restore. */
const reportOf = (window: number) => ({window, counts: [['basin', window]] as ReadonlyArray<readonly [string, number]>});

test('a fence is not reused after the store has lost its holder', async () => {
	const first = leaseOf('a', true);
	await acquire(first);
	const copy = standin.backUp();
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
	assert.equal(Exit.isFailure(late), true, 'the holder named in the backup has not read the new record and gets no permit');
});

test('after a restore a holder does not act until it has acquired the duties again, and continues from its own last decision', async () => {
	const lease = leaseOf('a', false);
	await acquire(lease);
	const copy = standin.backUp();
	const before = await Effect.runPromise(lease.decide(record => ({...record, report: reportOf(7), orders: [order]})));
	standin.restore(copy);
	await Effect.runPromise(lease.read());
	assert.deepEqual([lease.isHeld, lease.mayAct, before.isValid()], [false, false, false]);
	await acquire(lease);
	assert.deepEqual([lease.isHeld, lease.mayAct], [true, false], 'another box may have held the duties and made calls');
	clock.now += wait;
	const after = await Effect.runPromise(lease.decide(record => record));
	assert.deepEqual([after.record.report, after.record.orders], [before.record.report, before.record.orders]);
	assert.ok(after.signer.fence > before.signer.fence);
});

test('a box that did not hold the duties continues from the restored record', async () => {
	const first = leaseOf('a', false);
	await acquire(first);
	await Effect.runPromise(first.decide(record => ({...record, report: reportOf(6)})));
	const copy = standin.backUp();
	await Effect.runPromise(first.decide(record => ({...record, report: reportOf(7)})));
	standin.restore(copy);
	const second = leaseOf('b', false);
	await acquire(second);
	assert.deepEqual(second.known!.report, reportOf(6));
});
