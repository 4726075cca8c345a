import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import {decodeReplica} from '../../../platform/formats.js';
import {SilentEventLog} from '../../base/event-log.js';
import type {Change, StoredObject} from '../../follow/metadata-store.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import type {PlatformLink} from '../platform-link.js';
import {ReplicaRole} from '../replica-role.js';

/** What may happen to the entry of a replica in the store, or to what a box hears of it. */
type Step =
	| {readonly kind: 'start' | 'drain' | 'go' | 'spoil'; readonly id: string}
	| {readonly kind: 'list' | 'whole' | 'late' | 'departure'; readonly id: string; readonly part: number};

const ids = ['i-1', 'i-2', 'i-3'] as const;
const sender = {name: 'peer', host: '127.0.0.1', port: 1};
const id = fc.constantFrom(...ids);
const step: fc.Arbitrary<Step> = fc.oneof(
	fc.record({kind: fc.constantFrom('start' as const, 'drain' as const, 'go' as const, 'spoil' as const), id}),
	fc.record({kind: fc.constantFrom('list' as const, 'whole' as const, 'late' as const, 'departure' as const), id, part: fc.double({min: 0, max: 1, noNaN: true})}),
);

/** A store with its history, and a box that hears of it in any order that the exchange allows. */
class Model {
	private readonly clock = new MovedClock(100_000);
	private readonly replicas = ReplicaDirectory.create(this.clock, SilentEventLog.create());
	private readonly role = ReplicaRole.create({
		link: {names: {replicaKind: 'replicas', decodeReplica}} as unknown as PlatformLink,
		clock: this.clock, replicas: this.replicas, log: SilentEventLog.create(), leads: () => false, patience: 5000,
	});

	private readonly objects = new Map<string, StoredObject>();
	private history: ReadonlyArray<Change & {readonly at: number}> = [];
	private revision = 1;
	private toldTo = 1;

	constructor() {
		this.role.takeListing({at: this.revision, objects: []}, this.clock.monotonic());
	}

	take(what: Step): void {
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
				this.tell(Math.floor(what.part * this.revision));
				break;
			}

			case 'whole': {
				this.role.takeListing({at: this.revision, objects: [...this.objects.values()]}, this.clock.monotonic());
				this.toldTo = this.revision;
				break;
			}

			case 'late': {
				const known = this.history.filter(({object}) => object.name === what.id);
				const old = known[Math.floor(what.part * known.length)];
				// A peer that is behind; what it does not tell lies before that.
				if (old && old.at <= this.toldTo) {
					this.role.take(sender, {at: old.at, age: 0}, {at: old.at, changes: [old]});
				}

				break;
			}

			case 'departure': {
				// Another box saw that an earlier state of the replica was leaving.
				const draining = this.history.filter(({object, isGone}) => object.name === what.id && (isGone || (object.spec as {readonly state: string}).state === 'draining'));
				const one = draining[Math.floor(what.part * draining.length)];
				if (one) {
					this.replicas.noteLeaving({id: what.id, revision: one.at}, 'peer');
				}

				break;
			}
		}
	}

	/** @returns Replicas that the box would use, and those that the store names to use, once all news are in. */
	settle(): readonly [used: readonly string[], named: readonly string[]] {
		this.tell(this.revision);
		const used = this.replicas.all.filter(({isLeaving}) => !isLeaving).map(({start}) => start).sort();
		const named = [...this.objects.values()].filter(({spec}) => {
			const {state, addr} = spec as {readonly state: string; readonly addr: unknown};
			return state === 'ready' && typeof addr === 'string';
		}).map(({name, spec}) => `${name}/${(spec as {readonly born: number}).born}`).sort();
		return [used, named];
	}

	private change(name: string, changes: Readonly<Record<string, unknown>>): void {
		const known = this.objects.get(name);
		if (known) {
			this.write(name, {...known.spec as Readonly<Record<string, unknown>>, ...changes});
		}
	}

	private write(name: string, changes: Readonly<Record<string, unknown>>): void {
		this.revision++;
		const object = {
			name, revision: this.revision, spec: {
				service: 's', addr: '127.0.0.1:1', slots: 8, ...changes,
			},
		};
		this.objects.set(name, object);
		this.history = [...this.history, {object, isGone: false, at: this.revision}];
	}

	private remove(name: string): void {
		const known = this.objects.get(name);
		if (known) {
			this.revision++;
			this.objects.delete(name);
			this.history = [...this.history, {object: known, isGone: true, at: this.revision}];
		}
	}

	/** Changes up to a revision, from anywhere before: batches overlap. */
	private tell(upTo: number): void {
		const changes = this.history.filter(({at}) => at <= upTo);
		this.toldTo = Math.max(this.toldTo, upTo);
		this.role.take(sender, {at: upTo, age: 0}, {at: upTo, changes});
	}
}

test('a replica is used if and only if the newest entry of its newest start is ready, whatever came late or twice', () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const model = new Model();
		for (const one of steps) {
			model.take(one);
		}

		const [used, named] = model.settle();
		assert.deepEqual(used, named);
	}), {seed: 30, numRuns: 1500});
});
