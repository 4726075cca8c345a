/**
 * All replicas that this box knows. A replica that was seen draining never becomes ready again; one whose entry was
 * removed becomes ready again only by a newer entry.
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import type {EventLog} from '../base/event-log.js';
import {Replica, unknownTime, type ReplicaEntry} from './replica.js';
import type {StatementSource} from './replica-statement.js';

/** Milliseconds for which departures are kept and can be sent to other boxes. */
const departureRetention = 10_000;
/** Milliseconds for which a leaving replica may still get requests if its service has no other. */
const leavingGracePeriod = 600;

/** Announcements that are kept; the oldest are evicted. */
const maxAnnouncements = 4096;

/** A replica's own announcement that it is leaving. */
export type Announcement = {
	/** Incarnation of the replica. */
	readonly start: string;
	/** Monotonic milliseconds at which the replica made the announcement. */
	readonly at: number;
	readonly source: StatementSource;
};

/** A replica that is draining or was removed. */
export type Departure = {
	readonly id: string;
	/** Revision of the list at which the replica began to leave. */
	readonly revision: number;
	/** Incarnation that left; absent if unknown. */
	readonly start?: string;
};

/** A departure, with the monotonic milliseconds at which this box learned of it. */
type KnownDeparture = Departure & {readonly at: number};

/** Called with a replica that was added, removed or replaced. */
export type ReplicaListener = (replica: Replica) => void;

/** Directory of the replicas that this box knows. */
export class ReplicaDirectory {
	/**
	 * @param clock - Measures ages.
	 * @param log - Receives an event for each change.
	 * @returns An empty directory.
	 */
	static create(clock: Clock, log: EventLog): ReplicaDirectory {
		return new ReplicaDirectory(clock, log);
	}

	private readonly replicas = new Map<string, Replica>();
	private readonly departures = new Map<string, KnownDeparture>();
	/** Announcements by incarnation; an entry that still lists the replica as ready does not revoke its announcement. */
	private readonly announcementsByStart = new Map<string, Announcement>();
	private recentlyRemoved: readonly Replica[] = [];
	/** Monotonic milliseconds at which a service last had a ready replica, by name of the service. */
	private readonly lastReadyAt = new Map<string, number>();
	private readonly removalListeners: ReplicaListener[] = [];
	private readonly additionListeners: ReplicaListener[] = [];
	private hasList = false;
	private lastAddedAt: number;

	private constructor(private readonly clock: Clock, private readonly log: EventLog) {
		this.lastAddedAt = clock.monotonic();
	}

	/** Whether a list of replicas has been received. */
	get isKnown(): boolean {
		return this.hasList;
	}

	/** All listed replicas. */
	get all(): readonly Replica[] {
		return [...this.replicas.values()];
	}

	/**
	 * @param within - Milliseconds.
	 * @returns The replicas that began to leave in this time.
	 */
	departedWithin(within = departureRetention): readonly Departure[] {
		const now = this.clock.monotonic();
		for (const [id, {at}] of this.departures) {
			if (at < now - departureRetention) {
				this.departures.delete(id);
			}
		}

		return [...this.departures.values()].filter(({at}) => at >= now - within).map(({at, ...departure}) => departure);
	}

	/** Announcements of the listed replicas. */
	get announcements(): readonly Announcement[] {
		return this.announcementsByStart.size === 0 ? [] : this.all.flatMap(({start}) => this.announcementsByStart.get(start) ?? []);
	}

	/** Milliseconds since an entry last added a replica to the directory. */
	get timeSinceLastAdded(): number {
		return this.clock.monotonic() - this.lastAddedAt;
	}

	/** @param listener - Called with each replica that an entry adds to the list. */
	onDidAdd(listener: ReplicaListener): void {
		this.additionListeners.push(listener);
	}

	/** @param listener - Called with each replica that is removed from the list, or replaced by a newer incarnation. */
	onDidRemove(listener: ReplicaListener): void {
		this.removalListeners.push(listener);
	}

	/**
	 * @param service - Name of a service.
	 * @param accepts - Tells which of its replicas are suitable; all by default.
	 * @returns Its suitable replicas that may get requests. If none is ready: those that began to leave, or whose entry was removed
	 * or expired, a moment ago, since they still serve for a short time.
	 */
	ready(service: string, accepts: (replica: Replica) => boolean = acceptAll): readonly Replica[] {
		const ofService = this.all.filter(replica => replica.entry.service === service && !replica.isLeaving);
		if (ofService.length > 0) {
			this.lastReadyAt.set(service, this.clock.monotonic());
		}

		const listed = ofService.filter(replica => accepts(replica));
		return listed.length > 0
			? listed
			: [...this.all, ...this.recentlyRemoved].filter(replica => replica.entry.service === service && accepts(replica) && this.maySendTo(replica));
	}

	/**
	 * @param service - Name of a service.
	 * @returns Milliseconds since the service last had a ready replica; zero if it never had one.
	 */
	timeSinceReady(service: string): number {
		const now = this.clock.monotonic();
		return now - (this.lastReadyAt.get(service) ?? now);
	}

	/**
	 * @param replica - A replica that was selected earlier.
	 * @returns Whether a request may still be sent to it.
	 */
	maySendTo({isLeaving, leavingFor, isReplaced}: Replica): boolean {
		return !isReplaced && (!isLeaving || leavingFor < leavingGracePeriod);
	}

	/**
	 * @param id - ID of a replica.
	 * @returns The replica; `undefined` if it is not listed.
	 */
	byId(id: string): Replica | undefined {
		return this.replicas.get(id);
	}

	/**
	 * @param start - Incarnation of a replica.
	 * @returns The replica; `undefined` if this incarnation is not listed.
	 */
	byStart(start: string): Replica | undefined {
		const separator = start.lastIndexOf('/');
		return [start, start.slice(0, Math.max(0, separator))].map(id => this.replicas.get(id)).find(replica => replica?.start === start);
	}

	/**
	 * @param entries - All entries of the current list.
	 * @param revision - Revision of the list.
	 */
	replaceAll(entries: readonly ReplicaEntry[], revision: number): void {
		const listed = new Set(entries.map(({id}) => id));
		for (const id of this.replicas.keys()) {
			if (!listed.has(id)) {
				this.remove(id, revision);
			}
		}

		for (const entry of entries) {
			this.put(entry);
		}

		this.hasList = true;
	}

	/**
	 * Raises the revisions of departures to that of a list of a store that was restored from a backup: its entries may be older than the departures, which stay.
	 *
	 * @param position - Revision of the list.
	 */
	advanceDepartures(position: number): void {
		for (const [id, departure] of this.departures) {
			// Without a known incarnation, the entry may belong to a newer one that has not left.
			if (departure.start !== undefined) {
				this.departures.set(id, {...departure, revision: Math.max(departure.revision, position)});
			}
		}
	}

	/** @param entry - A new or changed entry of the list. */
	put(entry: ReplicaEntry): void {
		const replica = this.replicas.get(entry.id);
		if (replica && isOlder(entry, replica.entry)) {
			return;
		}

		if (replica && isOlder(replica.entry, entry)) {
			this.replace(replica, entry);
			return;
		}

		if (replica) {
			const wasLeaving = replica.isLeaving;
			replica.update(entry);
			if (!wasLeaving && replica.isLeaving) {
				this.recordDeparture(entry, replica.start, 'list');
			}

			return;
		}

		const added = this.create(entry);
		const departure = this.departures.get(entry.id);
		// An entry that expired and was written again has a newer revision than the departure, which then does not apply.
		if (departure && isOfDeparture(added, departure)) {
			added.markLeaving(unknownTime);
		}

		this.replicas.set(entry.id, added);
		this.lastAddedAt = this.clock.monotonic();
		this.log.write('replicaListed', {
			replica: entry.id, service: entry.service, dataCentre: entry.dataCentre, address: `${entry.host}:${entry.port}`, isDraining: entry.isDraining,
		});
		for (const listener of this.additionListeners) {
			listener(added);
		}
	}

	/**
	 * Keeps a replica in use whose entry is missing and may be written again.
	 *
	 * @param id - ID of the replica.
	 * @param until - Monotonic milliseconds until which it stays in use.
	 */
	markMissing(id: string, until: number): void {
		this.replicas.get(id)?.markMissing(until);
	}

	/**
	 * @param id - ID of a replica that is no longer listed.
	 * @param revision - Revision of the list at which it was removed.
	 */
	remove(id: string, revision: number): void {
		const replica = this.replicas.get(id);
		if (!replica) {
			return;
		}

		this.replicas.delete(id);
		replica.markLeaving();
		this.recentlyRemoved = [...this.recentlyRemoved.filter(other => this.maySendTo(other)), replica];
		this.recordDeparture({id, revision}, replica.start, 'list');
		this.log.write('replicaGone', {
			replica: id, service: replica.entry.service, revision, missingFor: replica.isMissing ? Math.round(replica.missingFor) : undefined,
		});
		for (const listener of this.removalListeners) {
			listener(replica);
		}
	}

	/**
	 * Marks a replica as leaving that another box or the replica itself reports as draining or removed.
	 *
	 * @param departure - The replica, and the revision at which it began to leave.
	 * @param source - Sender of the report.
	 */
	markLeaving(departure: Departure, source: 'peer' | 'replica'): void {
		const replica = this.replicas.get(departure.id);
		if (replica && !replica.isLeaving && isOfDeparture(replica, departure)) {
			replica.markLeaving();
			this.recordDeparture(departure, replica.start, source);
		} else if (!replica && source === 'peer' && !this.departures.has(departure.id)) {
			this.departures.set(departure.id, {...departure, at: this.clock.monotonic()});
		}
	}

	/**
	 * Records a replica's announcement that it is leaving. It holds for this incarnation: the listed entry may be older, or the store unavailable.
	 *
	 * @param announcement - The announcement, and how this box received it.
	 */
	recordAnnouncement(announcement: Announcement): void {
		const {start, at, source} = announcement;
		if (this.announcementsByStart.has(start)) {
			return;
		}

		this.announcementsByStart.set(start, announcement);
		evictOldest(this.announcementsByStart, maxAnnouncements);
		const replica = this.byStart(start);
		const wasLeaving = replica?.isLeaving;
		replica?.markLeaving(at);
		this.log.write('replicaAnnouncedLeaving', {
			replica: replica?.entry.id ?? start, service: replica?.entry.service, source, age: Math.round(this.clock.monotonic() - at), wasLeaving,
		});
	}

	/** @returns A new replica, leaving if its incarnation has announced that. */
	private create(entry: ReplicaEntry): Replica {
		const replica = Replica.create(entry, this.clock);
		const announcement = this.announcementsByStart.get(replica.start);
		if (announcement) {
			replica.markLeaving(announcement.at);
		}

		return replica;
	}

	/**
	 * Replaces a replica by a newer incarnation, which inherits no cached prompts, limits or measurements. Requests that
	 * were assigned to the old incarnation are not sent to it, since its process is gone.
	 */
	private replace(replica: Replica, entry: ReplicaEntry): void {
		replica.markReplaced();
		this.replicas.set(entry.id, this.create(entry));
		this.log.write('replicaStartedAgain', {
			replica: entry.id, service: entry.service, bornAt: entry.bornAt, address: `${entry.host}:${entry.port}`, isDraining: entry.isDraining,
		});
		for (const listener of this.removalListeners) {
			listener(replica);
		}
	}

	private recordDeparture({id, revision}: Departure, start: string, source: string): void {
		if (!this.departures.has(id)) {
			this.log.write('replicaLeaving', {replica: id, source, revision});
		}

		this.departures.set(id, {
			id, revision, at: this.clock.monotonic(), start,
		});
	}
}

const acceptAll = () => true;

/** Whether a departure applies to the listed entry and incarnation of a replica, not to earlier ones. */
function isOfDeparture({entry, start}: Replica, departure: Departure): boolean {
	return entry.revision <= departure.revision && (departure.start ?? start) === start;
}

/** Whether an entry is of an earlier incarnation; false if either entry has no start time. */
function isOlder({bornAt: left}: ReplicaEntry, {bornAt: right}: ReplicaEntry): boolean {
	return left !== undefined && right !== undefined && left < right;
}
