/**
 * What replicas in need say of how many requests a second they take of all boxes together, and when this box may send to them.
 *
 * @remarks Source: docs/DESIGN.md, "Limits that replicas name".
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {rotated} from '../base/rotated.js';
import {
	ownSlots, slotLifetime, type Slot, type Stretch,
} from './limit-slots.js';
import type {Replica} from './replica.js';
import {ReplicaLog} from './replica-log.js';
import {newsTime, type StatementSource} from './replica-statement.js';

/** A replica's word on its limit as boxes tell it; the newest counts. */
export type ToldLimit = {
	/** Names the start of the replica. */
	readonly start: string;
	/** Requests a second; `undefined` where the replica names no limit any more. */
	readonly limit: number | undefined;
	/** Milliseconds since it said so. */
	readonly age: number;
};

/** What the limits need. */
export type ReplicaLimitServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns Milliseconds of the boxes' common time. */
	readonly commonTime: () => number;
	/** @returns The part of the slots at replicas of a service that is this box's. */
	readonly stretch: (service: string) => Stretch;
	/** @returns The listed replica of a start. */
	readonly listed: (start: string) => Replica | undefined;
};

/** A word that is known. */
type LimitWord = {
	readonly limit: number | undefined;
	/**
	 * Monotonic milliseconds: when a limit was heard, and when the request was sent whose answer names none, since that answer may have been made before one
	 * that names a limit and was heard first.
	 */
	readonly at: number;
	readonly source: StatementSource;
	/** Monotonic milliseconds since which this limit has been known. */
	readonly changedAt: number;
};

/** A slot of this box that has begun. */
type OpenSlot = Slot & {
	/** Common time until which it may be used. */
	readonly until: number;
};

/** This box's slots at a replica. */
type SlotBook = {
	/**
	 * Common time up to which slots were looked for. Each is given to a box as it begins, and is not looked at again: limits and parts change, and a
	 * slot that two boxes each came to own for a while would be used twice.
	 */
	readonly lookedUntil: number;
	readonly open: readonly OpenSlot[];
};

/** Requests a second that are sent whatever is named: who gets none cannot say that it is well again. */
const trialRate = 0.1;
/** Milliseconds without a word of a limited replica, from any box, after which it gets a request before others do: nothing else tells when it is well again. */
const trialAge = 5000;
/** Milliseconds behind the end of a slot in which a request that took it may still be sent: a connection has to come up. */
const sendingTime = 500;
/** Milliseconds by which common time may be set back, when others are heard, without slots being looked for anew. */
const longestSetback = 1000;
/** Milliseconds for which it is told that a replica names no limit any more. */
const endMemory = 10_000;
/** Words kept at most of replicas that are not listed yet. */
const mostUnlisted = 1024;
/** Milliseconds for which the limited replicas are not looked for anew: an aggregator is asked for their services with each message that it answers. */
const findingTime = 100;

/** The limited replicas that were found, and when, in monotonic milliseconds. */
type Finding = {readonly replicas: readonly Replica[]; readonly at: number};
const nothingFound: Finding = {replicas: [], at: Number.NEGATIVE_INFINITY};

/** The limits that replicas have named. */
export class ReplicaLimits {
	/**
	 * @param services - What they need.
	 * @returns Limits of which none is known.
	 */
	static create(services: ReplicaLimitServices): ReplicaLimits {
		return new ReplicaLimits(services);
	}

	/** By start of the replica. */
	private readonly words = new Map<string, LimitWord>();
	private readonly books = new Map<string, SlotBook>();
	private readonly lines: ReplicaLog;
	private tellings = 0;
	private found: Finding = nothingFound;

	private constructor(private readonly parts: ReplicaLimitServices) {
		this.lines = ReplicaLog.create(parts.clock, parts.log);
	}

	/** Services that have limited replicas. */
	get services(): readonly string[] {
		return [...new Set(this.limited.map(({entry}) => entry.service))];
	}

	/** Listed replicas that have named limits. */
	get limited(): readonly Replica[] {
		const now = this.parts.clock.monotonic();
		if (now - this.found.at >= findingTime) {
			const starts = [...this.words].filter(([, {limit}]) => limit !== undefined).map(([start]) => start);
			this.found = {replicas: starts.map(start => this.parts.listed(start)).filter(replica => replica !== undefined), at: now};
		}

		return this.found.replicas;
	}

	/**
	 * @param replica - A replica.
	 * @returns Requests a second that it takes of all boxes; `undefined` where it has named no limit.
	 */
	limitOf({start}: Replica): number | undefined {
		return this.words.size === 0 ? undefined : this.words.get(start)?.limit;
	}

	/**
	 * @param replica - A replica.
	 * @returns Requests a second that are this box's part of its limit; without end where it has named none.
	 */
	partOf(replica: Replica): number {
		const limit = this.limitOf(replica);
		return limit === undefined ? Number.POSITIVE_INFINITY : usedLimit(limit) * this.parts.stretch(replica.entry.service).length;
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether this box may send it a request now, as far as its limit is concerned.
	 */
	hasRoom(replica: Replica): boolean {
		return this.limitOf(replica) === undefined || this.openSlots(replica).length > 0;
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether it should get the next request for the sake of its answer.
	 */
	isDue(replica: Replica): boolean {
		const word = this.words.get(replica.start);
		return word?.limit !== undefined && this.parts.clock.monotonic() - word.at > trialAge && this.hasRoom(replica);
	}

	/**
	 * Takes this box's slot for a request.
	 *
	 * @param replica - A replica that has room.
	 * @returns The slot; `undefined` where it has named no limit.
	 */
	take(replica: Replica): Slot | undefined {
		if (this.limitOf(replica) === undefined) {
			return undefined;
		}

		const [slot, ...others] = this.openSlots(replica);
		if (slot) {
			const rest = slot.requests > 1 ? [{...slot, requests: slot.requests - 1}] : [];
			this.books.set(replica.start, {...this.books.get(replica.start)!, open: [...rest, ...others]});
		}

		return slot;
	}

	/**
	 * Looks again when a request is about to be sent: a connection may have taken its time, and a limit may have come meanwhile.
	 *
	 * @param replica - Where it goes.
	 * @param slot - What was taken for it.
	 * @returns Whether it may be sent.
	 */
	maySend(replica: Replica, slot: Slot | undefined): boolean {
		const limit = this.limitOf(replica);
		if (limit === undefined) {
			return true;
		}

		const isInTime = slot !== undefined && this.parts.commonTime() - slot.at <= slotLifetime(usedLimit(limit)) + sendingTime;
		return isInTime || this.take(replica) !== undefined;
	}

	/**
	 * @param replicas - Replicas that have named limits.
	 * @param place - Requests of this box that go before.
	 * @param horizon - Milliseconds to look ahead.
	 * @returns Milliseconds until one of them has room; without end where that is behind the horizon.
	 */
	untilRoom(replicas: readonly Replica[], place: number, horizon: number): number {
		const now = this.parts.commonTime();
		const slots = replicas.flatMap(replica => [...this.openSlots(replica), ...this.ownSlots(replica, now, now + horizon)]).sort((left, right) => left.at - right.at);
		let before = place;
		const found = slots.find(({requests}) => {
			before -= requests;
			return before < 0;
		});
		return found ? Math.max(0, found.at - now) : Number.POSITIVE_INFINITY;
	}

	/**
	 * Notes what an answer says.
	 *
	 * @param replica - Whose answer it is.
	 * @param limit - What it names.
	 * @param sentAt - Monotonic milliseconds at which its request was sent.
	 */
	noteAnswer(replica: Replica, limit: number | 'unreadable' | undefined, sentAt: number): void {
		if (limit === 'unreadable') {
			this.lines.write('replicaLimitUnreadable', replica);
			return;
		}

		if (limit !== undefined || this.limitOf(replica) !== undefined) {
			this.takeWord(replica.start, {limit, at: limit === undefined ? sentAt : this.parts.clock.monotonic(), source: 'answer'});
		}
	}

	/**
	 * @param isWhole - Whether all is told, not only what has changed lately.
	 * @param sources - Whose words are told.
	 * @param most - Limits to tell at most.
	 * @returns What to tell other boxes; `undefined` where that is nothing.
	 */
	told(isWhole: boolean, sources: readonly StatementSource[], most: number): readonly ToldLimit[] | undefined {
		if (this.words.size === 0) {
			return undefined;
		}

		const now = this.parts.clock.monotonic();
		const since = now - (isWhole ? Number.POSITIVE_INFINITY : newsTime);
		const words = [...this.words].filter(([, {source, changedAt, limit, at}]) => sources.includes(source) && changedAt >= since && (limit !== undefined || now - at <= endMemory));
		this.tellings++;
		const told = rotated(words, most, this.tellings);
		return told.length > 0 ? told.map(([start, {limit, at}]) => ({start, limit, age: Math.max(0, Math.round(now - at))})) : undefined;
	}

	/**
	 * Takes what another box tells.
	 *
	 * @param words - What it tells.
	 * @param source - Whether it tells what it has heard from replicas itself.
	 */
	takeTold(words: readonly ToldLimit[], source: StatementSource): void {
		const now = this.parts.clock.monotonic();
		for (const {start, limit, age} of words) {
			this.takeWord(start, {limit, at: now - age, source});
		}
	}

	/** Looks for this box's slots at all limited replicas; to be called a few times a second, so that each is looked for soon after it begins. */
	lookForSlots(): void {
		for (const replica of this.limited) {
			this.openSlots(replica);
		}
	}

	/** @param replica - A replica that is listed no longer, or another start of which has taken its id. */
	forget(replica: Replica): void {
		const {start} = replica;
		this.words.delete(start);
		this.books.delete(start);
		this.lines.forget(replica);
		// Its slots would else be looked for once more, and kept for good.
		this.found = nothingFound;
	}

	private takeWord(start: string, {limit, at, source}: Omit<LimitWord, 'changedAt'>): void {
		const known = this.words.get(start);
		if (known && known.at >= at) {
			return;
		}

		if (known && known.limit === limit) {
			this.words.set(start, {...known, at, source});
			return;
		}

		const replica = this.parts.listed(start);
		if (replica && known?.limit !== undefined) {
			this.openSlots(replica);
		}

		this.found = nothingFound;
		this.words.set(start, {
			limit, at, source, changedAt: this.parts.clock.monotonic(),
		});
		if (known?.limit === undefined) {
			this.books.set(start, {lookedUntil: this.parts.commonTime(), open: []});
		}

		if (replica) {
			const age = Math.round(this.parts.clock.monotonic() - at);
			this.lines.write(limit === undefined ? 'replicaLimitEnded' : 'replicaLimited', replica, {
				limit, before: known?.limit, source, age,
			});
		} else {
			this.dropUnlisted();
		}
	}

	/** A word may come before the list that names its replica; of those whose replica never comes the oldest go. */
	private dropUnlisted(): void {
		const unlisted = [...this.words.keys()].filter(start => !this.parts.listed(start));
		for (const start of unlisted.slice(0, Math.max(0, unlisted.length - mostUnlisted))) {
			this.words.delete(start);
			this.books.delete(start);
		}
	}

	/** This box's slots that have begun and may still be used. */
	private openSlots(replica: Replica): readonly OpenSlot[] {
		const now = this.parts.commonTime();
		const limit = usedLimit(this.limitOf(replica) ?? 0);
		const {lookedUntil, open} = this.books.get(replica.start) ?? {lookedUntil: now, open: []};
		const from = lookedUntil > now + longestSetback ? now : lookedUntil;
		const until = Math.max(from, now);
		const begun = this.ownSlots(replica, Math.max(from, now - slotLifetime(limit)), now).map(slot => ({...slot, until: slot.at + slotLifetime(limit)}));
		const all = [...open, ...begun].filter(slot => slot.until > now);
		this.books.set(replica.start, {lookedUntil: until, open: all});
		return all;
	}

	private ownSlots(replica: Replica, after: number, until: number): readonly Slot[] {
		const stretch = this.parts.stretch(replica.entry.service);
		return ownSlots({start: replica.start, limit: usedLimit(this.limitOf(replica) ?? 0), stretch}, after, until);
	}
}

const usedLimit = (limit: number): number => Math.max(trialRate, limit);
