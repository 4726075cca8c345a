/**
 * Request limits that overloaded replicas name in their responses, as a rate over all boxes, and the slots in which this box may send to them.
 *
 * @remarks Source: docs/DESIGN.md, "Limits that replicas name".
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {rotatingSlice} from '../base/rotating-slice.js';
import {
	ownSlots, slotLifetime, type Slot, type RingRange,
} from './limit-slots.js';
import type {Replica} from './replica.js';
import {ReplicaLog} from './replica-log.js';
import {recentWindow, type StatementSource} from './replica-statement.js';

/** A replica's limit as boxes send it to each other; the newest one applies. */
export type LimitUpdate = {
	/** Incarnation of the replica. */
	readonly start: string;
	/** Requests a second; `undefined` if the replica no longer names a limit. */
	readonly limit: number | undefined;
	/** Milliseconds since the replica's response. */
	readonly age: number;
};

/** Dependencies of the limits. */
export type ReplicaLimitServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns Milliseconds of the boxes' common time. */
	readonly commonTime: () => number;
	/** @returns This box's range of the slots at the replicas of a service. */
	readonly slotRange: (service: string) => RingRange;
	/** @returns The listed replica of an incarnation. */
	readonly listed: (start: string) => Replica | undefined;
};

/** The latest known limit of a replica. */
type KnownLimit = {
	readonly limit: number | undefined;
	/**
	 * Monotonic milliseconds at which the limit was received. If the response names no limit, the time at which its request was sent: the response may have
	 * been produced before another one that names a limit but arrived first.
	 */
	readonly at: number;
	readonly source: StatementSource;
	/** Monotonic milliseconds at which the limit last changed. */
	readonly changedAt: number;
};

/** A slot of this box that has begun. */
type OpenSlot = Slot & {
	/** Common time until which it may be used. */
	readonly until: number;
};

/** State of this box's slots at a replica. */
type SlotState = {
	/**
	 * Common time up to which slots have been computed. A slot is assigned when it begins and is not computed again: limits and shares change, and a
	 * slot that belongs to two boxes in turn would be used twice.
	 */
	readonly computedUntil: number;
	readonly open: readonly OpenSlot[];
};

/** Requests a second that are sent even at a lower limit: a replica without requests cannot report that it has recovered. */
const probeRate = 0.1;
/** Milliseconds without a response of a limited replica to any box after which it gets the next request, as the only way to learn that it has recovered. */
const probeDelay = 5000;
/** Milliseconds after the end of a slot for which its request may still be sent: a connection has to be established first. */
const connectAllowance = 500;
/** Milliseconds by which the common time may be set back by clock synchronisation without slots being computed again. */
const maxClockSetback = 1000;
/** Milliseconds for which the end of a limit is sent to other boxes. */
const endedLimitRetention = 10_000;
/** Limits that are kept for replicas that are not listed. */
const maxUnlistedLimits = 1024;
/** Milliseconds for which the limit of a replica that is not listed is kept: its entry may be written again after an outage of the store. */
const unlistedRetention = 30_000;
/** Milliseconds for which the set of limited replicas is cached: an aggregator reads it for each message that it answers. */
const cacheLifetime = 100;

/** The cached set of limited replicas, with the monotonic milliseconds at which it was computed. */
type LimitedCache = {readonly replicas: readonly Replica[]; readonly at: number};
const emptyCache: LimitedCache = {replicas: [], at: Number.NEGATIVE_INFINITY};

/** Limits of all replicas, and this box's slots at them. */
export class ReplicaLimits {
	/**
	 * @param services - Dependencies.
	 * @returns A registry without limits.
	 */
	static create(services: ReplicaLimitServices): ReplicaLimits {
		return new ReplicaLimits(services);
	}

	/** Limits by incarnation of the replica. */
	private readonly knownLimits = new Map<string, KnownLimit>();
	private readonly slotStates = new Map<string, SlotState>();
	private readonly replicaLog: ReplicaLog;
	/** Increases with each message, so that successive messages include different updates. */
	private rotation = 0;
	private cache: LimitedCache = emptyCache;

	private constructor(private readonly dependencies: ReplicaLimitServices) {
		this.replicaLog = ReplicaLog.create(dependencies.clock, dependencies.log);
	}

	/** Services that have limited replicas. */
	get services(): readonly string[] {
		return [...new Set(this.limited.map(({entry}) => entry.service))];
	}

	/** Listed replicas that have a limit. */
	get limited(): readonly Replica[] {
		this.refresh();
		return this.cache.replicas;
	}

	/**
	 * @param replica - A replica.
	 * @returns Requests a second that the replica accepts from all boxes; `undefined` if it has no limit.
	 */
	limitOf({start}: Replica): number | undefined {
		return this.knownLimits.size === 0 ? undefined : this.knownLimits.get(start)?.limit;
	}

	/**
	 * @param replica - A replica.
	 * @returns Requests a second that this box may send to the replica; infinite if it has no limit.
	 */
	ownLimit(replica: Replica): number {
		const limit = this.limitOf(replica);
		return limit === undefined ? Number.POSITIVE_INFINITY : effectiveLimit(limit) * this.dependencies.slotRange(replica.entry.service).length;
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether the limit of the replica allows this box to send a request now.
	 */
	hasRoom(replica: Replica): boolean {
		return this.limitOf(replica) === undefined || this.openSlots(replica).length > 0;
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether the replica should get the next request as a probe of its limit.
	 */
	isProbeDue(replica: Replica): boolean {
		const known = this.knownLimits.get(replica.start);
		return known?.limit !== undefined && this.dependencies.clock.monotonic() - known.at > probeDelay && this.hasRoom(replica);
	}

	/**
	 * Acquires a slot of this box for a request.
	 *
	 * @param replica - A replica that has room.
	 * @returns The slot; `undefined` if the replica has no limit or this box has no open slot.
	 */
	acquireSlot(replica: Replica): Slot | undefined {
		if (this.limitOf(replica) === undefined) {
			return undefined;
		}

		const [slot, ...others] = this.openSlots(replica);
		if (slot) {
			const rest = slot.requests > 1 ? [{...slot, requests: slot.requests - 1}] : [];
			this.slotStates.set(replica.start, {...this.slotStates.get(replica.start)!, open: [...rest, ...others]});
		}

		return slot;
	}

	/**
	 * Checks the slot right before a request is sent: establishing the connection may have taken long, or a limit may have been received in the meantime.
	 *
	 * @param replica - Destination of the request.
	 * @param slot - The slot that was acquired for the request.
	 * @returns Whether the request may be sent.
	 */
	maySend(replica: Replica, slot: Slot | undefined): boolean {
		const limit = this.limitOf(replica);
		if (limit === undefined) {
			return true;
		}

		const isInTime = slot !== undefined && this.dependencies.commonTime() - slot.at <= slotLifetime(effectiveLimit(limit)) + connectAllowance;
		return isInTime || this.acquireSlot(replica) !== undefined;
	}

	/**
	 * @param replicas - Replicas that have limits.
	 * @param requestsAhead - Requests of this box that are queued ahead.
	 * @param horizon - Milliseconds to look ahead.
	 * @returns Milliseconds until one of the replicas has room; infinite if that is beyond the horizon.
	 */
	timeUntilRoom(replicas: readonly Replica[], requestsAhead: number, horizon: number): number {
		const now = this.dependencies.commonTime();
		const slots = replicas.flatMap(replica => [...this.openSlots(replica), ...this.ownSlots(replica, now, now + horizon)]).sort((left, right) => left.at - right.at);
		let ahead = requestsAhead;
		const found = slots.find(({requests}) => {
			ahead -= requests;
			return ahead < 0;
		});
		return found ? Math.max(0, found.at - now) : Number.POSITIVE_INFINITY;
	}

	/**
	 * Records the limit of a response.
	 *
	 * @param replica - The replica that responded.
	 * @param limit - The limit that it names.
	 * @param sentAt - Monotonic milliseconds at which the request was sent.
	 */
	recordResponse(replica: Replica, limit: number | 'unreadable' | undefined, sentAt: number): void {
		if (limit === 'unreadable') {
			this.replicaLog.write('replicaLimitUnreadable', replica);
			return;
		}

		if (limit !== undefined || this.limitOf(replica) !== undefined) {
			this.mergeLimit(replica.start, {limit, at: limit === undefined ? sentAt : this.dependencies.clock.monotonic(), source: 'answer'});
		}
	}

	/**
	 * @param isWhole - Whether to include all limits, not only those that changed recently.
	 * @param sources - Sources of the limits to include.
	 * @param maxCount - Maximum number of limits to include.
	 * @returns Limits to send to other boxes; `undefined` if there are none.
	 */
	updates(isWhole: boolean, sources: readonly StatementSource[], maxCount: number): readonly LimitUpdate[] | undefined {
		if (this.knownLimits.size === 0) {
			return undefined;
		}

		this.refresh();
		const now = this.dependencies.clock.monotonic();
		const since = now - (isWhole ? Number.POSITIVE_INFINITY : recentWindow);
		const eligible = [...this.knownLimits].filter(([, {source, changedAt, limit, at}]) => sources.includes(source) && changedAt >= since
			&& (limit !== undefined || now - at <= endedLimitRetention));
		this.rotation++;
		const selected = rotatingSlice(eligible, maxCount, this.rotation);
		return selected.length > 0 ? selected.map(([start, {limit, at}]) => ({start, limit, age: Math.max(0, Math.round(now - at))})) : undefined;
	}

	/**
	 * Merges limits that another box sent; the newest one of each replica applies.
	 *
	 * @param updates - The limits.
	 * @param source - `box` if the sender received them from the replicas itself, `digest` if an aggregator forwarded them.
	 */
	merge(updates: readonly LimitUpdate[], source: StatementSource): void {
		const now = this.dependencies.clock.monotonic();
		for (const {start, limit, age} of updates) {
			this.mergeLimit(start, {limit, at: now - age, source});
		}
	}

	/** Opens this box's slots at all limited replicas. To be called a few times a second, so that each slot opens soon after it begins. */
	openDueSlots(): void {
		for (const replica of this.limited) {
			this.openSlots(replica);
		}
	}

	/** @param replica - A replica that was removed from the list; its entry may be written again. */
	recordRemoval(replica: Replica): void {
		this.replicaLog.forget(replica);
		this.cache = emptyCache;
	}

	/** @param replica - A replica that was replaced by a newer incarnation. */
	forget(replica: Replica): void {
		const {start} = replica;
		this.knownLimits.delete(start);
		this.slotStates.delete(start);
		this.replicaLog.forget(replica);
		// The cache still holds the replica; opening its slots once more would create an entry that is never removed.
		this.cache = emptyCache;
	}

	private mergeLimit(start: string, {limit, at, source}: Omit<KnownLimit, 'changedAt'>): void {
		const known = this.knownLimits.get(start);
		if (known && known.at >= at) {
			return;
		}

		if (known && known.limit === limit) {
			this.knownLimits.set(start, {...known, at, source});
			return;
		}

		const replica = this.dependencies.listed(start);
		if (replica && known?.limit !== undefined) {
			this.openSlots(replica);
		}

		this.cache = emptyCache;
		this.knownLimits.set(start, {
			limit, at, source, changedAt: this.dependencies.clock.monotonic(),
		});
		if (known?.limit === undefined) {
			this.slotStates.set(start, {computedUntil: this.dependencies.commonTime(), open: []});
		}

		if (replica) {
			const age = Math.round(this.dependencies.clock.monotonic() - at);
			this.replicaLog.write(limit === undefined ? 'replicaLimitEnded' : 'replicaLimited', replica, {
				limit, before: known?.limit, source, age,
			});
		} else {
			this.dropUnlisted();
		}
	}

	/** Drops expired limits and determines the limited replicas, unless that was done a moment ago. */
	private refresh(): void {
		const now = this.dependencies.clock.monotonic();
		if (now - this.cache.at >= cacheLifetime) {
			this.dropUnlisted();
			const starts = [...this.knownLimits].filter(([, {limit}]) => limit !== undefined).map(([start]) => start);
			this.cache = {replicas: starts.map(start => this.dependencies.listed(start)).filter(replica => replica !== undefined), at: now};
		}
	}

	/**
	 * Evicts expired limits and the oldest ones of replicas that are not listed: a limit may arrive before the list that contains its
	 * replica, and an entry that was removed may be written again.
	 */
	private dropUnlisted(): void {
		const since = this.dependencies.clock.monotonic() - unlistedRetention;
		const unlisted = [...this.knownLimits].filter(([start]) => !this.dependencies.listed(start));
		const expired = unlisted.filter(([, {at}], index) => at < since || index < unlisted.length - maxUnlistedLimits);
		for (const [start] of expired) {
			this.knownLimits.delete(start);
			this.slotStates.delete(start);
		}
	}

	/** Returns this box's slots that have begun and may still be used. */
	private openSlots(replica: Replica): readonly OpenSlot[] {
		const now = this.dependencies.commonTime();
		const limit = effectiveLimit(this.limitOf(replica) ?? 0);
		const {computedUntil, open} = this.slotStates.get(replica.start) ?? {computedUntil: now, open: []};
		const from = computedUntil > now + maxClockSetback ? now : computedUntil;
		const until = Math.max(from, now);
		const begun = this.ownSlots(replica, Math.max(from, now - slotLifetime(limit)), now).map(slot => ({...slot, until: slot.at + slotLifetime(limit)}));
		const all = [...open, ...begun].filter(slot => slot.until > now);
		this.slotStates.set(replica.start, {computedUntil: until, open: all});
		return all;
	}

	private ownSlots(replica: Replica, after: number, until: number): readonly Slot[] {
		const range = this.dependencies.slotRange(replica.entry.service);
		return ownSlots({start: replica.start, limit: effectiveLimit(this.limitOf(replica) ?? 0), range}, after, until);
	}
}

const effectiveLimit = (limit: number): number => Math.max(probeRate, limit);
