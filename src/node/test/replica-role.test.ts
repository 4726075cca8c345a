import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Result from 'effect/Result';
import {SilentEventLog, type EventLog} from '../../base/event-log.js';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {simulateOutage, createAvailability} from '../../../development/harness/store-outage.js';
import {RecordingLog} from '../../../development/relay/relay-installation.js';
import type {Changes, StoredObject} from '../../follow/metadata-store.js';
import {positionOf} from '../../follow/store-position.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import type {PlatformLink} from '../platform-link.js';
import {ReplicaRole} from '../replica-role.js';

const sender = {name: 'aggregator', host: '127.0.0.1', port: 1};

const object = (name: string, revision: number, isDraining = false): StoredObject => ({name, revision, spec: {isDraining}});
const put = (name: string, revision: number, isDraining = false) => ({object: object(name, revision, isDraining), isGone: false});
const gone = (name: string, revision: number) => ({object: object(name, revision), isGone: true});

/** Creates a role that receives updates from peers only and starts with a given list. */
const createRole = (objects: readonly StoredObject[], at: number, log: EventLog = SilentEventLog.create()) => {
	const clock = new ManualClock(1000);
	const replicas = ReplicaDirectory.create(clock, log);
	const link = {
		names: {
			decodeReplica: ({name, revision, spec}: StoredObject) => Result.succeed({
				id: name, bornAt: undefined, software: '', revision,
				service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 1, isReclaimable: false, leavesIn: undefined, ...spec as {readonly isDraining: boolean},
			}),
		},
	} as unknown as PlatformLink;
	const following = createAvailability(clock);
	const role = ReplicaRole.create({
		link, clock, replicas, log, followsStore: () => false, fallbackDelay: 5000, ...following,
	});
	role.applyListing({at, objects}, clock.monotonic());
	const passStoreOutage = () => {
		simulateOutage(following.availability, clock);
	};

	return {
		role, replicas, clock, passStoreOutage, availability: following.availability,
	};
};

const ready = (replicas: ReplicaDirectory): readonly string[] => replicas.ready('s').map(({entry}) => entry.id).sort();
const sendChanges = (role: ReplicaRole, changes: Changes) => {
	role.applyPeerUpdate(sender, {at: changes.at, age: 0}, changes);
};

test('changes from a peer are applied once and in order, also in overlapping batches', () => {
	const {role, replicas} = createRole([object('x', 1)], 10);
	sendChanges(role, {at: 20, changes: [put('y', 12), gone('x', 15)]});
	assert.deepEqual(ready(replicas), ['y']);
	sendChanges(role, {at: 15, changes: [gone('y', 3)]});
	assert.deepEqual(ready(replicas), ['y'], 'an old batch changes nothing');
	sendChanges(role, {at: 25, changes: [put('y', 12), gone('x', 15), put('z', 22)]});
	assert.deepEqual(ready(replicas), ['y', 'z']);
});

test('received changes are passed on to a third box, and a box that misses too many gets none', () => {
	const {role} = createRole([object('x', 1)], 10);
	sendChanges(role, {at: 20, changes: [put('y', 12), gone('x', 3)]});
	assert.deepEqual(role.changesSince(10)?.changes.map(({object: {name}}) => name), ['y', 'x']);
	assert.equal(role.changesSince(10)?.at, 20);
	assert.deepEqual(role.changesSince(20)?.changes, []);
	assert.equal(role.changesSince(5), undefined, 'changes before the list are not known');
	sendChanges(role, {at: 500, changes: Array.from({length: 60}, (_, index) => put(`n${index}`, 100 + index))});
	assert.equal(role.changesSince(20), undefined, 'too many changes for one message');
});

test('the list counts as up to date while a peer with the same revision confirms it', () => {
	const {role, clock} = createRole([object('x', 1)], 10);
	clock.now += 3000;
	assert.equal(role.listState?.age, 3000);
	role.applyPeerUpdate(sender, {at: 10, age: 200}, undefined);
	assert.equal(role.listState?.age, 200);
	clock.now += 100;
	role.applyPeerUpdate(sender, {at: 8, age: 0}, undefined);
	assert.equal(role.listState?.age, 300, 'a peer that is behind proves nothing');
});

test('an entry that is missing after a store outage counts as gone only after a grace time, and not if it is written again', () => {
	const {role, replicas, clock, passStoreOutage} = createRole([object('x', 1), object('y', 2), object('z', 3, true)], 10);
	passStoreOutage();
	role.applyListing({at: 30, objects: []}, clock.monotonic());
	assert.deepEqual(ready(replicas), ['x', 'y'], 'a draining replica is gone at once');
	sendChanges(role, {at: 40, changes: [put('y', 35)]});
	clock.now += 2500;
	role.dropLapsed();
	assert.deepEqual(ready(replicas), ['y']);
	role.applyListing({at: 50, objects: []}, clock.monotonic());
	assert.equal(replicas.all.length, 0, 'without an outage a missing entry is gone at once');
});

test('a box that receives changes from a peer drops expired entries in time, and keeps those that are written again', () => {
	const first = [object('w', 1), object('x', 1), object('y', 2)];
	const following = createRole(first, 10);
	const learning = createRole(first, 10);
	following.passStoreOutage();
	learning.passStoreOutage();
	sendChanges(following.role, {at: 20, changes: [gone('x', 15), gone('y', 16)]});
	sendChanges(learning.role, following.role.changesSince(10)!);
	assert.deepEqual(ready(learning.replicas), ['w', 'x', 'y'], 'a running replica may still write its entry again');
	sendChanges(learning.role, {at: 30, changes: [put('y', 25)]});
	learning.clock.now += 2500;
	learning.role.dropLapsed();
	assert.deepEqual(ready(learning.replicas), ['w', 'y']);
	assert.deepEqual(learning.role.listing?.objects.map(({name}) => name), ['w', 'y'], 'the dropped entry is not served to peers either');
});

test('a box that fetches the whole list from a peer drops the entries in time that the peer holds', () => {
	const following = createRole([object('x', 1), object('y', 2)], 10);
	following.passStoreOutage();
	following.role.applyListing({at: 20, objects: [object('y', 2)]}, following.clock.monotonic());
	const {listing} = following.role;
	const learning = createRole([], 5);
	learning.role.applyListing(listing!, learning.clock.monotonic());
	assert.deepEqual(ready(learning.replicas), ['x', 'y']);
	learning.clock.now += 2500;
	learning.role.dropLapsed();
	assert.deepEqual(ready(learning.replicas), ['y']);
});

test('a removal that has the revision of its entry reaches a box that knows a part of the batch', () => {
	const first = [object('w', 2), object('x', 3), object('y', 4)];
	const {role} = createRole(first, 10);
	const between = createRole(first, 10);
	// One watch returns in one batch what another watch returns in two.
	sendChanges(role, {at: 13, changes: [gone('x', 3), gone('y', 4)]});
	sendChanges(between.role, {at: 12, changes: [gone('x', 3)]});
	sendChanges(between.role, role.changesSince(12)!);
	assert.deepEqual(ready(between.replicas), ['w']);
});

test('changes that begin after the revision that a box knows are not applied, since some are missing', () => {
	const {role, replicas} = createRole([object('x', 1)], 10);
	// Sent to the previous process of this box, which knew a higher revision.
	role.applyPeerUpdate(sender, {at: 90, age: 0}, {at: 90, from: 80, changes: [put('z', 85)]});
	assert.equal(role.listState?.at, 10);
	assert.deepEqual(ready(replicas), ['x']);
});

/** A position after the store was restored from a backup. */
const restored = (revision: number): number => positionOf(1, revision)!;

test('the list of a restored store is applied although its revision is lower, and a late list from before is not', () => {
	const {role, replicas, clock} = createRole([object('x', 1), object('y', 2)], 90);
	role.applyListing({at: restored(20), objects: [object('x', restored(1), true), object('z', restored(12))]}, clock.monotonic());
	assert.deepEqual(ready(replicas), ['y', 'z'], 'a missing entry may be written again');
	role.applyListing({at: 95, objects: [object('x', 1), object('y', 2)]}, clock.monotonic());
	sendChanges(role, {at: 95, changes: [gone('z', 94)]});
	assert.deepEqual(ready(replicas), ['y', 'z']);
	clock.now += 2500;
	role.dropLapsed();
	assert.deepEqual(ready(replicas), ['z']);
});

test('an update of an earlier era is ignored whatever its revision, and changes of a later era do not replace a whole list', () => {
	const {role, replicas} = createRole([object('x', restored(1))], restored(20));
	role.applyPeerUpdate(sender, {at: 90, age: 0}, {at: 90, changes: [gone('x', 90)]});
	assert.deepEqual(ready(replicas), ['x']);
	const behind = createRole([object('x', 1)], 90);
	behind.role.applyPeerUpdate(sender, {at: restored(20), age: 0}, {at: restored(20), changes: [put('y', restored(19))]});
	assert.deepEqual(ready(behind.replicas), ['x']);
});

test('a replica stays out of use when the store has lost its departure, until it starts again or writes a later entry', () => {
	const {role, replicas, clock} = createRole([object('w', 1), object('x', 2), object('y', 3), object('z', 4)], 50);
	sendChanges(role, {at: 80, changes: [put('w', 60, true), gone('x', 70), gone('y', 71)]});
	role.applyListing({at: restored(20), objects: [object('w', restored(1)), object('x', restored(2)), object('y', restored(3)), object('z', restored(4))]}, clock.monotonic());
	assert.deepEqual(ready(replicas), ['z']);
	assert.ok(replicas.departedWithin().every(({revision}) => revision === restored(20)), 'departures are sent with the position of the new list, so that boxes that have applied it accept them');
	sendChanges(role, {at: restored(30), changes: [gone('x', restored(22)), put('x', restored(25))]});
	assert.deepEqual(ready(replicas), ['x', 'z']);
});

test('the grace time of an entry that is removed soon after an outage counts from the end of the outage, not from the removal', () => {
	const {role, replicas, clock, passStoreOutage} = createRole([object('x', 1), object('y', 2)], 10);
	passStoreOutage();
	clock.now += 1600;
	sendChanges(role, {at: 20, changes: [gone('x', 15)]});
	assert.deepEqual(ready(replicas), ['x', 'y']);
	clock.now += 200;
	assert.deepEqual(ready(replicas), ['y']);
});

test('a hold is logged with its cause, the time since the end of the outage, and its duration', () => {
	const log = new RecordingLog();
	const {role, clock, passStoreOutage} = createRole([object('x', 1), object('y', 2)], 10, log);
	passStoreOutage();
	clock.now += 500;
	sendChanges(role, {at: 20, changes: [gone('x', 15)]});
	clock.now += 1600;
	role.dropLapsed();
	const lines = log.lines.filter(({eventName}) => eventName === 'replicaLapsed' || eventName === 'replicaGone');
	assert.deepEqual(lines, [
		{
			eventName: 'replicaLapsed', replica: 'x', revision: 15, source: 'change', storeBackFor: 500, inUseFor: 1300,
		},
		{
			eventName: 'replicaGone', replica: 'x', service: 's', revision: 15, missingFor: 1600,
		},
	]);
});

/** Guards against a departed replica that stays in use because one response of the store was lost. */
test('an entry that is removed after one lost response of the store, while other boxes get responses, counts as gone at once', () => {
	const {role, replicas, clock, availability} = createRole([object('x', 1), object('y', 2), object('z', 3)], 10);
	availability.recordOwnAnswer();
	clock.now += 1500;
	availability.recordPeerAnswer(200);
	clock.now += 1500;
	availability.recordOwnAnswer();
	sendChanges(role, {at: 20, changes: [gone('x', 15)]});
	role.applyListing({at: 30, objects: [object('z', 3)]}, clock.monotonic());
	assert.deepEqual(ready(replicas), ['z']);
});

/** Guards against a departure that a box has seen and undoes because a peer assumes that the entry has expired. */
test('a hold of a peer does not bring back a replica whose departure this box has seen', () => {
	const {role, replicas, clock} = createRole([object('x', 1), object('y', 2)], 10);
	sendChanges(role, {at: 20, changes: [gone('x', 15)]});
	role.applyListing({at: 30, objects: [object('y', 2)], held: [{object: object('x', 1), left: 1500}]}, clock.monotonic());
	assert.deepEqual(ready(replicas), ['y']);
});

/** Guards against a hold that exceeds the bound on a departure because only a later sweep ends it. */
test('a held replica gets no requests after the end of its hold, not even as a last resort', () => {
	const {role, replicas, clock, passStoreOutage} = createRole([object('x', 1)], 10);
	passStoreOutage();
	sendChanges(role, {at: 20, changes: [gone('x', 15)]});
	const [held] = replicas.ready('s');
	clock.now += 1799;
	assert.ok(replicas.maySendTo(held!));
	clock.now += 1;
	assert.equal(replicas.maySendTo(held!), false);
	assert.deepEqual(ready(replicas), []);
	role.dropLapsed();
	assert.deepEqual(ready(replicas), []);
});

/** Guards against a faulty or corrupted list of a peer that keeps a replica in use for an unlimited time. */
test('a peer cannot hold a replica for longer than an entry takes to be written again', () => {
	const {role, replicas, clock} = createRole([object('y', 2)], 10);
	role.applyListing({at: 20, objects: [object('y', 2)], held: [{object: object('x', 1), left: 1e9}]}, clock.monotonic());
	assert.deepEqual(ready(replicas), ['x', 'y']);
	clock.now += 2000;
	assert.deepEqual(ready(replicas), ['y']);
});
