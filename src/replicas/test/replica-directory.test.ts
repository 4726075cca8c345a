import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import {ReplicaDirectory} from '../replica-directory.js';
import type {ReplicaEntry} from '../replica.js';

const entry = (id: string, changes: Partial<ReplicaEntry> = {}): ReplicaEntry => ({
	id, bornAt: undefined, software: '', revision: 1, service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined, ...changes,
});

function directoryOf(entries: readonly ReplicaEntry[]): {readonly clock: MovedClock; readonly directory: ReplicaDirectory} {
	const clock = new MovedClock(10_000);
	const directory = ReplicaDirectory.create(clock, SilentEventLog.create());
	directory.replaceAll(entries, 5);
	return {clock, directory};
}

const readyIds = (directory: ReplicaDirectory): readonly string[] => directory.ready('s').map(replica => replica.entry.id);

test('an entry that lapsed and was written again counts again, whatever peers still tell of its departure', () => {
	const {directory} = directoryOf([entry('a'), entry('b')]);
	directory.remove('a', 10);
	assert.deepEqual(readyIds(directory), ['b']);
	directory.put(entry('a', {revision: 12}));
	directory.noteLeaving({id: 'a', revision: 10}, 'peer');
	assert.deepEqual(readyIds(directory), ['b', 'a']);
	directory.noteLeaving({id: 'a', revision: 13}, 'peer');
	assert.deepEqual(readyIds(directory), ['b']);
});

test('an older entry does not bring a replica back that a peer saw leave', () => {
	const {directory} = directoryOf([]);
	directory.noteLeaving({id: 'a', revision: 10}, 'peer');
	directory.put(entry('a', {revision: 9}));
	assert.equal(directory.named('a')!.isLeaving, true);
});

test('a replica that drains never becomes ready again', () => {
	const {directory} = directoryOf([entry('a'), entry('b')]);
	directory.put(entry('a', {revision: 6, isDraining: true}));
	directory.put(entry('a', {revision: 7}));
	assert.deepEqual(readyIds(directory), ['b']);
});

test('where all entries lapse at once the replicas are used a little longer, and then no more', () => {
	const {clock, directory} = directoryOf([entry('a'), entry('b')]);
	directory.replaceAll([], 20);
	assert.deepEqual(readyIds(directory), ['a', 'b']);
	clock.now += 1000;
	assert.deepEqual(readyIds(directory), []);
});

test('a replica that has requests and sends nothing counts as silent until it is heard', () => {
	const {clock, directory} = directoryOf([entry('a')]);
	const replica = directory.named('a')!;
	clock.now += 5000;
	assert.equal(replica.isSilent, false, 'without requests nothing is expected of it');
	replica.begin(0);
	clock.now += 950;
	assert.equal(replica.isSilent, true);
	replica.noteHeard();
	assert.equal(replica.isSilent, false);
});

test('departures are told for as long as is asked, and are known for longer', () => {
	const {clock, directory} = directoryOf([entry('a'), entry('b'), entry('c')]);
	directory.remove('a', 10);
	clock.now += 3000;
	directory.put(entry('b', {revision: 12, isDraining: true}));
	const ids = (within?: number) => directory.departedWithin(within).map(({id}) => id);
	assert.deepEqual(ids(2500), ['b']);
	assert.deepEqual(ids(), ['a', 'b']);
	clock.now += 8000;
	assert.deepEqual(ids(), ['b']);
});

test('a newer start under a known id has nothing of the one before, and an older one that arrives late changes nothing', () => {
	const {clock, directory} = directoryOf([entry('a', {bornAt: 100}), entry('b')]);
	const gone: string[] = [];
	directory.onDidGo(({start}) => gone.push(start));
	const before = directory.named('a')!;
	before.begin(500);
	before.noteAnswer(70, true);
	before.noteFailure();
	before.notePeerWork('box-2', {requests: 3, unreadTokens: 10});
	directory.put(entry('a', {bornAt: 100, revision: 6, isDraining: true}));
	assert.deepEqual(readyIds(directory), ['b']);
	clock.now += 10;
	directory.put(entry('a', {bornAt: 900, revision: 8}));
	const after = directory.named('a')!;
	assert.deepEqual(gone, ['a/100']);
	assert.deepEqual([after.isLeaving, after.isAvoided, after.errorShare, after.latency, after.work], [false, false, 0, 0, {requests: 0, unreadTokens: 0}]);
	assert.deepEqual([before.isReplaced, directory.mayBeSent(before)], [true, false], 'what was chosen for the start before is not sent');
	directory.put(entry('a', {bornAt: 100, revision: 9, isDraining: true}));
	directory.noteLeaving({id: 'a', revision: 6}, 'peer');
	assert.deepEqual(readyIds(directory), ['a', 'b']);
	assert.ok(directory.settledFor > 0, 'a replica that is back is no new one');
});
