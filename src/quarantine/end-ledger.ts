/**
 * The ends of replicas with the requests that were there, and the requests that were served since, as all boxes tell them. Sets that
 * only grow until they lapse: boxes that heard the same, in whichever order and however often, know the same.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Suspect} from './blame.js';
import type {Fingerprint} from './fingerprint.js';

/** A replica that ended under requests. */
export type ReplicaEnd = {
	/** Names the start of the replica. */
	readonly start: string;
	readonly service: string;
	/** Version of the software that it ran. */
	readonly software: string;
	readonly suspects: readonly Suspect[];
};

/** An end as it is told: its age is in milliseconds. */
export type ToldEnd = ReplicaEnd & {readonly age: number};

/** A request that a replica ran without ending, and the milliseconds since. */
export type ToldCompletion = {readonly fingerprint: Fingerprint; readonly age: number};

/** What boxes tell each other of ends. */
export type EndNews = {
	readonly ends: readonly ToldEnd[];
	readonly completions: readonly ToldCompletion[];
};

/** An end that is known, and its moment by this box's monotonic clock. */
export type KnownEnd = ReplicaEnd & {readonly at: number};

/** Milliseconds for which an end counts. A request that comes again after that must end as many replicas anew. */
export const endLifetime = 1_800_000;
/** Milliseconds for which a box tells what it has seen itself: some rounds, since datagrams are lost. */
const newsTime = 5000;
/** Bounds of memory, 5.2 MB of heap when all are reached; clients may invent bodies. Of more ends the oldest are given up. */
const mostEnds = 256;
const mostSuspects = 64;
const mostCompletions = 1024;
/** Ends of either sort in one message, with all their requests 3.5 KB where each box tells all, 1.2 KB where an aggregator answers hundreds a second. */
export const mostEndsTold = {small: 12, large: 4} as const;
const mostSuspectsTold = 12;
const mostCompletionsTold = 16;
/** Ends of one request that are told: what others need to know that it is kept away. */
const mostEndsOfOne = 5;
/** Ends from which on all boxes must know of a request. */
const leastTelling = 2;

type Sighting = {readonly ownUntil: number; readonly ranFor: number};
type Completion = {readonly at: number; readonly ownUntil: number};
type End = Omit<ReplicaEnd, 'suspects'> & {readonly at: number; readonly suspects: Map<Fingerprint, Sighting>};

/** The ledger of one box. */
export class EndLedger {
	/**
	 * @param clock - For ages.
	 * @returns A ledger that knows of no end.
	 */
	static create(clock: Clock): EndLedger {
		return new EndLedger(clock);
	}

	private readonly ends = new Map<string, End>();
	private readonly completions = new Map<Fingerprint, Completion>();
	/** Starts of the replicas that ended under a request. */
	private readonly startsOf = new Map<Fingerprint, Set<string>>();
	private changeCount = 0;
	private tellings = 0;

	private constructor(private readonly clock: Clock) {}

	/** Whether nobody is suspected. */
	get isEmpty(): boolean {
		return this.startsOf.size === 0;
	}

	/** Rises with each change. */
	get changes(): number {
		return this.changeCount;
	}

	/** All ends, each with the requests that were not served since; with none, it was for another cause. */
	get known(): readonly KnownEnd[] {
		this.dropLapsed();
		return [...this.ends.values()].map(({start, service, software, at, suspects}) => ({
			start, service, software, at, suspects: suspectsOf(suspects),
		}));
	}

	/**
	 * @param fingerprint - A request.
	 * @returns Whether a replica ended under it, and none has served it since.
	 */
	isSuspected(fingerprint: Fingerprint): boolean {
		return this.startsOf.has(fingerprint);
	}

	/**
	 * Notes an end that this box has seen.
	 *
	 * @param end - The end; more requests may be added to it later.
	 * @param at - Monotonic milliseconds.
	 */
	noteEnd(end: ReplicaEnd, at: number): void {
		this.addEnd(end, at, this.clock.monotonic() + newsTime);
	}

	/**
	 * Notes that a replica ran a request at this box without ending.
	 *
	 * @param fingerprint - The request.
	 */
	noteCompletion(fingerprint: Fingerprint): void {
		const now = this.clock.monotonic();
		this.addCompletion(fingerprint, now, now + newsTime);
	}

	/** @param news - What another box tells. */
	take({ends, completions}: EndNews): void {
		const now = this.clock.monotonic();
		for (const {fingerprint, age} of completions) {
			this.addCompletion(fingerprint, now - age, now);
		}

		for (const {age, ...end} of ends) {
			this.addEnd(end, now - age, now);
		}
	}

	/**
	 * @param isWhole - Whether all is told that other boxes must know, not only what is new.
	 * @param most - Ends of either sort that fit.
	 * @returns What to tell; `undefined` where there is nothing.
	 */
	told(isWhole: boolean, most: number): EndNews | undefined {
		if (this.ends.size === 0) {
			return undefined;
		}

		this.dropLapsed();
		const now = this.clock.monotonic();
		const ends = this.endsToTell(now, isWhole, most);
		const completions = [...this.completions]
			.filter(([, {ownUntil}]) => ownUntil > now)
			.slice(-mostCompletionsTold)
			.map(([fingerprint, {at}]) => ({fingerprint, age: Math.round(now - at)}));
		return ends.length + completions.length > 0 ? {ends, completions} : undefined;
	}

	/** Of what this box alone has seen, and of what all boxes must know, a part goes with each message, in turn: a message stays small. */
	private endsToTell(now: number, isWhole: boolean, most: number): readonly ToldEnd[] {
		const newest = [...this.ends.values()].reverse();
		const own = newest.flatMap(end => this.toldOf(end, now, (_, {ownUntil}) => ownUntil > now));
		const needed = newest
			.filter(({at}) => isWhole || now - at < newsTime)
			.flatMap(end => this.toldOf(end, now, (fingerprint, {ownUntil}) => ownUntil <= now && this.isNeeded(end.start, fingerprint)));
		const part = this.tellings;
		this.tellings++;
		return [...partOf(own, part, most), ...partOf(needed, part, most)];
	}

	/** Whether others must know of this end, to know that the request is kept from replicas. */
	private isNeeded(start: string, fingerprint: Fingerprint): boolean {
		const starts = [...this.startsOf.get(fingerprint) ?? []];
		return starts.length >= leastTelling && starts.slice(-mostEndsOfOne).includes(start);
	}

	private toldOf({suspects, at, ...end}: End, now: number, isTold: (fingerprint: Fingerprint, sighting: Sighting) => boolean): readonly ToldEnd[] {
		const told = [...suspects]
			.filter(([fingerprint, sighting]) => isTold(fingerprint, sighting))
			.sort(([left], [right]) => this.startsOf.get(right)!.size - this.startsOf.get(left)!.size)
			.slice(0, mostSuspectsTold);
		return told.length > 0 ? [{...end, suspects: suspectsOf(told), age: Math.round(now - at)}] : [];
	}

	private addEnd({suspects, ...end}: ReplicaEnd, at: number, ownUntil: number): void {
		if (this.clock.monotonic() - at > endLifetime) {
			return;
		}

		const known = getOrCreate(this.ends, end.start, () => ({...end, at, suspects: new Map<Fingerprint, Sighting>()}));
		for (const suspect of suspects) {
			this.addSuspect(known, suspect.fingerprint, {ownUntil, ranFor: Math.round(suspect.ranFor)});
		}

		this.boundEnds();
	}

	private addSuspect({start, at, suspects}: End, suspect: Fingerprint, sighting: Sighting): void {
		const completion = this.completions.get(suspect);
		if (completion && completion.at >= at) {
			// Who still suspects it has not heard that it was served.
			this.completions.set(suspect, {...completion, ownUntil: this.clock.monotonic() + newsTime});
			return;
		}

		const known = suspects.get(suspect);
		if (known ? known.ranFor <= sighting.ranFor : suspects.size >= mostSuspects) {
			return;
		}

		suspects.set(suspect, known ? {...known, ranFor: sighting.ranFor} : sighting);
		getOrCreate(this.startsOf, suspect, () => new Set<string>()).add(start);
		this.changeCount++;
	}

	private addCompletion(fingerprint: Fingerprint, at: number, ownUntil: number): void {
		const known = this.completions.get(fingerprint);
		if (known && known.at >= at) {
			return;
		}

		// Set anew, so that the newest stand last.
		this.completions.delete(fingerprint);
		this.completions.set(fingerprint, {at, ownUntil: Math.max(ownUntil, known?.ownUntil ?? 0)});
		const [oldest] = this.completions.keys();
		if (this.completions.size > mostCompletions && oldest !== undefined) {
			this.completions.delete(oldest);
		}

		for (const start of this.startsOf.get(fingerprint) ?? []) {
			if (this.ends.get(start)!.at <= at) {
				this.forget(start, fingerprint);
			}
		}
	}

	private forget(start: string, suspect: Fingerprint): void {
		this.ends.get(start)?.suspects.delete(suspect);
		const starts = this.startsOf.get(suspect);
		starts?.delete(start);
		if (starts?.size === 0) {
			this.startsOf.delete(suspect);
		}

		this.changeCount++;
	}

	private boundEnds(): void {
		const [oldest] = this.ends.keys();
		if (this.ends.size > mostEnds && oldest !== undefined) {
			this.drop(oldest);
		}
	}

	private dropLapsed(): void {
		const since = this.clock.monotonic() - endLifetime;
		for (const [start, {at}] of this.ends) {
			if (at < since) {
				this.drop(start);
			}
		}
	}

	private drop(start: string): void {
		for (const suspect of this.ends.get(start)!.suspects.keys()) {
			this.forget(start, suspect);
		}

		this.ends.delete(start);
	}
}

function suspectsOf(sightings: Iterable<readonly [Fingerprint, Sighting]>): readonly Suspect[] {
	return [...sightings].map(([fingerprint, {ranFor}]) => ({fingerprint, ranFor}));
}

/** A part of a list, the next one each time. */
function partOf(ends: readonly ToldEnd[], part: number, most: number): readonly ToldEnd[] {
	const first = (part * most) % Math.max(1, Math.ceil(ends.length / most) * most);
	return ends.slice(first, first + most);
}
