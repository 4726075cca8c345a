import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {
	CrashLedger, crashLifetime, maxCrashesSent, type CrashLedgerUpdate,
} from '../crash-ledger.js';
import {Fingerprint} from '../fingerprint.js';

const [x, a] = ['x', 'a'].map(letter => Fingerprint(letter.repeat(12))) as [Fingerprint, Fingerprint];
const crash = (start: string, ...suspects: readonly Fingerprint[]) => ({
	start, service: 's', software: '1', suspects: suspects.map(fingerprint => ({fingerprint, ranFor: 60})),
});

function ledgerAt(now = 10_000): {readonly clock: ManualClock; readonly ledger: CrashLedger} {
	const clock = new ManualClock(now);
	return {clock, ledger: CrashLedger.create(clock)};
}

const knownOf = (ledger: CrashLedger) => ledger.crashes.map(({start, suspects}) => `${start}: ${suspects.map(({fingerprint}) => fingerprint).sort().join(' ')}`).sort();

test('reports of several boxes about one crash are merged into one crash', () => {
	const {ledger} = ledgerAt();
	ledger.recordCrash(crash('i-1', x), 10_000);
	ledger.merge({crashes: [{...crash('i-1', a), age: 40}], completions: []});
	assert.deepEqual(knownOf(ledger), [`i-1: ${a} ${x}`]);
});

test('a request that completed after a crash is not suspected of it, whichever of the two updates is received first', () => {
	const updates: readonly CrashLedgerUpdate[] = [{crashes: [{...crash('i-1', x, a), age: 500}], completions: []}, {crashes: [], completions: [{fingerprint: a, age: 200}]}];
	for (const order of [updates, [...updates].reverse()]) {
		const {ledger} = ledgerAt();
		for (const update of order) {
			ledger.merge(update);
		}

		assert.deepEqual(knownOf(ledger), [`i-1: ${x}`]);
		assert.deepEqual([ledger.isSuspected(x), ledger.isSuspected(a)], [true, false]);
	}
});

test('a request that completed before a crash is suspected of it', () => {
	const {clock, ledger} = ledgerAt();
	ledger.recordCompletion(x);
	clock.now += 10;
	ledger.recordCrash(crash('i-1', x), clock.now);
	assert.equal(ledger.isSuspected(x), true);
});

test('a box that starts later or was partitioned is sent what all boxes must know, without bystanders', () => {
	const {clock, ledger} = ledgerAt();
	ledger.recordCrash(crash('i-1', x, a), clock.now);
	ledger.recordCrash(crash('i-2', x), clock.now);
	ledger.recordCrash(crash('i-3', x), clock.now);
	assert.equal(ledger.collectUpdate(false, maxCrashesSent.small)?.crashes.length, 3, 'all crashes are recent');
	clock.now += 60_000;
	assert.equal(ledger.collectUpdate(false, maxCrashesSent.small), undefined);
	const late = ledgerAt(clock.now);
	late.ledger.merge(ledger.collectUpdate(true, maxCrashesSent.small)!);
	assert.deepEqual(knownOf(late.ledger), [`i-1: ${x}`, `i-2: ${x}`, `i-3: ${x}`]);
});

test('a box that still suspects a completed request is sent the completion', () => {
	const {clock, ledger} = ledgerAt();
	const partitioned = ledgerAt();
	for (const start of ['i-1', 'i-2']) {
		ledger.recordCrash(crash(start, a), clock.now);
		partitioned.ledger.recordCrash(crash(start, a), clock.now);
	}

	clock.now += 1000;
	ledger.recordCompletion(a);
	clock.now += 60_000;
	partitioned.clock.now = clock.now;
	assert.equal(ledger.collectUpdate(true, maxCrashesSent.small), undefined);
	ledger.merge(partitioned.ledger.collectUpdate(true, maxCrashesSent.small)!);
	partitioned.ledger.merge(ledger.collectUpdate(true, maxCrashesSent.small)!);
	assert.equal(partitioned.ledger.isSuspected(a), false);
});

test('a crash expires, and is not accepted from other boxes after that', () => {
	const {clock, ledger} = ledgerAt();
	ledger.recordCrash(crash('i-1', x), clock.now);
	clock.now += crashLifetime + 1;
	assert.deepEqual(ledger.crashes, []);
	assert.equal(ledger.isEmpty, true);
	ledger.merge({crashes: [{...crash('i-2', x), age: crashLifetime + 1}], completions: []});
	assert.equal(ledger.isEmpty, true);
});

test('a client that sends many distinct bodies exhausts neither memory nor datagrams', () => {
	const {clock, ledger} = ledgerAt();
	for (let index = 0; index < 2000; index++) {
		clock.now += 1;
		ledger.recordCrash(crash(`i-${index}`, ...Array.from({length: 100}, (_, other) => Fingerprint(`${index}-${other}`.padEnd(12, '-')))), clock.now);
	}

	assert.equal(ledger.crashes.length, 256);
	assert.ok(ledger.crashes.every(({suspects}) => suspects.length <= 64));
	assert.ok(JSON.stringify(ledger.collectUpdate(true, maxCrashesSent.small)).length < 8000);
});

test('boxes that received the same updates, in any order and any number of times, have the same state', () => {
	const suspects = fc.subarray(['a', 'b', 'c', 'd'].map(letter => Fingerprint(letter.repeat(12))), {minLength: 1});
	const anyUpdate = fc.oneof(
		fc.record({start: fc.constantFrom('i-1', 'i-2', 'i-3'), suspects}).map(({start, suspects: named}): CrashLedgerUpdate => ({
			// A crash has one time, whichever box reports it.
			crashes: [{...crash(start, ...named), age: Number(start.slice(2)) * 1000}], completions: [],
		})),
		fc.record({fingerprint: fc.constantFrom(x, a, Fingerprint('b'.repeat(12))), age: fc.integer({min: 0, max: 4000})})
			.map((completion): CrashLedgerUpdate => ({crashes: [], completions: [completion]})),
	);
	fc.assert(fc.property(fc.array(anyUpdate, {maxLength: 12}), fc.array(fc.nat(), {minLength: 12, maxLength: 12}), (updates, orders) => {
		const inOrder = ledgerAt().ledger;
		const reordered = ledgerAt().ledger;
		for (const update of updates) {
			inOrder.merge(update);
		}

		const shuffled = updates.map((update, index) => ({update, rank: orders[index]!})).sort((left, right) => left.rank - right.rank).map(({update}) => update);
		for (const update of [...shuffled, ...updates]) {
			reordered.merge(update);
		}

		assert.deepEqual(knownOf(reordered), knownOf(inOrder));
	}), {seed: 29, numRuns: 300});
});
