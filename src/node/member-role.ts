/**
 * Registers this box in the store and reads the other boxes from there, so that boxes find each other whatever seeds
 * their settings name.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {EventLog} from '../base/event-log.js';
import {createDecoder} from '../base/faults.js';
import type {
	MetadataStore, RevisionConflict, StoredObject, StoreUnavailable,
} from '../follow/metadata-store.js';
import type {MemberAddress} from '../gossip/gossip-message.js';
import type {PeerTable} from '../gossip/peer-table.js';

/** Kind of the boxes' own objects in the store. */
const memberKind = 'waydrift-members';
/** Mean milliseconds between two reads of the members. */
const refreshInterval = 10_000;
/** Milliseconds before the next read after a failed one. */
const failurePause = 1000;
/** Milliseconds from registering to the next read: boxes that start together do not see each other in their first read. */
const refreshDelayAfterRegistration = 300;
/** Milliseconds from the start to the first read: usually the seeds have answered by then. */
const firstRefreshDelay = 250;
/** Milliseconds without a message after which a box counts as gone for good; one that still runs registers again. */
const deadAfter = 30_000;

const Entry = Schema.Struct({host: Schema.String, port: Schema.Number, capacity: Schema.optionalKey(Schema.Number)});
const decodeEntry = createDecoder(Entry, 'ignore');

/** Dependencies of the role. */
export type MemberServices = {
	readonly store: MetadataStore;
	readonly self: MemberAddress;
	readonly peers: PeerTable;
	readonly log: EventLog;
	/** @returns Whether this box must be registered in the store: in a large fleet a few boxes are enough. */
	readonly isNeeded: () => boolean;
};

/** Keeps the members in the store up to date. */
export class MemberRole {
	/**
	 * @param services - Dependencies of the role.
	 * @returns The role.
	 */
	static create(services: MemberServices): MemberRole {
		return new MemberRole(services);
	}

	private constructor(private readonly services: MemberServices) {}

	/** @returns An effect that refreshes the members until interrupted. */
	run(): Effect.Effect<never> {
		const refreshes = Effect.forever(this.refresh().pipe(
			Effect.flatMap(hasWritten => Effect.sleep(hasWritten ? refreshDelayAfterRegistration : refreshInterval * (0.75 + (Math.random() / 2)))),
			Effect.catch(() => Effect.sleep(failurePause)),
		));
		return Effect.sleep(firstRefreshDelay).pipe(Effect.andThen(refreshes));
	}

	/**
	 * Reads the members, removes dead ones, and registers this box if its entry is missing or outdated.
	 *
	 * @returns An effect that yields whether this box was registered.
	 */
	refresh(): Effect.Effect<boolean, StoreUnavailable | RevisionConflict> {
		return Effect.gen({self: this}, function * () {
			const {store, self, peers, isNeeded} = this.services;
			if (!isNeeded()) {
				return false;
			}

			const {objects} = yield * store.list(memberKind);
			const members = objects.flatMap(object => memberOf(object));
			const dead = yield * this.removeDead(objects);
			peers.addMembers(members.filter(({name}) => !dead.has(name)));
			const own = members.find(({name}) => name === self.name);
			const spec = {host: self.host, port: self.port, capacity: self.capacity ?? 0};
			if (own?.host === self.host && own.port === self.port && own.capacity === spec.capacity) {
				return false;
			}

			const written = own
				? store.replace(memberKind, self.name, spec, objects.find(({name}) => name === self.name)!.revision)
				: store.create(memberKind, self.name, spec);
			yield * written;
			return true;
		});
	}

	/** A box that is gone for good cannot remove its own entry, and the other boxes would go on expecting messages from it. */
	private removeDead(objects: readonly StoredObject[]) {
		return Effect.gen({self: this}, function * () {
			const {store, self, peers, log} = this.services;
			const dead = peers.uptime < deadAfter || peers.heard.length === 0
				? []
				: objects.filter(({name}) => name !== self.name && !peers.wasHeardWithin(name, deadAfter));
			yield * Effect.all(dead.map(({name, revision}) => store.remove(memberKind, name, revision).pipe(Effect.map(() => {
				log.write('memberRemoved', {member: name});
			}), Effect.ignore)), {discard: true});
			return new Set(dead.map(({name}) => name));
		});
	}
}

function memberOf({name, spec}: StoredObject): readonly MemberAddress[] {
	const decoded = decodeEntry(spec);
	return Result.isSuccess(decoded) ? [{name, ...decoded.success}] : [];
}
