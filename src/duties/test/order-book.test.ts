import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import type {ReplicaOrder} from '../duty-calls.js';
import {OrderBook} from '../order-book.js';

const clock = new MovedClock(1000);
const order = (dataCentre: string, count: number, isReclaimable = true): ReplicaOrder => ({
	service: 's', dataCentre, count, isReclaimable,
});
const due = (book: OrderBook, asked: ReplicaOrder, present: number) => book.isDue(asked, {present, bootTime: 4000});

test('an order is sent once, and again if replicas have gone or have not arrived in time', () => {
	const book = OrderBook.create(clock);
	assert.ok(due(book, order('a', 3), 0));
	book.noteTaken(order('a', 3));
	assert.ok(!due(book, order('a', 3), 0));
	clock.now += 4000;
	assert.ok(!due(book, order('a', 3), 3));
	assert.ok(due(book, order('a', 3), 2), 'one of three has gone');
	assert.ok(due(book, order('a', 4), 3), 'more replicas are planned');
	book.noteTaken(order('b', 2));
	clock.now += 8000;
	assert.ok(due(book, order('b', 2), 1), 'one of two has not arrived');
});

test('a holder does not repeat an order of another holder whose replicas are present', () => {
	assert.ok(!due(OrderBook.create(clock), order('a', 3), 3));
	assert.ok(due(OrderBook.create(clock), order('a', 3), 5));
});

test('unavailable replicas are retried in one data centre at a time, the least recently tried, and in all once an order is accepted', () => {
	const book = OrderBook.create(clock);
	const asked = ['a', 'b', 'c', 'd'].map(dataCentre => order(dataCentre, 2));
	for (const each of asked) {
		clock.now += 10;
		book.noteRefused(each, 'conflict');
	}

	assert.ok(book.isScarce('s'));
	let calls = 0;
	for (let step = 0; step < 60; step++) {
		clock.now += 250;
		for (const each of asked.filter(one => due(book, one, 0))) {
			calls++;
			book.noteRefused(each, 'conflict');
		}
	}

	assert.ok(calls >= 8 && calls <= 10, `${calls} calls in 15 s`);
	book.noteTaken(asked[2]!);
	assert.ok(asked.filter((_, index) => index !== 2).every(one => due(book, one, 0)));
	assert.ok(!book.isScarce('s'));
});

test('a refusal is forgotten if the replicas are present nevertheless', () => {
	const book = OrderBook.create(clock);
	book.noteRefused(order('a', 1), 'conflict');
	assert.ok(!due(book, order('a', 1), 1));
	assert.ok(!book.isScarce('s'));
});

test('an unanswered call is repeated soon, and data centres without available kept replicas are returned', () => {
	const book = OrderBook.create(clock);
	book.noteRefused(order('a', 1, false), 'unanswered');
	assert.deepEqual([...book.closedToKept('s')], []);
	clock.now += 400;
	assert.ok(due(book, order('a', 1, false), 0));
	book.noteRefused(order('b', 1, false), 'conflict');
	assert.deepEqual([...book.closedToKept('s')], ['b']);
	assert.ok(!book.isScarce('s'), 'only unavailable reclaimable replicas count');
});

test('the removal of replicas added without an order is ordered once, and those that stay are ignored', () => {
	const book = OrderBook.create(clock);
	book.noteTaken(order('a', 0, false));
	clock.now += 5000;
	assert.ok(due(book, order('a', 0, false), 2));
	book.noteTaken(order('a', 0, false));
	clock.now += 20_000;
	assert.ok(!due(book, order('a', 0, false), 2));
	assert.ok(due(book, order('a', 0, false), 3), 'another replica was added');
});
