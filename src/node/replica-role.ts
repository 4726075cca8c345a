/**
 * Keeps the list of replicas: follows it in the store, or learns it from a peer that does, and tells it to others.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Clock} from '../base/clock.js';
import type {EventFields, EventLog} from '../base/event-log.js';
import {createDecoder, describeFaults} from '../base/faults.js';
import {KindFollower} from '../follow/kind-follower.js';
import type {
	Change, Changes, Listing, StoredObject,
} from '../follow/metadata-store.js';
import {eraOf, revisionOf} from '../follow/store-position.js';
import {unknownAge, type GossipMessage, type MemberAddress} from '../gossip/gossip-message.js';
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
/**
 * Milliseconds after the store came back in which entries may be missing that lapsed meanwhile: a replica that lives
 * writes its own again.
 */
const lapseGrace = 2000;
const sweepInterval = 100;
const calmInterval = 500;

/** What the role needs. */
export type ReplicaServices = {
	readonly link: PlatformLink;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly replicas: ReplicaDirectory;
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
const Document = Schema.Struct({
	at: Schema.Finite,
	objects: Schema.Array(Schema.Struct({name: Schema.String, revision: Schema.Finite, spec: Schema.Unknown})),
	age: Schema.Finite,
	lapsed: Schema.optionalKey(Schema.Array(Schema.String)),
});
const decodeDocument = createDecoder(Document, 'ignore');

/** A list as it is taken or given out. */
type ReplicaListing = Listing & {
	/** Names of entries in it that may have lapsed, and count as gone unless they are written again soon. */
	readonly lapsed?: readonly string[];
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
	private regainedAt = Number.NEGATIVE_INFINITY;
	/** Entries that may have lapsed while the store was away, and when they count as gone. */
	private readonly lapsed = new Map<string, {readonly revision: number; readonly until: number}>();
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
		return this.at < 0
			? undefined
			: {
				at: this.at, objects: [...this.objects.values()], age: this.age, lapsed: [...this.lapsed.keys()],
			};
	}

	/** Milliseconds since the list was known to be whole. */
	private get age(): number {
		return Math.min(unknownAge, this.services.clock.ageOf(this.provenAt));
	}

	/** @returns Follows the store while that is needed, until interrupted. */
	follow(): Effect.Effect<never> {
		const {link: {store, names}, clock, log, leads, patience} = this.services;
		return KindFollower.create(names.replicaKind, {
			store, clock, log, isNeeded: () => leads() || this.age > patience,
		}, {
			onAnswer: isRegained => {
				this.noteAnswer(isRegained);
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
		const look = Effect.suspend(() => {
			this.dropLapsed();
			return Effect.sleep(this.lapsed.size > 0 ? sweepInterval : calmInterval);
		});
		return Effect.forever(look);
	}

	/** @param isRegained - Whether the store had not answered before. */
	noteAnswer(isRegained: boolean): void {
		this.regainedAt = isRegained ? this.services.clock.monotonic() : this.regainedAt;
	}

	/** Drops entries that lapsed and have not come back in time. */
	dropLapsed(): void {
		const now = this.services.clock.monotonic();
		for (const [name, {revision, until}] of this.lapsed) {
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
	takeListing({at, objects, lapsed = []}: ReplicaListing, sentAt: number): void {
		const {replicas, log, link: {names}} = this.services;
		if (at < this.at) {
			log.write('listOutdated', {kind: names.replicaKind, ...fieldsOf(at, this.at)});
			return;
		}

		const listed = new Set(objects.map(({name}) => name));
		const missing = [...this.objects.values()].filter(({name}) => !listed.has(name));
		const isRestored = this.at >= 0 && eraOf(at) > eraOf(this.at);
		if (isRestored) {
			log.write('storeRestored', {
				kind: names.replicaKind, ...fieldsOf(at, this.at), missing: missing.map(({name}) => name).join(' '),
			});
			replicas.keepDepartures(at);
		}

		// Replicas write again what the store has lost of theirs.
		const held = missing.filter(object => this.mayHaveLapsed(object, isRestored));
		for (const {name} of held) {
			this.hold(name, at, isRestored ? 'restored' : 'list');
		}

		for (const {name} of missing.filter(object => !held.includes(object))) {
			this.drop(name, at);
		}

		for (const object of objects) {
			this.objects.set(object.name, object);
			this.lapsed.delete(object.name);
		}

		this.at = at;
		this.history = [];
		this.historyFrom = at;
		replicas.replaceAll([...this.objects.values()].flatMap(object => this.entryOf(object) ?? []), at);
		for (const name of lapsed.filter(one => this.objects.has(one))) {
			this.hold(name, at, 'peer');
		}

		this.prove(sentAt);
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
		if (isGone ? !known || known.revision > object.revision || this.lapsed.has(object.name) : this.isOld(object, known)) {
			return;
		}

		const isHeld = isGone && known !== undefined && this.mayHaveLapsed(known, change.mayHaveLapsed);
		this.remember(isHeld ? {...change, mayHaveLapsed: true} : change, at);
		if (isHeld) {
			this.hold(object.name, revision, change.mayHaveLapsed ? 'peer' : 'change');
			return;
		}

		if (isGone) {
			this.drop(object.name, revision);
			return;
		}

		this.lapsed.delete(object.name);
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

	private mayHaveLapsed({name}: StoredObject, isTold = false): boolean {
		const {clock, replicas} = this.services;
		return replicas.named(name)?.isLeaving === false && (isTold || clock.monotonic() - this.regainedAt < lapseGrace);
	}

	/** Entries that lapsed are back soon after the store is; when it came back is not known where a peer tells of one, or where the store has lost entries. */
	private hold(name: string, revision: number, source: 'list' | 'change' | 'peer' | 'restored'): void {
		const {clock, log, replicas} = this.services;
		const now = clock.monotonic();
		if (!this.lapsed.has(name)) {
			const end = this.regainedAt + lapseGrace;
			const until = end > now ? end : now + lapseGrace;
			const storeAnsweredFor = Math.min(unknownAge, Math.round(now - this.regainedAt));
			log.write('replicaLapsed', {
				replica: name, revision, source, storeAnsweredFor, inUseFor: Math.round(until - now),
			});
			this.lapsed.set(name, {revision, until});
			replicas.noteMissing(name);
		}
	}

	private drop(name: string, revision: number): void {
		this.objects.delete(name);
		this.unreadable.delete(name);
		this.lapsed.delete(name);
		this.services.replicas.remove(name, revision);
	}
}

const fieldsOf = (position: number, known: number): EventFields => ({
	era: eraOf(position), revision: revisionOf(position), knownEra: eraOf(known), knownRevision: revisionOf(known),
});
