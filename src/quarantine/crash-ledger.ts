/**
 * Crashes of replicas with the requests that were running there, and the requests that have completed since, as reported by all boxes.
 * Both are grow-only sets whose entries expire: boxes that received the same updates, in any order and any number of times, have the
 * same state.
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Suspect} from './crash-attribution.js';
import type {Fingerprint} from './fingerprint.js';

/** A replica that crashed while it ran requests. */
export type ReplicaCrash = {
	/** Identifies the start (incarnation) of the replica. */
	readonly start: string;
	readonly service: string;
	/** Version of the software that it ran. */
	readonly software: string;
	readonly suspects: readonly Suspect[];
};

/** A crash as it is sent to other boxes; its age is in milliseconds. */
export type CrashUpdate = ReplicaCrash & {readonly age: number};

/** A request, or part of prompts, on which a replica completed an answer without a crash, and the milliseconds since. */
export type CompletionUpdate = {readonly fingerprint: Fingerprint; readonly age: number};

/** An update that boxes send to each other. */
export type CrashLedgerUpdate = {
	readonly crashes: readonly CrashUpdate[];
	readonly completions: readonly CompletionUpdate[];
};

/** A known crash, with its time by this box's monotonic clock. */
export type KnownCrash = ReplicaCrash & {readonly crashedAt: number};

/** Milliseconds for which a crash counts. After that a request is quarantined only once it has crashed as many replicas again. */
export const crashLifetime = 86_400_000;
/** Milliseconds for which a box sends its own observations: several gossip rounds, since datagrams are lost. */
const resendDuration = 5000;
/** Maximum number of crashes kept. Past it the oldest is dropped. Bounds memory: 5.2 MB of heap when the next two are reached as well. */
const maxCrashes = 256;
/** Maximum number of suspected requests kept for a crash, since clients may send any number of distinct bodies. Further ones are ignored. */
const maxSuspects = 64;
/** Maximum number of completed requests kept, since clients may send any number of distinct bodies. Past it the oldest is dropped. */
const maxCompletions = 1024;
/**
 * Max. crashes of either sort (own and needed) in one message. With all their requests these take 3.5 KB in a small fleet, where each box
 * sends to all boxes, and 1.2 KB in a large fleet, where an aggregator answers hundreds of messages a second.
 */
export const maxCrashesSent = {small: 12, large: 4} as const;
/** Max. parts of a prompt that are kept for a request, since clients may name any number of them. Further ones are ignored. */
const maxParts = 16;
/** Max. suspected requests sent for one crash: those suspected in the most crashes. */
const maxSuspectsSent = 12;
/** Max. completed requests in one message: the newest. */
const maxCompletionsSent = 16;
/** Max. crashes sent for one request: as many as other boxes need to quarantine it. */
const maxCrashesPerRequest = 5;
/** Min. crashes of a request from which all boxes must know of it. */
const minCrashesToShare = 2;

/** A request at a crash. Until `sentUntil` (monotonic milliseconds) this box sends it as its own observation. */
type Sighting = Omit<Suspect, 'fingerprint'> & {readonly sentUntil: number};
/** The last completion of a request or part; all times in monotonic milliseconds. */
type Completion = {readonly at: number; readonly knownAt: number; readonly sentUntil: number};
type CrashEntry = Omit<ReplicaCrash, 'suspects'> & {readonly crashedAt: number; readonly suspects: Map<Fingerprint, Sighting>};

/** The crash ledger of one box. */
export class CrashLedger {
	/**
	 * @param clock - For the age of entries.
	 * @returns An empty ledger.
	 */
	static create(clock: Clock): CrashLedger {
		return new CrashLedger(clock);
	}

	private readonly crashesByStart = new Map<string, CrashEntry>();
	private readonly completions = new Map<Fingerprint, Completion>();
	/** Starts of the replicas that crashed while they ran a request. */
	private readonly startsOf = new Map<Fingerprint, Set<string>>();
	/** Starts of the replicas that crashed while they ran requests with a part, at the given number of changes. */
	private startsOfParts: {readonly changes: number; readonly starts: ReadonlyMap<Fingerprint, ReadonlySet<string>>} = {changes: 0, starts: new Map()};
	private changeCount = 0;
	private slicesSent = 0;

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
	get crashes(): readonly KnownCrash[] {
		this.dropExpired();
		return [...this.crashesByStart.values()].map(({start, service, software, crashedAt, suspects}) => ({
			start, service, software, crashedAt, suspects: suspectsOf(suspects),
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
	 * @param part - Part of a prompt.
	 * @returns Whether a replica crashed while it ran a request with the part.
	 */
	isSuspectedPart(part: Fingerprint): boolean {
		return this.startsByPart.has(part);
	}

	/**
	 * @param fingerprint - A request or part.
	 * @returns Monotonic milliseconds of its last known completion; `undefined` if none is known.
	 */
	completedAt(fingerprint: Fingerprint): number | undefined {
		return this.completions.get(fingerprint)?.at;
	}

	/**
	 * @param part - Part of a prompt.
	 * @param at - Monotonic milliseconds of a completion.
	 * @returns Whether that changes which crashes the part may have caused, or that a replica has completed it at all.
	 */
	isNews(part: Fingerprint, at: number): boolean {
		const known = this.completedAt(part);
		const crashTimes = [...this.startsByPart.get(part) ?? []].map(start => this.crashesByStart.get(start)!.crashedAt);
		return known === undefined || crashTimes.some(crashedAt => known < crashedAt && crashedAt <= at);
	}

	/**
	 * Records a crash that this box observed.
	 *
	 * @param crash - The crash; more requests may be added to it later.
	 * @param crashedAt - Time of the crash, in monotonic milliseconds.
	 */
	recordCrash(crash: ReplicaCrash, crashedAt: number): void {
		this.addCrash(crash, crashedAt, this.clock.monotonic() + resendDuration);
	}

	/**
	 * Records that a replica completed an answer to a request of this box, or on a part of its prompt.
	 *
	 * @param fingerprint - The request or part.
	 * @param at - Time of the completion, or for a part the time at which that answer began, in monotonic milliseconds.
	 */
	recordCompletion(fingerprint: Fingerprint, at = this.clock.monotonic()): void {
		this.addCompletion(fingerprint, at, this.clock.monotonic() + resendDuration);
	}

	/** @param update - The update that another box sent. */
	merge({crashes, completions}: CrashLedgerUpdate): void {
		const now = this.clock.monotonic();
		for (const {fingerprint, age} of completions) {
			this.addCompletion(fingerprint, now - age, now);
		}

		for (const {age, ...crash} of crashes) {
			this.addCrash(crash, now - age, now);
		}
	}

	/**
	 * @param isWhole - Whether to include all that other boxes must know, not only recent crashes.
	 * @param maxPerSort - Max. crashes of either sort (own and needed).
	 * @returns The update to send; `undefined` where there is nothing to send.
	 */
	collectUpdate(isWhole: boolean, maxPerSort: number): CrashLedgerUpdate | undefined {
		if (this.crashesByStart.size === 0) {
			return undefined;
		}

		this.dropExpired();
		const now = this.clock.monotonic();
		const crashes = this.crashesToSend(now, isWhole, maxPerSort);
		const completions = [...this.completions]
			.filter(([fingerprint, {sentUntil}]) => sentUntil > now || this.isForwarded(fingerprint, now, isWhole))
			.slice(-maxCompletionsSent)
			.map(([fingerprint, {at}]) => ({fingerprint, age: Math.round(now - at)}));
		return crashes.length + completions.length > 0 ? {crashes, completions} : undefined;
	}

	/** Whether a completion that another box may have reported is sent on, since boxes of a large fleet do not all send to each other. */
	private isForwarded(fingerprint: Fingerprint, now: number, isWhole: boolean): boolean {
		return this.isSuspectedPart(fingerprint) && (isWhole || now - this.completions.get(fingerprint)!.knownAt < resendDuration);
	}

	/** Each message carries the next slice of the own observations and of the crashes that all boxes must know, to keep it small. */
	private crashesToSend(now: number, isWhole: boolean, maxPerSort: number): readonly CrashUpdate[] {
		const newest = [...this.crashesByStart.values()].reverse();
		const own = newest.flatMap(crash => this.updateOf(crash, now, (_, {sentUntil}) => sentUntil > now));
		const needed = newest
			.filter(({crashedAt}) => isWhole || now - crashedAt < resendDuration)
			.flatMap(crash => this.updateOf(crash, now, (fingerprint, {sentUntil, parts}) => sentUntil <= now && this.isNeeded(crash.start, fingerprint, parts)));
		const slice = this.slicesSent;
		this.slicesSent++;
		return [...sliceAt(own, slice, maxPerSort), ...sliceAt(needed, slice, maxPerSort)];
	}

	/** Whether other boxes must know of this crash, to know that the request, or a part of its prompt, is quarantined. */
	private isNeeded(start: string, fingerprint: Fingerprint, parts: readonly Fingerprint[] = []): boolean {
		return [this.startsOf.get(fingerprint), ...parts.map(part => this.startsByPart.get(part))].some((starts = new Set()) =>
			starts.size >= minCrashesToShare && [...starts].slice(-maxCrashesPerRequest).includes(start));
	}

	private get startsByPart(): ReadonlyMap<Fingerprint, ReadonlySet<string>> {
		if (this.startsOfParts.changes !== this.changeCount) {
			this.startsOfParts = {changes: this.changeCount, starts: startsByPartOf(this.crashesByStart.values())};
		}

		return this.startsOfParts.starts;
	}

	private updateOf({suspects, crashedAt, ...crash}: CrashEntry, now: number, isIncluded: (fingerprint: Fingerprint, sighting: Sighting) => boolean): readonly CrashUpdate[] {
		const included = [...suspects]
			.filter(([fingerprint, sighting]) => isIncluded(fingerprint, sighting))
			.sort(([left], [right]) => this.startsOf.get(right)!.size - this.startsOf.get(left)!.size)
			.slice(0, maxSuspectsSent);
		return included.length > 0 ? [{...crash, suspects: suspectsOf(included), age: Math.round(now - crashedAt)}] : [];
	}

	private addCrash({suspects, ...crash}: ReplicaCrash, crashedAt: number, sentUntil: number): void {
		if (this.clock.monotonic() - crashedAt > crashLifetime) {
			return;
		}

		const known = getOrCreate(this.crashesByStart, crash.start, () => ({...crash, crashedAt, suspects: new Map<Fingerprint, Sighting>()}));
		for (const suspect of suspects) {
			const {fingerprint, ranFor, parts = [], clientAccount} = suspect;
			this.addSuspect(known, fingerprint, {
				sentUntil, ranFor: Math.round(ranFor), ...(parts.length > 0 ? {parts: parts.slice(0, maxParts)} : {}), ...(clientAccount === undefined ? {} : {clientAccount}),
			});
		}

		this.dropExcess();
	}

	private addSuspect({start, crashedAt, suspects}: CrashEntry, suspect: Fingerprint, sighting: Sighting): void {
		const completion = this.completions.get(suspect);
		if (completion && completion.at >= crashedAt) {
			// The box that still suspects the request has not received its completion: send it again.
			this.completions.set(suspect, {...completion, sentUntil: this.clock.monotonic() + resendDuration});
			return;
		}

		const known = suspects.get(suspect);
		// A box of an earlier version sends no parts.
		const addsParts = known?.parts === undefined && sighting.parts !== undefined;
		if (known ? known.ranFor <= sighting.ranFor && !addsParts : suspects.size >= maxSuspects) {
			return;
		}

		suspects.set(suspect, known ? {...sighting, ...known, ranFor: Math.min(known.ranFor, sighting.ranFor)} : sighting);
		getOrCreate(this.startsOf, suspect, () => new Set<string>()).add(start);
		this.changeCount++;
	}

	private addCompletion(fingerprint: Fingerprint, at: number, sentUntil: number): void {
		const known = this.completions.get(fingerprint);
		if (known && known.at >= at) {
			return;
		}

		// Inserted again, so that the newest are last.
		this.completions.delete(fingerprint);
		this.completions.set(fingerprint, {at, knownAt: this.clock.monotonic(), sentUntil: Math.max(sentUntil, known?.sentUntil ?? 0)});
		evictOldest(this.completions, maxCompletions);
		if (this.isSuspectedPart(fingerprint)) {
			this.changeCount++;
		}

		for (const start of this.startsOf.get(fingerprint) ?? []) {
			if (this.crashesByStart.get(start)!.crashedAt <= at) {
				this.forget(start, fingerprint);
			}
		}
	}

	private forget(start: string, suspect: Fingerprint): void {
		this.crashesByStart.get(start)?.suspects.delete(suspect);
		const starts = this.startsOf.get(suspect);
		starts?.delete(start);
		if (starts?.size === 0) {
			this.startsOf.delete(suspect);
		}

		this.changeCount++;
	}

	private dropExcess(): void {
		const [oldest] = this.crashesByStart.keys();
		if (this.crashesByStart.size > maxCrashes && oldest !== undefined) {
			this.drop(oldest);
		}
	}

	private dropExpired(): void {
		const since = this.clock.monotonic() - crashLifetime;
		for (const [start, {crashedAt}] of this.crashesByStart) {
			if (crashedAt < since) {
				this.drop(start);
			}
		}
	}

	private drop(start: string): void {
		for (const suspect of this.crashesByStart.get(start)!.suspects.keys()) {
			this.forget(start, suspect);
		}

		this.crashesByStart.delete(start);
	}
}

function suspectsOf(sightings: Iterable<readonly [Fingerprint, Sighting]>): readonly Suspect[] {
	return [...sightings].map(([fingerprint, {sentUntil, ...sighting}]) => ({fingerprint, ...sighting}));
}

function startsByPartOf(crashes: Iterable<CrashEntry>): ReadonlyMap<Fingerprint, ReadonlySet<string>> {
	const startsByPart = new Map<Fingerprint, Set<string>>();
	for (const {start, suspects} of crashes) {
		for (const part of [...suspects.values()].flatMap(({parts = []}) => parts)) {
			getOrCreate(startsByPart, part, () => new Set<string>()).add(start);
		}
	}

	return startsByPart;
}

/** The given slice of a list, of at most `maxPerSort` entries; the number wraps round at the end of the list. */
function sliceAt(crashes: readonly CrashUpdate[], slice: number, maxPerSort: number): readonly CrashUpdate[] {
	const first = (slice * maxPerSort) % Math.max(1, Math.ceil(crashes.length / maxPerSort) * maxPerSort);
	return crashes.slice(first, first + maxPerSort);
}
