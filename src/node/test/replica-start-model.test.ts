import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {simulateOutage, createAvailability} from '../../../development/harness/store-outage.js';
import {decodeReplica} from '../../../platform/formats.js';
import {SilentEventLog} from '../../base/event-log.js';
import type {Change, StoredObject} from '../../follow/metadata-store.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import {positionOf, revisionOf} from '../../follow/store-position.js';
import type {PlatformLink} from '../platform-link.js';
import {ReplicaRole} from '../replica-role.js';

const updateKinds = ['list', 'whole', 'late', 'departure', 'restore', 'write-again', 'away'] as const;

/** What may happen to the entry of a replica in the store, or which update a box receives. */
type Step =
	| {readonly kind: 'start' | 'drain' | 'go' | 'spoil'; readonly id: string}
	| {readonly kind: typeof updateKinds[number]; readonly id: string; readonly part: number};

/** Milliseconds after which an expired entry that was not written again counts as gone. */
const lapseTime = 2500;
const ids = ['i-1', 'i-2', 'i-3'] as const;
const sender = {name: 'peer', host: '127.0.0.1', port: 1};
const id = fc.constantFrom(...ids);
const step: fc.Arbitrary<Step> = fc.oneof(
	fc.record({kind: fc.constantFrom('start' as const, 'drain' as const, 'go' as const, 'spoil' as const), id}),
	fc.record({kind: fc.constantFrom(...updateKinds), id, part: fc.double({min: 0, max: 1, noNaN: true})}),
);

/** A backup of the store. */
type StoreBackup = {readonly objects: ReadonlyMap<string, StoredObject>; readonly revision: number; readonly history: ReadonlyArray<Change & {readonly at: number}>};

/** A store with its history, which may be restored from a backup, and a box that receives updates in any order that the gossip protocol allows. */
class Model {
	private readonly clock = new ManualClock(100_000);
	private readonly replicas = ReplicaDirectory.create(this.clock, SilentEventLog.create());
	private readonly following = createAvailability(this.clock);
	private readonly role = ReplicaRole.create({
		link: {names: {replicaKind: 'replicas', decodeReplica}} as unknown as PlatformLink,
		clock: this.clock, replicas: this.replicas, log: SilentEventLog.create(), followsStore: () => false, fallbackDelay: 5000, ...this.following,
	});

	private objects = new Map<string, StoredObject>();
	/** Changes of earlier eras of the store. */
	private lostHistory: ReadonlyArray<Change & {readonly at: number}> = [];
	/** The last entry that each replica wrote, even if the store has lost it. */
	private readonly written = new Map<string, unknown>();
	private backups: readonly StoreBackup[] = [];
	private era = 0;
	private history: ReadonlyArray<Change & {readonly at: number}> = [];
	private revision = 1;
	private sentUpTo = 1;
	/** Whether the box has read a list since the store was last restored from a backup. */
	private isListed = true;

	constructor() {
		this.role.applyListing({at: this.revision, objects: []}, this.clock.monotonic());
	}

	applyStep(what: Step): void {
		this.clock.now += 50;
		switch (what.kind) {
			case 'start': {
				this.write(what.id, {state: 'ready', born: this.clock.now});
				break;
			}

			case 'drain': {
				this.change(what.id, {state: 'draining'});
				break;
			}

			case 'spoil': {
				this.change(what.id, {addr: 7});
				break;
			}

			case 'go': {
				this.remove(what.id);
				break;
			}

			case 'list': {
				this.sendChanges(positionOf(this.era, Math.floor(what.part * revisionOf(this.revision)))!);
				break;
			}

			case 'whole': {
				this.sendList();
				break;
			}

			case 'late': {
				const known = this.history.filter(({object}) => object.name === what.id);
				const old = known[Math.floor(what.part * known.length)];
				// A peer that is behind sends one old change; the box already knows the changes before it.
				if (old && old.at <= this.sentUpTo) {
					this.role.applyPeerUpdate(sender, {at: old.at, age: 0}, {at: old.at, changes: [old]});
				}

				break;
			}

			case 'restore': {
				this.restore(what.part);
				break;
			}

			case 'away': {
				simulateOutage(this.following.availability, this.clock);
				break;
			}

			case 'write-again': {
				this.writeAgain(what.id);
				break;
			}

			case 'departure': {
				// Another box reports the departure of an earlier start of the replica.
				const own = [...this.lostHistory, ...this.history].filter(({object}) => object.name === what.id);
				const draining = own.filter(({object, isGone}) => isGone || (object.spec as {readonly state: string}).state === 'draining');
				const one = draining[Math.floor(what.part * draining.length)];
				if (one) {
					this.replicas.markLeaving({id: what.id, revision: one.at}, 'peer');
				}

				break;
			}
		}
	}

	/** @returns Replicas that the box would use, and those that the store lists as ready, after all updates have arrived. */
	settle(): readonly [used: readonly string[], named: readonly string[]] {
		this.sendChanges(this.revision);
		for (const name of ids) {
			this.writeAgain(name);
		}

		this.sendChanges(this.revision);
		this.clock.now += lapseTime;
		this.role.dropLapsed();
		const used = this.replicas.all.filter(({isLeaving}) => !isLeaving).map(({start}) => start).sort();
		const named = [...this.objects.values()].filter(({spec}) => {
			const {state, addr} = spec as {readonly state: string; readonly addr: unknown};
			return state === 'ready' && typeof addr === 'string';
		}).map(({name, spec}) => `${name}/${(spec as {readonly born: number}).born}`).sort();
		return [used, named];
	}

	private restore(part: number): void {
		const backup = this.backups[Math.floor(part * this.backups.length)];
		if (!backup) {
			return;
		}

		this.era++;
		this.objects = new Map(backup.objects);
		this.revision = positionOf(this.era, revisionOf(backup.revision))!;
		this.lostHistory = [...this.lostHistory, ...this.history];
		// Without a history the box has to read the whole list.
		this.history = [];
		this.backups = [];
		this.isListed = false;
	}

	/** Writes again the entry of a running replica that the store has lost, and drops the entry of one that is gone. */
	private writeAgain(name: string): void {
		const spec = this.written.get(name);
		if (spec === undefined) {
			this.remove(name);
		} else if (this.objects.get(name)?.spec !== spec) {
			this.write(name, spec as Readonly<Record<string, unknown>>);
		}
	}

	private change(name: string, changes: Readonly<Record<string, unknown>>): void {
		const known = this.written.get(name);
		if (known !== undefined) {
			this.write(name, {...known as Readonly<Record<string, unknown>>, ...changes});
		}
	}

	private write(name: string, changes: Readonly<Record<string, unknown>>): void {
		this.revision++;
		const object = {
			name, revision: this.revision, spec: {
				service: 's', addr: '127.0.0.1:1', slots: 8, ...changes,
			},
		};
		this.backups = [...this.backups, {objects: new Map(this.objects), revision: this.revision - 1, history: this.history}];
		this.written.set(name, object.spec);
		this.objects.set(name, object);
		this.history = [...this.history, {object, isGone: false, at: this.revision}];
	}

	private remove(name: string): void {
		this.written.delete(name);
		const known = this.objects.get(name);
		if (known) {
			this.backups = [...this.backups, {objects: new Map(this.objects), revision: this.revision, history: this.history}];
			this.revision++;
			this.objects.delete(name);
			this.history = [...this.history, {object: known, isGone: true, at: this.revision}];
		}
	}

	private sendList(): void {
		this.role.applyListing({at: this.revision, objects: [...this.objects.values()]}, this.clock.monotonic());
		this.sentUpTo = this.revision;
		this.isListed = true;
	}

	/** Sends all changes up to a revision, including known ones: batches overlap. */
	private sendChanges(upTo: number): void {
		if (!this.isListed) {
			this.sendList();
			return;
		}

		const changes = this.history.filter(({at}) => at <= upTo);
		this.sentUpTo = Math.max(this.sentUpTo, upTo);
		this.role.applyPeerUpdate(sender, {at: upTo, age: 0}, {at: upTo, changes});
	}
}

test('a replica is used if and only if the newest entry of its newest start is ready, whichever updates arrive late or twice', () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const model = new Model();
		for (const one of steps) {
			model.applyStep(one);
		}

		const [used, named] = model.settle();
		assert.deepEqual(used, named);
	}), {seed: 30, numRuns: 4000});
});
