/**
 * Writes this box into the store and reads the others from there, so that boxes find each other whatever
 * their settings say.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {EventLog} from '../base/event-log.js';
import {createDecoder} from '../base/faults.js';
import type {MetadataStore, StoredObject} from '../follow/metadata-store.js';
import type {MemberAddress} from '../gossip/gossip-message.js';
import type {PeerTable} from '../gossip/peer-table.js';

/** Kind of the boxes' own objects in the store. */
const memberKind = 'waydrift-members';
/** Milliseconds between two looks. */
const lookInterval = 10_000;
const failurePause = 1000;

const Entry = Schema.Struct({host: Schema.String, port: Schema.Number});
const decodeEntry = createDecoder(Entry, 'ignore');

/** What the role needs. */
export type MemberServices = {
	readonly store: MetadataStore;
	readonly self: MemberAddress;
	readonly peers: PeerTable;
	readonly log: EventLog;
};

/** The role. */
export class MemberRole {
	/**
	 * @param services - What it needs.
	 * @returns The role.
	 */
	static create(services: MemberServices): MemberRole {
		return new MemberRole(services);
	}

	private constructor(private readonly services: MemberServices) {}

	/** @returns Runs until interrupted. */
	run(): Effect.Effect<never> {
		return Effect.forever(this.look().pipe(
			Effect.andThen(Effect.sleep(lookInterval * (0.75 + (Math.random() / 2)))),
			Effect.catch(() => Effect.sleep(failurePause)),
		));
	}

	private look() {
		return Effect.gen({self: this}, function * () {
			const {store, self, peers} = this.services;
			const {objects} = yield * store.list(memberKind);
			const members = objects.flatMap(object => memberOf(object));
			peers.learn(members);
			const own = members.find(({name}) => name === self.name);
			const spec = {host: self.host, port: self.port};
			if (!own) {
				yield * store.create(memberKind, self.name, spec);
			} else if (own.host !== self.host || own.port !== self.port) {
				yield * store.replace(memberKind, self.name, spec, objects.find(({name}) => name === self.name)!.revision);
			}
		});
	}
}

function memberOf({name, spec}: StoredObject): readonly MemberAddress[] {
	const decoded = decodeEntry(spec);
	return Result.isSuccess(decoded) ? [{name, ...decoded.success}] : [];
}
