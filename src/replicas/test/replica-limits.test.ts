import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {EventLog, type EventFields} from '../../base/event-log.js';
import type {EventName} from '../../base/event-catalogue.js';
import {Replica} from '../replica.js';
import {ReplicaLimits} from '../replica-limits.js';
import {maxStatementsPerMessage} from '../replica-statement.js';

/** Milliseconds of the boxes' common time at which the clock shows zero. */
const epoch = 1_764_700_000_000;
/** Limit that a replica announces, in requests per second. */
const limit = 2;

class RecordingLog extends EventLog {
	readonly names: EventName[] = [];

	override write(name: EventName, _: EventFields = {}): void {
		this.names.push(name);
	}
}

function boxAt(clock: ManualClock, length = 1) {
	const replicaOf = (id: string, bornAt = 7) => Replica.create({
		id, bornAt, software: '1', revision: 1, service: 's', host: '10.1.0.1', port: 1, dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined,
	}, clock);
	const listed = new Map(['i-1', 'i-2'].map(id => [id, replicaOf(id)]));
	const log = new RecordingLog();
	const limits = ReplicaLimits.create({
		clock, log, commonTime: () => epoch + clock.now, slotRange: () => ({from: 0, length}), listed: start => [...listed.values()].find(replica => replica.start === start),
	});
	return {
		limits, log, replica: listed.get('i-1')!, other: listed.get('i-2')!, replicaOf,
	};
}

test('a response without a limit ends the limit, unless its request was sent before the limit was received', () => {
	const clock = new ManualClock(1000);
	const {limits, log, replica} = boxAt(clock);
	limits.recordResponse(replica, limit, 900);
	limits.recordResponse(replica, undefined, 950);
	assert.equal(limits.limitOf(replica), limit, 'the response may have been produced before the limit');
	clock.now = 2000;
	limits.recordResponse(replica, undefined, 1500);
	assert.equal(limits.limitOf(replica), undefined);
	limits.recordResponse(replica, undefined, 1600);
	assert.deepEqual(log.names, ['replicaLimited', 'replicaLimitEnded']);
});

test('of two limits sent by different boxes the newer one applies, in either order of arrival', () => {
	for (const isLimitFirst of [true, false]) {
		const clock = new ManualClock(10_000);
		const {limits, replica} = boxAt(clock);
		const {start} = replica;
		const updates = [{start, limit, age: 900}, {start, limit: undefined, age: 300}];
		for (const update of isLimitFirst ? updates : updates.toReversed()) {
			limits.merge([update], 'box');
		}

		assert.equal(limits.limitOf(replica), undefined);
	}
});

test('a box sends limits from responses, an aggregator also those that boxes sent, and no box those of a digest', () => {
	const clock = new ManualClock(10_000);
	const {limits, replica, other} = boxAt(clock);
	limits.recordResponse(replica, limit, 9000);
	limits.merge([{start: other.start, limit: 3, age: 40}], 'box');
	limits.merge([{start: 'i-9/7', limit: 4, age: 40}], 'digest');
	clock.now += 5000;
	assert.deepEqual(limits.updates(true, ['answer'], 10), [{start: replica.start, limit, age: 5000}]);
	assert.deepEqual(limits.updates(true, ['answer', 'box'], 10)?.map(({start}) => start), [replica.start, other.start]);
	assert.equal(limits.updates(false, ['answer', 'box'], 10), undefined, 'no limit has changed recently');
});

test('the end of a limit is sent for a limited time', () => {
	const clock = new ManualClock(10_000);
	const {limits, replica} = boxAt(clock);
	limits.recordResponse(replica, limit, 9000);
	clock.now = 11_000;
	limits.recordResponse(replica, undefined, 10_500);
	assert.deepEqual(limits.updates(true, ['answer'], 10), [{start: replica.start, limit: undefined, age: 500}]);
	clock.now = 30_000;
	assert.equal(limits.updates(true, ['answer'], 10), undefined);
});

test('if there are more limits than a message holds, successive messages rotate through all of them', () => {
	const clock = new ManualClock(10_000);
	const {limits, replicaOf} = boxAt(clock);
	const replicas = Array.from({length: 40}, (_, index) => replicaOf(`i-${index}`));
	for (const replica of replicas) {
		limits.recordResponse(replica, limit, 9000);
	}

	const messages = Array.from({length: 4}, () => limits.updates(true, ['answer'], maxStatementsPerMessage.large)!);
	assert.ok(messages.every(({length}) => length === maxStatementsPerMessage.large));
	assert.equal(new Set(messages.flat().map(({start}) => start)).size, 40);
});

test('an unreadable limit changes nothing and is logged at most once a second; a limit that changes with each response is logged as rarely', () => {
	const clock = new ManualClock(10_000);
	const {limits, log, replica} = boxAt(clock);
	limits.recordResponse(replica, limit, 9000);
	for (let index = 0; index < 20; index++) {
		clock.now += 100;
		limits.recordResponse(replica, 'unreadable', clock.now);
	}

	assert.equal(limits.limitOf(replica), limit);
	assert.equal(log.names.filter(name => name === 'replicaLimitUnreadable').length, 2);
	for (let index = 0; index < 40; index++) {
		clock.now += 50;
		limits.recordResponse(replica, index, clock.now);
	}

	assert.ok(log.names.filter(name => name === 'replicaLimited').length <= 4);
});

test('another incarnation of a replica has no limit', () => {
	const clock = new ManualClock(10_000);
	const {limits, replica, replicaOf} = boxAt(clock);
	limits.recordResponse(replica, limit, 9000);
	assert.equal(limits.limitOf(replicaOf('i-1', 8)), undefined);
	assert.deepEqual(limits.limited, [replica]);
	limits.forget(replica);
	assert.equal(limits.limitOf(replica), undefined);
	assert.deepEqual(limits.limited, [], 'no state of the replica is kept');
});

test('a replica without a limit has room; with a limit each slot is used once, and a request that is too late for its slot is not sent', () => {
	const clock = new ManualClock(10_000);
	const {limits, replica} = boxAt(clock);
	assert.ok(limits.hasRoom(replica));
	assert.equal(limits.acquireSlot(replica), undefined);
	assert.ok(limits.maySend(replica, undefined));
	limits.recordResponse(replica, limit, 9000);
	assert.ok(!limits.hasRoom(replica), 'slots from before the limit was received give no credit');
	assert.ok(!limits.maySend(replica, undefined), 'a request that was assigned before the limit was received is not sent either');
	const acquired = Array.from({length: 200}, () => {
		clock.now += 50;
		return limits.acquireSlot(replica);
	}).filter(slot => slot !== undefined);
	assert.equal(acquired.length, 20);
	assert.equal(new Set(acquired.map(({at}) => at)).size, 20);
	const last = acquired.at(-1)!;
	assert.ok(limits.maySend(replica, last));
	clock.now += 400;
	limits.acquireSlot(replica);
	clock.now = last.at - epoch + 1600;
	while (limits.acquireSlot(replica)) {
		// Uses up all open slots.
	}

	assert.ok(!limits.maySend(replica, last));
});

test('a limited replica that has not responded for long gets the next request', () => {
	const clock = new ManualClock(10_000);
	const {limits, replica} = boxAt(clock);
	limits.recordResponse(replica, 0, 9000);
	const dueAfter = Array.from({length: 30}, () => {
		clock.now += 1000;
		return limits.isProbeDue(replica);
	}).indexOf(true);
	assert.ok(dueAfter >= 4 && dueAfter <= 15, `due after ${dueAfter + 1} s`);
	limits.recordResponse(replica, undefined, clock.now);
	assert.ok(!limits.isProbeDue(replica));
});

test('the time until there is room accounts for requests that are queued ahead', () => {
	const clock = new ManualClock(10_000);
	const {limits, replica} = boxAt(clock);
	limits.recordResponse(replica, limit, 9000);
	const waits = [0, 1, 2].map(requestsAhead => limits.timeUntilRoom([replica], requestsAhead, 5000));
	assert.ok(waits[0]! <= 500 && waits[0]! >= 0);
	assert.deepEqual(waits.slice(1).map((wait, index) => Math.round(wait - waits[index]!)), [500, 500]);
	assert.equal(limits.timeUntilRoom([replica], 0, 0), Number.POSITIVE_INFINITY);
	clock.now += waits[0]!;
	assert.ok(limits.hasRoom(replica));
});
