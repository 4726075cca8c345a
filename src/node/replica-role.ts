/**
 * Keeps the list of replicas up to date: watches it in the store, or receives it from a peer that does, and passes it on to the other boxes.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {isLongerThan} from '../base/bounded-json.js';
import {unknownAgeMs, type Clock} from '../base/clock.js';
import type {EventFields, EventLog} from '../base/event-log.js';
import {createDecoder, describeFaults} from '../base/faults.js';
import {KindFollower} from '../follow/kind-follower.js';
import type {
	Change, Changes, Listing, StoredObject,
} from '../follow/metadata-store.js';
import type {StoreAvailability} from '../follow/store-availability.js';
import {eraOf, revisionOf} from '../follow/store-position.js';
import {UnreadableObjects} from '../follow/unreadable-objects.js';
import {sumOf} from '../base/sum.js';
import type {GossipMessage, MemberAddress} from '../gossip/gossip-message.js';
import type {ReplicaEntry} from '../replicas/replica.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import {PeerFetch} from './peer-fetch.js';
import type {PlatformLink} from './platform-link.js';

/** Path at which boxes serve the list to peers. */
export const replicasPath = '/replicas';
/** Number of changes that are kept to send to peers. */
const historyLength = 512;
/** Maximum number of changes in one message; a peer that misses more fetches the whole list. */
const maxChangesPerMessage = 32;
/** Maximum size in bytes of the changes in one message, which leaves most of a datagram to its other parts. */
const maxChangeBytesPerMessage = 16 * 1024;
/** Maximum length in characters of the content of an entry that is kept unchanged. */
const maxEntryLength = 4096;
/** Maximum length in characters of the name of an entry. */
const maxNameLength = 256;
/** Maximum length in characters of a field that is kept of a longer entry. */
const maxFieldLength = 256;
/** Maximum number of fields of a longer entry; one with more is replaced as a whole. */
const maxFields = 64;
/** Kept and passed on in the place of a longer field; no field that is read has this form, and others are ignored. */
const oversizedField = {};
/** Content that is kept and passed on in the place of a longer one; no entry of a replica has this form. */
const oversizedContent = `longer than ${maxEntryLength} characters`;
/** Characters of a name that is too long, in the log. */
const loggedNameLength = 64;
/** Long-poll time of a watch, in milliseconds: short, so that a connection that has gone silent does not hide departures for long. */
const watchWait = {least: 1000, spread: 1000} as const;
/** Milliseconds from the end of a store outage within which a running replica writes its entry again if it has expired. */
const rewriteTime = 2000;
/** Milliseconds of the bound on a departure that are reserved for sending a request after the last check of its replica. */
const sendingMargin = 200;
/** Heartbeats without a write after which the store drops an entry. */
const heartbeatsToLapse = 3;
/** Part of a heartbeat by which a write may be late. */
const heartbeatVariance = 0.25;
/** Milliseconds between two sweeps that drop expired entries; a held replica gets no requests after its hold even before the sweep. */
const sweepInterval = 250;

/**
 * @param heartbeat - Milliseconds between two writes of a replica.
 * @returns Minimum duration in milliseconds of a store outage in which an entry can expire: the last write may be a whole heartbeat before the outage,
 * and late.
 */
export const lapseTime = (heartbeat: number): number => (heartbeatsToLapse - 1 - heartbeatVariance) * heartbeat;

/** Dependencies of the role. */
export type ReplicaServices = {
	readonly link: PlatformLink;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly replicas: ReplicaDirectory;
	readonly availability: StoreAvailability;
	/** @returns Milliseconds from the store's acknowledgement of a departure after which the replica must get no requests. */
	readonly drain: () => number;
	/** @returns Whether this box follows the store even when other boxes do. */
	readonly followsStore: () => boolean;
	/** Milliseconds without an update from other boxes after which this box follows the store itself. */
	readonly fallbackDelay: number;
	/** Counts an entry that cannot be decoded, by its kind. */
	readonly countUnreadable?: (kind: string) => void;
	/** Creates the fetch of a document from peers; `PeerFetch` over HTTP by default. */
	readonly openFetch?: (path: string, onContent: (content: unknown) => void) => DocumentFetch;
};

/** Fetches a document from a peer. */
export type DocumentFetch = Pick<PeerFetch, 'from'>;

/** The list as boxes serve it to peers. */
const ObjectLayout = Schema.Struct({name: Schema.String, revision: Schema.Finite, spec: Schema.Unknown});
const Document = Schema.Struct({
	at: Schema.Finite,
	objects: Schema.Array(ObjectLayout),
	age: Schema.Finite,
	held: Schema.optionalKey(Schema.Array(Schema.Struct({object: ObjectLayout, left: Schema.Finite}))),
});
const decodeDocument = createDecoder(Document, 'ignore');

/** A list as it comes from the store or a peer. */
type ReplicaListing = Listing & {
	/** Entries that are missing in the list but may only have expired in an outage, and the milliseconds for which their replicas stay in use. */
	readonly held?: ReadonlyArray<{readonly object: StoredObject; readonly left: number}>;
};

/** An entry that is missing but may only have expired in an outage. */
type HeldEntry = {
	readonly object: StoredObject;
	/** Revision of the change that removed it. */
	readonly revision: number;
	/** Monotonic milliseconds at which it counts as gone. */
	readonly until: number;
};

/** A change, and the last revision of the batch that it arrived in: a box that knows a lower revision may lack it. */
type PastChange = {
	readonly revision: number;
	readonly change: Change;
	/** Size of the change in a message, in bytes. */
	readonly size: number;
};

/** Follows the list of replicas and passes it on to peers. */
export class ReplicaRole {
	/**
	 * @param services - Dependencies of the role.
	 * @returns The role; run `follow` and `sweep` to start it.
	 */
	static create(services: ReplicaServices): ReplicaRole {
		return new ReplicaRole(services);
	}

	/** Revision up to which the list is known; negative before the first list. */
	private at = -1;
	/** Monotonic milliseconds at which the list was last known to be complete. */
	private provenAt: number;
	private readonly objects = new Map<string, StoredObject>();
	private history: readonly PastChange[] = [];
	/** Revision from which on the history is complete. */
	private historyFrom = Number.POSITIVE_INFINITY;
	/** Entries that are missing and may only have expired, by name. */
	private readonly held = new Map<string, HeldEntry>();
	private readonly unreadable = UnreadableObjects.create();
	private readonly fetch: DocumentFetch;
	/** Monotonic milliseconds at which a peer was first asked for the list since one last sent it; `undefined` if none was. */
	private askedAt: number | undefined;

	private constructor(private readonly services: ReplicaServices) {
		this.provenAt = services.clock.monotonic();
		const {openFetch = PeerFetch.create} = services;
		this.fetch = openFetch(replicasPath, content => {
			this.applyDocument(content);
		});
	}

	/** Revision and age of the list, to send to other boxes; `undefined` before the first list. */
	get listState(): GossipMessage['replicas'] {
		return this.at < 0 ? undefined : {at: this.at, age: Math.max(0, Math.round(this.age))};
	}

	/** The whole list for a peer; `undefined` before the first list. */
	get listing(): (ReplicaListing & {readonly age: number}) | undefined {
		const now = this.services.clock.monotonic();
		const held = [...this.held.values()].map(({object, until}) => ({object, left: until - now}));
		return this.at < 0
			? undefined
			: {
				at: this.at, objects: [...this.objects.values()], age: this.age, held: held.filter(({left}) => left > 0),
			};
	}

	/** Milliseconds since the list was last known to be complete. */
	private get age(): number {
		return Math.min(unknownAgeMs, this.services.clock.ageOf(this.provenAt));
	}

	/** @returns An effect that follows the list in the store while this box needs to, until interrupted. */
	follow(): Effect.Effect<never> {
		const {link: {store, names}, clock, log, availability, followsStore, fallbackDelay} = this.services;
		return KindFollower.create(names.replicaKind, {
			store, clock, log, watchWait, isNeeded: () => followsStore() || this.age > fallbackDelay,
		}, {
			onAnswer() {
				availability.recordOwnAnswer();
			},
			list: (listing, sentAt) => {
				this.applyListing(listing, sentAt);
			},
			change: (changes, sentAt) => {
				this.applyChanges(changes);
				this.prove(sentAt);
			},
		}).run();
	}

	/** @returns An effect that drops expired entries that were not written again, until interrupted. */
	sweep(): Effect.Effect<never> {
		return Effect.forever(Effect.suspend(() => {
			this.dropLapsed();
			return Effect.sleep(sweepInterval);
		}));
	}

	/** Drops expired entries that were not written again in time. */
	dropLapsed(): void {
		const now = this.services.clock.monotonic();
		for (const [name, {revision, until}] of this.held) {
			if (until <= now) {
				this.drop(name, revision);
			}
		}
	}

	/**
	 * @param at - Revision up to which a peer knows the list.
	 * @returns The changes that it misses; `undefined` if they are not known or too many for one message.
	 */
	changesSince(at: number): Changes | undefined {
		if (at < this.historyFrom) {
			return undefined;
		}

		const missed = this.history.filter(({revision}) => revision > at);
		return missed.length > maxChangesPerMessage || sumOf(missed.map(({size}) => size)) > maxChangeBytesPerMessage
			? undefined
			: {from: at, at: this.at, changes: missed.map(({change}) => change)};
	}

	/**
	 * Applies an update of the list that a peer sent.
	 *
	 * @param sender - The peer.
	 * @param listState - Revision and age of its list.
	 * @param changes - The changes that this box misses; `undefined` if the peer did not send them.
	 */
	applyPeerUpdate(sender: MemberAddress, listState: NonNullable<GossipMessage['replicas']>, changes: Changes | undefined): void {
		this.services.availability.recordIndirectAnswer(listState.age);
		const isLaterEra = eraOf(listState.at) > eraOf(this.at);
		if (listState.at > this.at && (isLaterEra || !changes || (changes.from ?? this.at) > this.at)) {
			this.askedAt ??= this.services.clock.monotonic();
			this.fetch.from(sender);
			return;
		}

		if (changes) {
			this.applyChanges(changes);
		}

		if (listState.at === this.at) {
			this.prove(this.services.clock.monotonic() - listState.age);
		}
	}

	/**
	 * Applies a whole list.
	 *
	 * @param listing - The list; one that is older than the known list changes nothing.
	 * @param sentAt - Monotonic milliseconds at which it was requested.
	 */
	applyListing({at, objects: received, held = []}: ReplicaListing, sentAt: number): void {
		const {replicas, log, link: {names}} = this.services;
		if (at < this.at) {
			log.write('listOutdated', {kind: names.replicaKind, ...positionFieldsOf(at, this.at)});
			return;
		}

		this.unreadable.retain(new Set(received.map(({name}) => name)));
		const objects = received.flatMap(object => this.boundedOf(object));
		const listed = new Set(objects.map(({name}) => name));
		const missing = [...this.objects.values()].filter(({name}) => !listed.has(name));
		// For an entry that this box knew, it decides itself whether the entry may have expired; it accepts a peer's hold only for unknown entries.
		const isUnknown = (name: string) => !listed.has(name) && !this.objects.has(name) && !this.held.has(name);
		const heldByPeer = held.filter(({object: {name}}) => isUnknown(name)).flatMap(({object, left}) => this.boundedOf(object).map(bounded => ({object: bounded, left})));
		const isRestored = this.at >= 0 && eraOf(at) > eraOf(this.at);
		if (isRestored) {
			this.recordRestore(at, missing);
		}

		for (const object of missing) {
			this.holdOrDrop(object, at, isRestored ? 'restored' : 'list');
		}

		for (const object of objects) {
			this.objects.set(object.name, object);
			this.held.delete(object.name);
		}

		this.at = at;
		this.history = [];
		this.historyFrom = at;
		const known = [...objects, ...[...this.held.values(), ...heldByPeer].map(({object}) => object)];
		replicas.replaceAll(known.flatMap(object => this.entryOf(object) ?? []), at);
		for (const {object, left} of heldByPeer) {
			this.hold(object, {revision: at, source: 'peer', left});
		}

		this.prove(sentAt);
	}

	/** Records that the store was restored from a backup: replicas write the entries again that it has lost. */
	private recordRestore(at: number, missing: readonly StoredObject[]): void {
		const {replicas, log, availability, link: {names}} = this.services;
		log.write('storeRestored', {
			kind: names.replicaKind, ...positionFieldsOf(at, this.at), missing: missing.map(({name}) => name).join(' '),
		});
		availability.recordRestore();
		replicas.advanceDepartures(at);
	}

	/** Applies the list document of a peer. */
	private applyDocument(content: unknown): void {
		const {clock, log, link: {names}} = this.services;
		const decoded = decodeDocument(content);
		if (Result.isFailure(decoded)) {
			log.write('peerDocumentUnreadable', {path: replicasPath, fault: describeFaults(names.replicaKind, decoded.failure)});
			return;
		}

		const {age, ...listing} = decoded.success;
		// The answer may have waited in the socket while the process was suspended.
		const knownAt = (this.askedAt ?? clock.monotonic()) - Math.max(0, age);
		this.askedAt = undefined;
		this.services.availability.recordIndirectAnswer(clock.monotonic() - knownAt);
		this.applyListing(listing, knownAt);
	}

	private prove(at: number): void {
		this.provenAt = Math.max(this.provenAt, at);
	}

	/** Applies changes. The same ones may arrive from the store and from peers, in batches that overlap. */
	private applyChanges({at, changes}: Changes): void {
		if (at <= this.at) {
			return;
		}

		let revision = this.at + 1;
		for (const change of changes) {
			const {object: received, isGone} = change;
			revision = Math.max(revision, received.revision);
			if (isGone) {
				this.unreadable.forget(received.name);
			}

			for (const object of isGone ? [withoutContent(received)] : this.boundedOf(received)) {
				this.applyChange({object, isGone}, revision, at);
			}
		}

		this.at = at;
	}

	private applyChange(change: Change, revision: number, at: number): void {
		const {object, isGone} = change;
		const known = this.objects.get(object.name);
		if (isGone ? !known || known.revision > object.revision : this.isOld(object, known)) {
			return;
		}

		this.addToHistory(change, at);
		if (known && isGone) {
			this.holdOrDrop(known, revision, 'change');
			return;
		}

		this.held.delete(object.name);
		this.objects.set(object.name, object);
		const entry = this.entryOf(object);
		if (entry) {
			this.services.replicas.put(entry);
		} else {
			this.services.replicas.remove(object.name, revision);
		}
	}

	/** Adds a change to the history under the revision of its batch: the revision of a removal may be that of its entry, which is lower than the removal. */
	private addToHistory(change: Change, at: number): void {
		const size = Buffer.byteLength(JSON.stringify(change));
		this.history = [...this.history, {revision: at, change, size}].slice(-historyLength);
		this.historyFrom = this.history.length === historyLength ? Math.max(this.historyFrom, this.history[0]!.revision) : this.historyFrom;
	}

	/**
	 * Bounds what is kept of an object and passed on to other boxes.
	 *
	 * @returns The object without its status and without content that is too long; an empty list where its name is too long, since it then names
	 * no replica to use.
	 */
	private boundedOf({name, revision, spec}: StoredObject): readonly StoredObject[] {
		if (name.length > maxNameLength) {
			this.reportUnreadable({name, revision}, `a name of ${name.length} characters: expected at most ${maxNameLength}`);
			return [];
		}

		return [{name, revision, spec: boundedContentOf(spec)}];
	}

	/** @returns The decoded entry; `undefined` if it cannot be decoded, since it then names no replica to use. */
	private entryOf(object: StoredObject): ReplicaEntry | undefined {
		const {names} = this.services.link;
		const decoded = names.decodeReplica(object);
		if (Result.isSuccess(decoded)) {
			this.unreadable.forget(object.name);
			return decoded.success;
		}

		this.reportUnreadable(object, describeFaults(names.replicaKind, decoded.failure));
		return undefined;
	}

	private reportUnreadable({name, revision}: Pick<StoredObject, 'name' | 'revision'>, fault: string): void {
		const {link: {names}, log, countUnreadable} = this.services;
		if (this.unreadable.record({name, revision})) {
			countUnreadable?.(names.replicaKind);
			const isLong = name.length > maxNameLength;
			log.write('replicaUnreadable', {replica: isLong ? name.slice(0, loggedNameLength) : name, revision, fault});
		}
	}

	/** A batch of a peer may begin before the last list: changes that the list already includes are old. */
	private isOld({revision}: StoredObject, known: StoredObject | undefined): boolean {
		return revision <= Math.max(this.at, known?.revision ?? 0);
	}

	/** Milliseconds within which an entry that is missing now may still be written again; negative once that time is over. */
	private get graceLeft(): number {
		const {clock, availability, drain} = this.services;
		return availability.lastOutageEndedAt + Math.min(rewriteTime, drain() - sendingMargin) - clock.monotonic();
	}

	/**
	 * Handles an entry that is missing. Soon after an outage of the store it may only have expired, so its replica stays in use for a grace time. The grace time
	 * begins at the end of the outage, not when this box learns of the loss: a replica that leaves after the outage is dropped within the bound, however late
	 * and from whichever box the change arrives.
	 */
	private holdOrDrop(object: StoredObject, revision: number, source: LossSource): void {
		const left = this.graceLeft;
		if (left > 0 && this.services.replicas.byId(object.name)?.isLeaving === false) {
			this.objects.delete(object.name);
			this.hold(object, {revision, source, left});
		} else {
			this.drop(object.name, revision);
		}
	}

	private hold(object: StoredObject, {revision, source, left}: {readonly revision: number; readonly source: LossSource; readonly left: number}): void {
		const {clock, log, replicas, availability} = this.services;
		const now = clock.monotonic();
		const until = now + Math.min(rewriteTime, left);
		const storeBackFor = Math.min(unknownAgeMs, Math.round(now - availability.lastOutageEndedAt));
		log.write('replicaLapsed', {
			replica: object.name, revision, source, storeBackFor, inUseFor: Math.round(until - now),
		});
		this.held.set(object.name, {object, revision, until});
		replicas.markMissing(object.name, until);
	}

	private drop(name: string, revision: number): void {
		this.objects.delete(name);
		this.unreadable.forget(name);
		this.held.delete(name);
		this.services.replicas.remove(name, revision);
	}
}

/** How this box learnt that an entry is missing: from a list, a change, a list of a store that was restored from a backup, or a list of a peer. */
type LossSource = 'list' | 'change' | 'restored' | 'peer';

const positionFieldsOf = (position: number, known: number): EventFields => ({
	era: eraOf(position), revision: revisionOf(position), knownEra: eraOf(known), knownRevision: revisionOf(known),
});

/** @returns Content that is not too long: without its long fields, which may be unknown ones, or without all if that is not enough. */
function boundedContentOf(spec: unknown): unknown {
	if (!isLongerThan(spec, maxEntryLength)) {
		return spec;
	}

	const isObject = typeof spec === 'object' && spec !== null && !Array.isArray(spec);
	const fields = isObject ? Object.entries(spec).slice(0, maxFields + 1) : [];
	const content = Object.fromEntries(fields.map(([key, value]: readonly [string, unknown]) => [key, isLongerThan(value, maxFieldLength) ? oversizedField : value]));
	return fields.length === 0 || fields.length > maxFields || isLongerThan(content, maxEntryLength) ? oversizedContent : content;
}

/** What is passed on of an object that is gone. */
const withoutContent = ({name, revision}: StoredObject): StoredObject => ({name, revision, spec: null});
