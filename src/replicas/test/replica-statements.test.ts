import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import {BrittleReplicas} from '../brittle-replicas.js';
import {ReplicaDirectory} from '../replica-directory.js';
import {ReplicaLimits} from '../replica-limits.js';
import {maxStatementsPerMessage, emptyStatement, type StatementSource} from '../replica-statement.js';
import {ReplicaStatements} from '../replica-statements.js';
import type {ReplicaEntry} from '../replica.js';

const leaving = {...emptyStatement, isLeaving: true};
const entry = (id: string, changes: Partial<ReplicaEntry> = {}): ReplicaEntry => ({
	id, bornAt: 7, software: '', revision: 1, service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined, ...changes,
});

function boxAt(clock: ManualClock, ids: readonly string[] = ['i-1', 'i-2']) {
	const log = SilentEventLog.create();
	const replicas = ReplicaDirectory.create(clock, log);
	replicas.replaceAll(ids.map(id => entry(id)), 5);
	const limits = ReplicaLimits.create({
		clock, log, commonTime: () => clock.now, slotRange: () => ({from: 0, length: 1}), listed: start => replicas.byStart(start),
	});
	const brittle = BrittleReplicas.create({
		clock, log, slotRange: () => ({from: 0, length: 1}), listed: start => replicas.byStart(start), ready: service => replicas.ready(service), duration: () => 0,
	});
	const statements = ReplicaStatements.create({
		clock, log, limits, brittle, replicas,
	});
	return {
		replicas, statements, limits, ready: () => replicas.ready('s').map(replica => replica.entry.id).sort(),
	};
}

const updatesOf = ({statements}: ReturnType<typeof boxAt>, sources: readonly StatementSource[] = ['answer', 'box'], isWhole = true) =>
	statements.updates(isWhole, sources, maxStatementsPerMessage.small) ?? [];

test('a replica that announced that it is leaving gets no requests while its entry is ready, expires or is written again, until it starts again', () => {
	const clock = new ManualClock(10_000);
	const {replicas, statements, ready} = boxAt(clock);
	statements.recordResponse(replicas.byId('i-1')!, leaving, 9900);
	assert.deepEqual(ready(), ['i-2']);
	// The request of this response was sent before the announcement, which therefore stays.
	statements.recordResponse(replicas.byId('i-1')!, emptyStatement, 9000);
	replicas.put(entry('i-1', {revision: 6}));
	assert.deepEqual(ready(), ['i-2']);
	replicas.remove('i-1', 8);
	replicas.put(entry('i-1', {revision: 9}));
	assert.deepEqual(ready(), ['i-2']);
	replicas.put(entry('i-1', {revision: 10, bornAt: 8}));
	assert.deepEqual(ready(), ['i-1', 'i-2'], 'a newer incarnation may serve');
});

test('a box learns from other boxes that a replica is leaving, even before the replica is listed, and does not forward statements of a digest', () => {
	const clock = new ManualClock(10_000);
	const [first, second, third] = [boxAt(clock), boxAt(clock, ['i-2']), boxAt(clock)];
	first.statements.recordResponse(first.replicas.byId('i-1')!, leaving, 9900);
	second.statements.merge('first', updatesOf(first), 'box');
	second.replicas.put(entry('i-1'));
	assert.deepEqual(second.ready(), ['i-2']);
	third.statements.merge('second', updatesOf(second), 'digest');
	assert.deepEqual(third.ready(), ['i-2']);
	assert.deepEqual([updatesOf(second), updatesOf(second, ['answer']), updatesOf(third)].map(({length}) => length), [1, 1, 0]);
});

test('a box sends an announcement that it received from another box, since that one may restart', () => {
	const clock = new ManualClock(10_000);
	const [first, second, restarted] = [boxAt(clock), boxAt(clock), boxAt(clock)];
	first.statements.recordResponse(first.replicas.byId('i-1')!, leaving, 9900);
	second.statements.merge('first', updatesOf(first), 'box');
	clock.now += 2000;
	restarted.statements.merge('second', updatesOf(second, ['answer']), 'box');
	assert.deepEqual(restarted.ready(), ['i-2']);
	assert.equal(updatesOf(restarted, ['answer'])[0]?.age, 2000, 'its age grows on the way');
});

test('in a large fleet an announcement is sent at once, then with full states as long as the replica is listed', () => {
	const clock = new ManualClock(10_000);
	const box = boxAt(clock);
	box.statements.recordResponse(box.replicas.byId('i-1')!, leaving, 9900);
	assert.equal(updatesOf(box, ['answer'], false).length, 1);
	clock.now += 60_000;
	assert.equal(updatesOf(box, ['answer'], false).length, 0);
	assert.deepEqual(updatesOf(box), [{
		start: 'i-1/7', kind: 'leaving', value: undefined, age: 60_000,
	}]);
	box.replicas.remove('i-1', 9);
	assert.deepEqual(updatesOf(box), []);
});

test('successive messages rotate through the announcements if there are many', () => {
	const clock = new ManualClock(10_000);
	const ids = Array.from({length: 30}, (_, index) => `i-${index}`);
	const {replicas, statements} = boxAt(clock, ids);
	for (const replica of replicas.all) {
		statements.recordResponse(replica, leaving, 9900);
	}

	const messages = Array.from({length: 3}, () => statements.updates(true, ['answer'], maxStatementsPerMessage.large)!);
	assert.ok(messages.every(({length}) => length === maxStatementsPerMessage.large));
	assert.equal(new Set(messages.flat().map(({start}) => start)).size, ids.length);
});

test('a pause ends only by time: a later response may extend it, but neither shortens nor ends it', () => {
	const clock = new ManualClock(10_000);
	const {replicas, statements} = boxAt(clock);
	const replica = replicas.byId('i-1')!;
	statements.recordResponse(replica, {...emptyStatement, pause: 3000}, 9990);
	clock.now += 1000;
	statements.recordResponse(replica, emptyStatement, 10_500);
	statements.recordResponse(replica, {...emptyStatement, pause: 500}, 10_500);
	statements.recordResponse(replica, {...emptyStatement, pause: 'unreadable'}, 10_500);
	assert.deepEqual([statements.remainingPause(replica), statements.hasRoom(replica)], [2000, false]);
	statements.recordResponse(replica, {...emptyStatement, pause: 3000}, 10_500);
	clock.now += 2999;
	assert.equal(statements.hasRoom(replica), false);
	clock.now++;
	assert.equal(statements.hasRoom(replica), true);
});

test('a pause binds only the box that was asked for it; other boxes know it with its age', () => {
	const clock = new ManualClock(10_000);
	const [first, second, third] = [boxAt(clock), boxAt(clock), boxAt(clock)];
	first.statements.recordResponse(first.replicas.byId('i-1')!, {...emptyStatement, pause: 3000}, 9990);
	clock.now += 500;
	const updates = updatesOf(first);
	clock.now += 200;
	second.statements.merge('first', updates, 'box');
	const replica = second.replicas.byId('i-1')!;
	assert.deepEqual([second.statements.hasRoom(replica), second.statements.pausedBoxCount(replica)], [true, 1]);
	third.statements.merge('second', updatesOf(second), 'digest');
	assert.equal(third.statements.pausedBoxCount(third.replicas.byId('i-1')!), 0, 'pauses of other boxes are not forwarded');
	clock.now += 2800;
	assert.equal(second.statements.pausedBoxCount(replica), 0);
	assert.deepEqual(updatesOf(first), []);
});

test('a newer incarnation of a replica has no pause', () => {
	const clock = new ManualClock(10_000);
	const {replicas, statements} = boxAt(clock);
	statements.recordResponse(replicas.byId('i-1')!, {...emptyStatement, pause: 60_000}, 9990);
	replicas.put(entry('i-1', {revision: 9, bornAt: 8}));
	assert.equal(statements.hasRoom(replicas.byId('i-1')!), true);
});

test('a pause and a limit stay in force while the entry of the replica goes and is written again', () => {
	const clock = new ManualClock(10_000);
	const {replicas, statements, limits} = boxAt(clock);
	statements.recordResponse(replicas.byId('i-1')!, {...emptyStatement, pause: 3000}, 9990);
	statements.recordResponse(replicas.byId('i-2')!, {...emptyStatement, limit: 1}, 9990);
	for (const id of ['i-1', 'i-2']) {
		const replica = replicas.byId(id)!;
		replicas.remove(id, 8);
		statements.forget(replica);
	}

	clock.now += 1000;
	replicas.put(entry('i-1', {revision: 9}));
	replicas.put(entry('i-2', {revision: 10}));
	assert.equal(statements.remainingPause(replicas.byId('i-1')!), 2000);
	assert.equal(limits.limitOf(replicas.byId('i-2')!), 1);
});

test('the limit of a replica that stays away is dropped', () => {
	const clock = new ManualClock(10_000);
	const box = boxAt(clock);
	const replica = box.replicas.byId('i-1')!;
	box.statements.recordResponse(replica, {...emptyStatement, limit: 1}, 9990);
	box.replicas.remove('i-1', 8);
	box.statements.forget(replica);
	clock.now += 60_000;
	assert.deepEqual(updatesOf(box), []);
	assert.equal(box.limits.limitOf(replica), undefined);
});

test('a pause that another box sends before its replica is listed counts once it is', () => {
	const clock = new ManualClock(10_000);
	const [first, second] = [boxAt(clock), boxAt(clock, ['i-2'])];
	first.statements.recordResponse(first.replicas.byId('i-1')!, {...emptyStatement, pause: 3000}, 9990);
	second.statements.merge('first', updatesOf(first), 'box');
	second.replicas.put(entry('i-1'));
	assert.equal(second.statements.pausedBoxCount(second.replicas.byId('i-1')!), 1);
});

test('among paused replicas, there is room when the first pause ends', () => {
	const clock = new ManualClock(10_000);
	const {replicas, statements} = boxAt(clock);
	statements.recordResponse(replicas.byId('i-1')!, {...emptyStatement, pause: 3000}, 9990);
	statements.recordResponse(replicas.byId('i-2')!, {...emptyStatement, pause: 1500}, 9990);
	assert.equal(statements.timeUntilRoom(replicas.all, 4, 100), 1500);
});
