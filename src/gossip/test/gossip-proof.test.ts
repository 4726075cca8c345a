import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SilentEventLog} from '../../base/event-log.js';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import type {GossipMessage} from '../gossip-message.js';
import {PeerTable} from '../peer-table.js';

/** Milliseconds of the wall clock at which the monotonic clock shows zero. */
const epoch = 1_700_000_000_000;

const message = (name: string, changes: Partial<GossipMessage> = {}): GossipMessage => ({
	sender: {name, host: '127.0.0.1', port: 1}, incarnation: 'one', sequence: 1, uptime: 5000, wall: epoch + 1000, version: 1, isStopping: false, storeAge: 0,
	quota: [], isWhole: true, work: [], departed: [], usage: [], members: [], ...changes,
});

test('a message that arrives after a newer one is ignored', () => {
	const clock = new ManualClock(1000);
	clock.wallOffset = epoch;
	const table = PeerTable.create('self', clock, SilentEventLog.create());
	assert.equal(table.recordMessage(message('a', {sequence: 5})), 'other');
	assert.equal(table.recordMessage(message('a', {sequence: 4})), undefined);
	assert.equal(table.recordMessage(message('a', {sequence: 6})), 'known');
});

test('a process that started later than this one is classified as younger, and one that was silent for long as other', () => {
	const clock = new ManualClock(1000);
	clock.wallOffset = epoch;
	const table = PeerTable.create('self', clock, SilentEventLog.create());
	clock.now += 10_000;
	table.recordMessage(message('a', {uptime: 100}));
	assert.equal(table.recordMessage(message('a', {uptime: 50, incarnation: 'two'})), 'younger');
	clock.now += 5000;
	assert.equal(table.recordMessage(message('a', {incarnation: 'two', sequence: 2})), 'other');
});

test('common time is the median of all clocks, even if one of them is wrong', () => {
	const clock = new ManualClock(1000);
	clock.wallOffset = epoch;
	const table = PeerTable.create('self', clock, SilentEventLog.create());
	const truth = clock.wall();
	clock.wallOffset += 4000;
	table.recordMessage(message('a', {wall: truth}));
	table.recordMessage(message('b', {wall: truth + 5}));
	assert.ok(Math.abs((clock.now + table.wallOffset) - truth) <= 5);
});

test('setting wall clocks while boxes run does not move common time, even if all are set at once', () => {
	const clocks = [0, 1, 2].map(() => new ManualClock(1000));
	const tables = clocks.map((clock, index) => {
		clock.wallOffset = epoch;
		return PeerTable.create(`box-${index}`, clock, SilentEventLog.create());
	});
	const exchange = (sequence: number) => {
		for (const [index, table] of tables.entries()) {
			for (const other of tables.filter(one => one !== table)) {
				other.recordMessage(message(`box-${index}`, {sequence, wall: table.ownTime}));
			}
		}
	};

	exchange(1);
	for (const clock of clocks) {
		clock.suspend(0);
		clock.wallOffset += 3000;
		clock.now += 200;
	}

	exchange(2);
	assert.deepEqual(clocks.map(({now}, index) => Math.round(now + tables[index]!.wallOffset - epoch)), clocks.map(({now}) => now));
});

test('boxes that are silent for long are removed, and the table reports the fraction of boxes that are heard', () => {
	const clock = new ManualClock(1000);
	clock.wallOffset = epoch;
	const table = PeerTable.create('self', clock, SilentEventLog.create());
	table.recordMessage(message('a'));
	table.addMembers([{name: 'b', host: '127.0.0.1', port: 2}, {name: 'self', host: '127.0.0.1', port: 3}]);
	assert.equal(table.boxes, 3);
	assert.equal(table.heardPart, 2 / 3);
	clock.now += 25_000;
	table.sweep();
	assert.equal(table.boxes, 1);
	assert.equal(table.heardPart, 1);
});

test('a partition of a large fleet keeps the size of the whole fleet, and thus knows which fraction of it is heard', () => {
	const clock = new ManualClock(1000);
	const table = PeerTable.create('self', clock, SilentEventLog.create());
	table.recordFleetSize(86);
	for (let second = 1; second < 12; second++) {
		clock.now += 1000;
		table.recordFleetSize(4);
		for (const name of ['a', 'b', 'c']) {
			table.recordMessage(message(name, {sequence: second}));
		}

		assert.ok(table.heardPart <= 4 / 86);
	}

	clock.now += 25_000;
	table.recordFleetSize(4);
	assert.equal(table.boxes, 4);
});
