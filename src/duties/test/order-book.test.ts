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

test('an order is sent once, again when replicas that were there are gone, and when they have not come in time', () => {
	const book = OrderBook.create(clock);
	assert.ok(due(book, order('a', 3), 0));
	book.noteTaken(order('a', 3));
	assert.ok(!due(book, order('a', 3), 0));
	clock.now += 4000;
	assert.ok(!due(book, order('a', 3), 3));
	assert.ok(due(book, order('a', 3), 2), 'one of three is gone');
	assert.ok(due(book, order('a', 4), 3), 'more are wanted');
	book.noteTaken(order('b', 2));
	clock.now += 8000;
	assert.ok(due(book, order('b', 2), 1), 'one of two has not come');
});

test('a holder that finds what another ordered sends nothing anew', () => {
	assert.ok(!due(OrderBook.create(clock), order('a', 3), 3));
	assert.ok(due(OrderBook.create(clock), order('a', 3), 5));
});

test('where none are to be had one data centre is tried at a time, the one tried longest ago, and all as soon as one is taken', () => {
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

test('a refusal of what is there all the same is forgotten', () => {
	const book = OrderBook.create(clock);
	book.noteRefused(order('a', 1), 'conflict');
	assert.ok(!due(book, order('a', 1), 1));
	assert.ok(!book.isScarce('s'));
});

test('a call without an answer is made again soon, and a data centre that has no kept replicas is told', () => {
	const book = OrderBook.create(clock);
	book.noteRefused(order('a', 1, false), 'unanswered');
	assert.deepEqual([...book.closedToKept('s')], []);
	clock.now += 400;
	assert.ok(due(book, order('a', 1, false), 0));
	book.noteRefused(order('b', 1, false), 'conflict');
	assert.deepEqual([...book.closedToKept('s')], ['b']);
	assert.ok(!book.isScarce('s'), 'only reclaimable ones make it so');
});

test('replicas that somebody else added are ordered away once, and let be where they stay', () => {
	const book = OrderBook.create(clock);
	book.noteTaken(order('a', 0, false));
	clock.now += 5000;
	assert.ok(due(book, order('a', 0, false), 2));
	book.noteTaken(order('a', 0, false));
	clock.now += 20_000;
	assert.ok(!due(book, order('a', 0, false), 2));
	assert.ok(due(book, order('a', 0, false), 3), 'one more was added');
});
