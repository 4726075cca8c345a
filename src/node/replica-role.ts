/**
 * Keeps the list of replicas: follows it in the store, or learns it from a peer that does, and tells it to others.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {unknownAge, type Clock} from '../base/clock.js';
import type {EventFields, EventLog} from '../base/event-log.js';
import {createDecoder, describeFaults} from '../base/faults.js';
import {KindFollower} from '../follow/kind-follower.js';
import type {
	Change, Changes, Listing, StoredObject,
} from '../follow/metadata-store.js';
import type {StoreAvailability} from '../follow/store-availability.js';
import {eraOf, revisionOf} from '../follow/store-position.js';
import type {GossipMessage, MemberAddress} from '../gossip/gossip-message.js';
import type {ReplicaEntry} from '../replicas/replica.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import {PeerFetch} from './peer-fetch.js';
import type {PlatformLink} from './platform-link.js';

/** Path at which peers give out the list. */
export const replicasPath = '/replicas';
/** Changes kept to be told one by one. */
const historyLength = 512;
/** Changes told in one message; a peer that misses more fetches the whole list. */
const mostChangesTold = 32;
/** Milliseconds that a watch waits: short, so that a connection that has gone silent does not hide departures for long. */
const watchWait = {least: 1000, spread: 1000} as const;
/** Milliseconds after the store came back by which a replica that lives has written its entry again if it lapsed meanwhile. */
const rewriteTime = 2000;
/** Milliseconds of the bound on a departure that are left for what follows the last check: the way of a request to its replica. */
const sendingTime = 200;
/** Heartbeats without a write after which the store drops an entry. */
const heartbeatsToLapse = 3;
/** Part of a heartbeat by which a write may be late. */
const heartbeatVariance = 0.25;
/** Milliseconds between two looks for entries to forget; when a replica gets no more requests does not depend on it. */
const sweepInterval = 250;

/**
 * @param heartbeat - Milliseconds between two writes of a replica.
 * @returns Milliseconds for which the store must have been away for any entry to lapse: the last write before may be a whole heartbeat older, and late.
 */
export const lapseTime = (heartbeat: number): number => (heartbeatsToLapse - 1 - heartbeatVariance) * heartbeat;

/** What the role needs. */
export type ReplicaServices = {
	readonly link: PlatformLink;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly replicas: ReplicaDirectory;
	readonly availability: StoreAvailability;
	/** @returns Milliseconds from the store's acknowledgement that a replica leaves, from which on it gets no requests. */
	readonly drain: () => number;
	/** @returns Whether this box follows the store, though others may. */
	readonly leads: () => boolean;
	/** Milliseconds without news from others after which this box asks the store itself. */
	readonly patience: number;
	/** Counts an entry that cannot be read, by its kind. */
	readonly noteUnreadable?: (kind: string) => void;
	/** Opens the way to a document of peers; over HTTP where it is absent. */
	readonly openFetch?: (path: string, take: (content: unknown) => void) => DocumentFetch;
};

/** A way to a document of peers. */
export type DocumentFetch = Pick<PeerFetch, 'from'>;

/** The list as peers give it out. */
const ObjectLayout = Schema.Struct({name: Schema.String, revision: Schema.Finite, spec: Schema.Unknown});
const Document = Schema.Struct({
	at: Schema.Finite,
	objects: Schema.Array(ObjectLayout),
	age: Schema.Finite,
	held: Schema.optionalKey(Schema.Array(Schema.Struct({object: ObjectLayout, left: Schema.Finite}))),
});
const decodeDocument = createDecoder(Document, 'ignore');

/** A list as it is taken or given out. */
type ReplicaListing = Listing & {
	/** Entries that are missing in it but may only have lapsed, and the milliseconds for which their replicas stay in use. */
	readonly held?: ReadonlyArray<{readonly object: StoredObject; readonly left: number}>;
};

/** An entry that is missing but may only have lapsed. */
type HeldEntry = {
	readonly object: StoredObject;
	/** Number of the change by which it went. */
	readonly revision: number;
	/** Monotonic milliseconds from which on it counts as gone. */
	readonly until: number;
};

/** A change, and the revision up to which it was told with others: a box that knows less may lack it. */
type PastChange = {readonly revision: number; readonly change: Change};

/** The role. */
export class ReplicaRole {
	/**
	 * @param services - What it needs.
	 * @returns The role; run its parts to begin.
	 */
	static create(services: ReplicaServices): ReplicaRole {
		return new ReplicaRole(services);
	}

	/** Revision up to which the list is known; below zero before the first. */
	private at = -1;
	private provenAt: number;
	private readonly objects = new Map<string, StoredObject>();
	private history: readonly PastChange[] = [];
	private historyFrom = Number.POSITIVE_INFINITY;
	/** Entries that are missing and may only have lapsed. */
	private readonly held = new Map<string, HeldEntry>();
	/** Entries that cannot be read, and the revision that the log has told of. */
	private readonly unreadable = new Map<string, number>();
	private readonly fetch: DocumentFetch;

	private constructor(private readonly services: ReplicaServices) {
		this.provenAt = services.clock.monotonic();
		const {openFetch = PeerFetch.create} = services;
		this.fetch = openFetch(replicasPath, content => {
			this.takeDocument(content);
		});
	}

	/** What others are told of how new the list is; nothing before there is one. */
	get told(): GossipMessage['replicas'] {
		return this.at < 0 ? undefined : {at: this.at, age: Math.max(0, Math.round(this.age))};
	}

	/** The whole list for a peer; `undefined` before there is one. */
	get listing(): (ReplicaListing & {readonly age: number}) | undefined {
		const now = this.services.clock.monotonic();
		const held = [...this.held.values()].map(({object, until}) => ({object, left: until - now}));
		return this.at < 0
			? undefined
			: {
				at: this.at, objects: [...this.objects.values()], age: this.age, held: held.filter(({left}) => left > 0),
			};
	}

	/** Milliseconds since the list was known to be whole. */
	private get age(): number {
		return Math.min(unknownAge, this.services.clock.ageOf(this.provenAt));
	}

	/** @returns Follows the store while that is needed, until interrupted. */
	follow(): Effect.Effect<never> {
		const {link: {store, names}, clock, log, availability, leads, patience} = this.services;
		return KindFollower.create(names.replicaKind, {
			store, clock, log, watchWait, isNeeded: () => leads() || this.age > patience,
		}, {
			onAnswer() {
				availability.noteOwnAnswer();
			},
			list: (listing, sentAt) => {
				this.takeListing(listing, sentAt);
			},
			change: (changes, sentAt) => {
				this.takeChanges(changes);
				this.prove(sentAt);
			},
		}).run();
	}

	/** @returns Drops entries that lapsed and have not come back, until interrupted. */
	sweep(): Effect.Effect<never> {
		return Effect.forever(Effect.suspend(() => {
			this.dropLapsed();
			return Effect.sleep(sweepInterval);
		}));
	}

	/** Drops entries that lapsed and have not come back in time. */
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
	 * @returns What it misses; `undefined` where that is not known or too much to tell.
	 */
	changesSince(at: number): Changes | undefined {
		if (at < this.historyFrom) {
			return undefined;
		}

		const missed = this.history.filter(({revision}) => revision > at);
		return missed.length > mostChangesTold ? undefined : {from: at, at: this.at, changes: missed.map(({change}) => change)};
	}

	/**
	 * Takes what a peer tells of the list.
	 *
	 * @param sender - The peer.
	 * @param told - How new its list is.
	 * @param changes - What this box misses, where the peer could tell it.
	 */
	take(sender: MemberAddress, told: NonNullable<GossipMessage['replicas']>, changes: Changes | undefined): void {
		this.services.availability.noteIndirectAnswer(told.age);
		const isLaterEra = eraOf(told.at) > eraOf(this.at);
		if (told.at > this.at && (isLaterEra || !changes || (changes.from ?? this.at) > this.at)) {
			this.fetch.from(sender);
			return;
		}

		if (changes) {
			this.takeChanges(changes);
		}

		if (told.at === this.at) {
			this.prove(this.services.clock.monotonic() - told.age);
		}
	}

	/**
	 * Takes a whole list.
	 *
	 * @param listing - The list; one that is older than what is known changes nothing.
	 * @param sentAt - Monotonic milliseconds at which it was asked for.
	 */
	takeListing({at, objects, held = []}: ReplicaListing, sentAt: number): void {
		const {replicas, log, link: {names}} = this.services;
		if (at < this.at) {
			log.write('listOutdated', {kind: names.replicaKind, ...fieldsOf(at, this.at)});
			return;
		}

		const listed = new Set(objects.map(({name}) => name));
		const missing = [...this.objects.values()].filter(({name}) => !listed.has(name));
		// Of an entry that this box knew it judges by itself whether it may have lapsed.
		const isUnknown = (name: string) => !listed.has(name) && !this.objects.has(name) && !this.held.has(name);
		const heldByPeer = held.filter(({object: {name}}) => isUnknown(name));
		const isRestored = this.at >= 0 && eraOf(at) > eraOf(this.at);
		if (isRestored) {
			this.noteRestore(at, missing);
		}

		for (const object of missing) {
			this.takeLoss(object, at, isRestored ? 'restored' : 'list');
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

	/** Replicas write again what the store has lost of theirs. */
	private noteRestore(at: number, missing: readonly StoredObject[]): void {
		const {replicas, log, availability, link: {names}} = this.services;
		log.write('storeRestored', {
			kind: names.replicaKind, ...fieldsOf(at, this.at), missing: missing.map(({name}) => name).join(' '),
		});
		availability.noteRestore();
		replicas.keepDepartures(at);
	}

	/** Takes the list as a peer gives it out. */
	private takeDocument(content: unknown): void {
		const {clock, log, link: {names}} = this.services;
		const decoded = decodeDocument(content);
		if (Result.isFailure(decoded)) {
			log.write('peerDocumentUnreadable', {path: replicasPath, fault: describeFaults(names.replicaKind, decoded.failure)});
			return;
		}

		const {age, ...listing} = decoded.success;
		this.services.availability.noteIndirectAnswer(Math.max(0, age));
		this.takeListing(listing, clock.monotonic() - Math.max(0, age));
	}

	private prove(at: number): void {
		this.provenAt = Math.max(this.provenAt, at);
	}

	/** The same changes may come from the store and from peers, in batches that overlap. */
	private takeChanges({at, changes}: Changes): void {
		if (at <= this.at) {
			return;
		}

		let revision = this.at + 1;
		for (const change of changes) {
			revision = Math.max(revision, change.object.revision);
			this.takeChange(change, revision, at);
		}

		this.at = at;
	}

	private takeChange(change: Change, revision: number, at: number): void {
		const {object, isGone} = change;
		const known = this.objects.get(object.name);
		if (isGone ? !known || known.revision > object.revision : this.isOld(object, known)) {
			return;
		}

		this.remember(change, at);
		if (known && isGone) {
			this.takeLoss(known, revision, 'change');
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

	/** The revision of one change may be that of its entry, which is below the change; that of the batch never is. */
	private remember(change: Change, at: number): void {
		this.history = [...this.history, {revision: at, change}].slice(-historyLength);
		this.historyFrom = this.history.length === historyLength ? Math.max(this.historyFrom, this.history[0]!.revision) : this.historyFrom;
	}

	/** @returns What an entry says; nothing where it cannot be read, since it then names no replica to use. */
	private entryOf(object: StoredObject): ReplicaEntry | undefined {
		const {link: {names}, log, noteUnreadable} = this.services;
		const decoded = names.decodeReplica(object);
		if (Result.isSuccess(decoded)) {
			this.unreadable.delete(object.name);
			return decoded.success;
		}

		if (this.unreadable.get(object.name) !== object.revision) {
			this.unreadable.set(object.name, object.revision);
			noteUnreadable?.(names.replicaKind);
			log.write('replicaUnreadable', {
				replica: object.name, revision: object.revision, fault: describeFaults(names.replicaKind, decoded.failure),
			});
		}

		return undefined;
	}

	/** What the list held or had lost when it was last whole is no news, though a batch of a peer begins before that. */
	private isOld({revision}: StoredObject, known: StoredObject | undefined): boolean {
		return revision <= Math.max(this.at, known?.revision ?? 0);
	}

	/** Milliseconds for which an entry that is missing now may still be written again. */
	private get graceLeft(): number {
		const {clock, availability, drain} = this.services;
		return availability.returnedAt + Math.min(rewriteTime, drain() - sendingTime) - clock.monotonic();
	}

	/**
	 * An entry that is missing soon after an outage of the store may only have lapsed. The grace begins with the store's return, not when this box learns of the
	 * loss: a replica that leaves after the return is dropped within the bound, whoever tells of it and when.
	 */
	private takeLoss(object: StoredObject, revision: number, source: LossSource): void {
		const left = this.graceLeft;
		if (left > 0 && this.services.replicas.named(object.name)?.isLeaving === false) {
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
		const storeBackFor = Math.min(unknownAge, Math.round(now - availability.returnedAt));
		log.write('replicaLapsed', {
			replica: object.name, revision, source, storeBackFor, inUseFor: Math.round(until - now),
		});
		this.held.set(object.name, {object, revision, until});
		replicas.hold(object.name, until);
	}

	private drop(name: string, revision: number): void {
		this.objects.delete(name);
		this.unreadable.delete(name);
		this.held.delete(name);
		this.services.replicas.remove(name, revision);
	}
}

/** How this box learnt that an entry is missing: by a list or a change, by a list of a store that came back from a copy, or by a peer's list. */
type LossSource = 'list' | 'change' | 'restored' | 'peer';

const fieldsOf = (position: number, known: number): EventFields => ({
	era: eraOf(position), revision: revisionOf(position), knownEra: eraOf(known), knownRevision: revisionOf(known),
});
