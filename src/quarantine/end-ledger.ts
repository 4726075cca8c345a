/**
 * Crashes of replicas with the requests that were running there, and the requests that have completed since, as reported by all boxes.
 * Both are grow-only sets whose entries expire: boxes that received the same updates, in any order and any number of times, have the
 * same state.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Suspect} from './blame.js';
import type {Fingerprint} from './fingerprint.js';

/** A replica that crashed while it ran requests. */
export type ReplicaEnd = {
	/** Identifies the start (incarnation) of the replica. */
	readonly start: string;
	readonly service: string;
	/** Version of the software that it ran. */
	readonly software: string;
	readonly suspects: readonly Suspect[];
};

/** A crash as it is sent to other boxes; its age is in milliseconds. */
export type ToldEnd = ReplicaEnd & {readonly age: number};

/** A request that a replica ran without a crash, and the milliseconds since. */
export type ToldCompletion = {readonly fingerprint: Fingerprint; readonly age: number};

/** An update that boxes send to each other. */
export type EndNews = {
	readonly ends: readonly ToldEnd[];
	readonly completions: readonly ToldCompletion[];
};

/** A known crash, with its time by this box's monotonic clock. */
export type KnownEnd = ReplicaEnd & {readonly at: number};

/** Milliseconds for which a crash counts. After that a request is quarantined only once it has crashed as many replicas again. */
export const endLifetime = 1_800_000;
/** Milliseconds for which a box sends its own observations: several gossip rounds, since datagrams are lost. */
const newsTime = 5000;
/** Bounds on memory (5.2 MB of heap when all are reached), since clients may send any number of distinct bodies. Past it the oldest crash is dropped. */
const mostEnds = 256;
const mostSuspects = 64;
const mostCompletions = 1024;
/**
 * Max. crashes of either sort (own and needed) in one message. With all their requests these take 3.5 KB in a small fleet, where each box
 * sends to all boxes, and 1.2 KB in a large fleet, where an aggregator answers hundreds of messages a second.
 */
export const mostEndsTold = {small: 12, large: 4} as const;
const mostSuspectsTold = 12;
const mostCompletionsTold = 16;
/** Max. crashes sent for one request: as many as other boxes need to quarantine it. */
const mostEndsOfOne = 5;
/** Min. crashes of a request from which all boxes must know of it. */
const leastTelling = 2;

type Sighting = {readonly ownUntil: number; readonly ranFor: number};
type Completion = {readonly at: number; readonly ownUntil: number};
type End = Omit<ReplicaEnd, 'suspects'> & {readonly at: number; readonly suspects: Map<Fingerprint, Sighting>};

/** The crash ledger of one box. */
export class EndLedger {
	/**
	 * @param clock - For the age of entries.
	 * @returns An empty ledger.
	 */
	static create(clock: Clock): EndLedger {
		return new EndLedger(clock);
	}

	private readonly ends = new Map<string, End>();
	private readonly completions = new Map<Fingerprint, Completion>();
	/** Starts of the replicas that crashed while they ran a request. */
	private readonly startsOf = new Map<Fingerprint, Set<string>>();
	private changeCount = 0;
	private tellings = 0;

	private constructor(private readonly clock: Clock) {}

	/** Whether no request is suspected. */
	get isEmpty(): boolean {
		return this.startsOf.size === 0;
	}

	/** Number of changes so far. */
	get changes(): number {
		return this.changeCount;
	}

	/** All crashes, each with the requests that have not completed since; a crash without any had another cause. */
	get known(): readonly KnownEnd[] {
		this.dropLapsed();
		return [...this.ends.values()].map(({start, service, software, at, suspects}) => ({
			start, service, software, at, suspects: suspectsOf(suspects),
		}));
	}

	/**
	 * @param fingerprint - A request.
	 * @returns Whether a replica crashed while it ran the request, and no replica has completed it since.
	 */
	isSuspected(fingerprint: Fingerprint): boolean {
		return this.startsOf.has(fingerprint);
	}

	/**
	 * Records a crash that this box observed.
	 *
	 * @param end - The crash; more requests may be added to it later.
	 * @param at - Time of the crash, in monotonic milliseconds.
	 */
	noteEnd(end: ReplicaEnd, at: number): void {
		this.addEnd(end, at, this.clock.monotonic() + newsTime);
	}

	/**
	 * Records that a replica ran a request of this box without a crash.
	 *
	 * @param fingerprint - The request.
	 */
	noteCompletion(fingerprint: Fingerprint): void {
		const now = this.clock.monotonic();
		this.addCompletion(fingerprint, now, now + newsTime);
	}

	/** @param news - The update that another box sent. */
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
	 * @param isWhole - Whether to include all that other boxes must know, not only recent crashes.
	 * @param most - Max. crashes of either sort (own and needed).
	 * @returns The update to send; `undefined` where there is nothing to send.
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

	/** Each message carries the next part of the own observations and of the crashes that all boxes must know, to keep it small. */
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

	/** Whether other boxes must know of this crash, to know that the request is quarantined. */
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
			// The box that still suspects the request has not received its completion: send it again.
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

		// Inserted again, so that the newest are last.
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

/** The given part of a list, of at most `most` entries; the number wraps round at the end of the list. */
function partOf(ends: readonly ToldEnd[], part: number, most: number): readonly ToldEnd[] {
	const first = (part * most) % Math.max(1, Math.ceil(ends.length / most) * most);
	return ends.slice(first, first + most);
}
