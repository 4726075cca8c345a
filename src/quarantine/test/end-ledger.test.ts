import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import {
	EndLedger, endLifetime, mostEndsTold, type EndNews,
} from '../end-ledger.js';
import {Fingerprint} from '../fingerprint.js';

const [x, a] = ['x', 'a'].map(letter => Fingerprint(letter.repeat(12))) as [Fingerprint, Fingerprint];
const end = (start: string, ...suspects: readonly Fingerprint[]) => ({
	start, service: 's', software: '1', suspects: suspects.map(fingerprint => ({fingerprint, ranFor: 60})),
});

function ledgerAt(now = 10_000): {readonly clock: MovedClock; readonly ledger: EndLedger} {
	const clock = new MovedClock(now);
	return {clock, ledger: EndLedger.create(clock)};
}

const knownOf = (ledger: EndLedger) => ledger.known.map(({start, suspects}) => `${start}: ${suspects.map(({fingerprint}) => fingerprint).sort().join(' ')}`).sort();

test('reports of several boxes about one crash are merged into one crash', () => {
	const {ledger} = ledgerAt();
	ledger.noteEnd(end('i-1', x), 10_000);
	ledger.take({ends: [{...end('i-1', a), age: 40}], completions: []});
	assert.deepEqual(knownOf(ledger), [`i-1: ${a} ${x}`]);
});

test('a request that completed after a crash is not suspected of it, whichever of the two updates is received first', () => {
	const news: readonly EndNews[] = [{ends: [{...end('i-1', x, a), age: 500}], completions: []}, {ends: [], completions: [{fingerprint: a, age: 200}]}];
	for (const order of [news, [...news].reverse()]) {
		const {ledger} = ledgerAt();
		for (const part of order) {
			ledger.take(part);
		}

		assert.deepEqual(knownOf(ledger), [`i-1: ${x}`]);
		assert.deepEqual([ledger.isSuspected(x), ledger.isSuspected(a)], [true, false]);
	}
});

test('a request that completed before a crash is suspected of it', () => {
	const {clock, ledger} = ledgerAt();
	ledger.noteCompletion(x);
	clock.now += 10;
	ledger.noteEnd(end('i-1', x), clock.now);
	assert.equal(ledger.isSuspected(x), true);
});

test('a box that starts later or was partitioned is sent what all boxes must know, without bystanders', () => {
	const {clock, ledger} = ledgerAt();
	ledger.noteEnd(end('i-1', x, a), clock.now);
	ledger.noteEnd(end('i-2', x), clock.now);
	ledger.noteEnd(end('i-3', x), clock.now);
	assert.equal(ledger.told(false, mostEndsTold.small)?.ends.length, 3, 'all crashes are recent');
	clock.now += 60_000;
	assert.equal(ledger.told(false, mostEndsTold.small), undefined);
	const late = ledgerAt(clock.now);
	late.ledger.take(ledger.told(true, mostEndsTold.small)!);
	assert.deepEqual(knownOf(late.ledger), [`i-1: ${x}`, `i-2: ${x}`, `i-3: ${x}`]);
});

test('a box that still suspects a completed request is sent the completion', () => {
	const {clock, ledger} = ledgerAt();
	const cutOff = ledgerAt();
	for (const start of ['i-1', 'i-2']) {
		ledger.noteEnd(end(start, a), clock.now);
		cutOff.ledger.noteEnd(end(start, a), clock.now);
	}

	clock.now += 1000;
	ledger.noteCompletion(a);
	clock.now += 60_000;
	cutOff.clock.now = clock.now;
	assert.equal(ledger.told(true, mostEndsTold.small), undefined);
	ledger.take(cutOff.ledger.told(true, mostEndsTold.small)!);
	cutOff.ledger.take(ledger.told(true, mostEndsTold.small)!);
	assert.equal(cutOff.ledger.isSuspected(a), false);
});

test('a crash expires, and is not accepted from other boxes after that', () => {
	const {clock, ledger} = ledgerAt();
	ledger.noteEnd(end('i-1', x), clock.now);
	clock.now += endLifetime + 1;
	assert.deepEqual(ledger.known, []);
	assert.equal(ledger.isEmpty, true);
	ledger.take({ends: [{...end('i-2', x), age: endLifetime + 1}], completions: []});
	assert.equal(ledger.isEmpty, true);
});

test('a client that sends many distinct bodies exhausts neither memory nor datagrams', () => {
	const {clock, ledger} = ledgerAt();
	for (let index = 0; index < 2000; index++) {
		clock.now += 1;
		ledger.noteEnd(end(`i-${index}`, ...Array.from({length: 100}, (_, other) => Fingerprint(`${index}-${other}`.padEnd(12, '-')))), clock.now);
	}

	assert.equal(ledger.known.length, 256);
	assert.ok(ledger.known.every(({suspects}) => suspects.length <= 64));
	assert.ok(JSON.stringify(ledger.told(true, mostEndsTold.small)).length < 8000);
});

test('boxes that received the same updates, in any order and any number of times, have the same state', () => {
	const suspects = fc.subarray(['a', 'b', 'c', 'd'].map(letter => Fingerprint(letter.repeat(12))), {minLength: 1});
	const told = fc.oneof(
		fc.record({start: fc.constantFrom('i-1', 'i-2', 'i-3'), suspects}).map(({start, suspects: named}): EndNews => ({
			// A crash has one time, whichever box reports it.
			ends: [{...end(start, ...named), age: Number(start.slice(2)) * 1000}], completions: [],
		})),
		fc.record({fingerprint: fc.constantFrom(x, a, Fingerprint('b'.repeat(12))), age: fc.integer({min: 0, max: 4000})}).map((completion): EndNews => ({ends: [], completions: [completion]})),
	);
	fc.assert(fc.property(fc.array(told, {maxLength: 12}), fc.array(fc.nat(), {minLength: 12, maxLength: 12}), (news, orders) => {
		const straight = ledgerAt().ledger;
		const mixed = ledgerAt().ledger;
		for (const part of news) {
			straight.take(part);
		}

		const shuffled = news.map((part, index) => ({part, rank: orders[index]!})).sort((left, right) => left.rank - right.rank).map(({part}) => part);
		for (const part of [...shuffled, ...news]) {
			mixed.take(part);
		}

		assert.deepEqual(knownOf(mixed), knownOf(straight));
	}), {seed: 29, numRuns: 300});
});
