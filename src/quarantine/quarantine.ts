/**
 * Keeps a request that ends replicas from running again, at whichever box it comes. Without it one such request, sent every 0.3 s to
 * four boxes before eight replicas, ended 19 in 7.2 s; with it four, one run of the test `poison-request` each.
 *
 * @remarks Source: docs/DESIGN.md, "Requests that end replicas".
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {rankOwners, shareOf} from '../base/rendezvous.js';
import type {Replica} from '../replicas/replica.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import {blameFor, type Blame, type Suspect} from './blame.js';
import {
	EndLedger, type EndNews, type KnownEnd, endLifetime,
} from './end-ledger.js';
import type {Fingerprint} from './fingerprint.js';

/**
 * How a request stands.
 * - `sound`: nothing speaks against it.
 * - `suspect`: one replica ended under it; it stays away from other suspects, so that the next end tells them apart.
 * - `trial`: two did, or nobody can tell it from another: one run at a time, where it takes the fewest with it.
 * - `quarantined`: it is not run.
 */
export type Standing = 'sound' | 'suspect' | 'trial' | 'quarantined';

/** Ends put down to a request from which on it runs alone. */
const trialEnds = 2;
/** Ends from which on it is not run, where replicas end for no other cause. */
const quarantineEnds = 3;
/** The same at most: where replicas end on and on, an innocent request may well have stood beside three; and where another was at all of them. */
const mostQuarantineEnds = 5;
/** Milliseconds before its last end in which ends without it tell how likely it stood beside by chance. */
const chanceWindow = 10_000;
/**
 * Milliseconds until a request that is kept away is tried once more: it may have been innocent all the same. Up to twice as many by its
 * fingerprint, so that those kept away together are not tried together.
 */
const firstRelease = 20_000;
/** How many times longer than the last pause the next one is. */
const releaseGrowth = 10;
/** Milliseconds after an end from which bytes from that start of the replica prove that it goes on: those before may have waited in a buffer. */
const contradictedAfter = 500;
/** Milliseconds for which a judgement is kept while no news comes; what replicas answer meanwhile changes it too. */
const judgementLifetime = 100;

/** What the quarantine needs. */
export type QuarantineServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly replicas: ReplicaDirectory;
	/** @returns Whether this box, of all that are heard, is the one that tries a request once more. */
	readonly isOwner: (fingerprint: Fingerprint) => boolean;
	/** @returns Fingerprints that an operator lets run whatever they did. */
	readonly released: () => readonly string[];
};

type Judgement = {
	readonly blames: ReadonlyMap<Fingerprint, Blame>;
	readonly ends: ReadonlyMap<string, KnownEnd>;
	readonly quarantined: ReadonlySet<Fingerprint>;
	readonly changes: number;
	readonly at: number;
};

/** The quarantine of one box. */
export class Quarantine {
	/**
	 * @param services - What it needs.
	 * @returns A quarantine that keeps nothing away.
	 */
	static create(services: QuarantineServices): Quarantine {
		return new Quarantine(services);
	}

	private readonly ledger: EndLedger;
	/** Starts of replicas at which this box runs requests that are not sound. */
	private readonly running = new Map<Fingerprint, string[]>();
	/** Those that the log has told of. */
	private logged: ReadonlySet<Fingerprint> = new Set();
	private judgement: Judgement | undefined;

	private constructor(private readonly services: QuarantineServices) {
		this.ledger = EndLedger.create(services.clock);
	}

	/** Whether any request is suspected: only then it is worth to know which one comes. */
	get isWatching(): boolean {
		return !this.ledger.isEmpty;
	}

	/**
	 * @param fingerprint - A request.
	 * @returns Whether a replica ended under it, and none has served it since.
	 */
	isSuspected(fingerprint: Fingerprint): boolean {
		return this.ledger.isSuspected(fingerprint);
	}

	/** Fingerprints of the requests that are not run now. */
	get kept(): readonly Fingerprint[] {
		return this.isWatching ? [...this.judge().blames.keys()].filter(fingerprint => this.standingOf(fingerprint) === 'quarantined') : [];
	}

	/**
	 * @param fingerprint - A request.
	 * @returns How it stands.
	 */
	standingOf(fingerprint: Fingerprint): Standing {
		if (!this.ledger.isSuspected(fingerprint) || this.services.released().includes(fingerprint)) {
			return 'sound';
		}

		const {blames, ends, quarantined} = this.judge();
		const blame = blames.get(fingerprint);
		if (!blame) {
			return 'sound';
		}

		if (blame.starts.length < trialEnds) {
			return 'suspect';
		}

		const isOutdated = blame.starts.every(start => this.isReplaced(ends.get(start)!));
		if (isOutdated || !quarantined.has(fingerprint) || this.isReleased(fingerprint)) {
			return 'trial';
		}

		this.logOnce(fingerprint, blame);
		return 'quarantined';
	}

	/**
	 * @param fingerprint - A request that is kept away.
	 * @returns Milliseconds until it is tried once more.
	 */
	keptFor(fingerprint: Fingerprint): number {
		const {blames, ends} = this.judge();
		const moments = (blames.get(fingerprint)?.starts ?? []).map(start => ends.get(start)!.at).sort((left, right) => right - left);
		const [last = 0, before = last] = moments;
		const gap = last - before;
		// A shorter gap is none that a release has ended.
		const pause = gap < firstRelease ? firstRelease : gap * releaseGrowth;
		return Math.max(0, last + Math.min(pause * (1 + shareOf(fingerprint)), endLifetime) - this.services.clock.monotonic());
	}

	/**
	 * @param fingerprint - A request.
	 * @returns Whether this box runs it now.
	 */
	isRunning(fingerprint: Fingerprint): boolean {
		return this.running.has(fingerprint);
	}

	/**
	 * @param fingerprint - A request.
	 * @param standing - How it stands.
	 * @param candidates - Replicas that may get it; at least one.
	 * @returns Those that it may go to as it stands: one alone where it is tried, none where all have others that are not sound. Boxes that
	 * try several requests at once choose different replicas without talking, so that the next end tells them apart.
	 */
	bounded(fingerprint: Fingerprint, standing: Standing, candidates: readonly Replica[]): readonly Replica[] {
		if (standing === 'sound') {
			return candidates;
		}

		const apart = this.apart(candidates);
		if (standing === 'suspect') {
			return apart.length > 0 ? apart : candidates;
		}

		return apart.length > 0 ? [trialReplica(fingerprint, apart)] : [];
	}

	/**
	 * Notes that a request that is not sound begins at a replica.
	 *
	 * @param fingerprint - The request.
	 * @param start - Start of the replica.
	 * @returns Call it when the run has ended.
	 */
	begin(fingerprint: Fingerprint, start: string): () => void {
		this.running.set(fingerprint, [...this.running.get(fingerprint) ?? [], start]);
		return () => {
			const starts = this.running.get(fingerprint) ?? [];
			const left = starts.filter((_, index) => index !== starts.indexOf(start));
			if (left.length > 0) {
				this.running.set(fingerprint, left);
			} else {
				this.running.delete(fingerprint);
			}
		};
	}

	/**
	 * Notes an end that this box has seen.
	 *
	 * @param replica - The replica.
	 * @param suspects - Requests that it took with it.
	 * @param at - Monotonic milliseconds of the first cut.
	 */
	noteEnd(replica: Replica, suspects: readonly Suspect[], at: number): void {
		const {start, entry: {service, software}} = replica;
		this.ledger.noteEnd({
			start, service, software, suspects,
		}, at);
	}

	/**
	 * Notes that a replica ran a request without ending.
	 *
	 * @param fingerprint - The request.
	 */
	noteCompletion(fingerprint: Fingerprint): void {
		this.ledger.noteCompletion(fingerprint);
	}

	/** @param news - What another box tells. */
	take(news: EndNews): void {
		this.ledger.take(news);
	}

	/**
	 * @param isWhole - Whether all is told that other boxes must know, not only what is new.
	 * @param most - Ends of either sort that fit.
	 * @returns What to tell other boxes; `undefined` where there is nothing.
	 */
	told(isWhole: boolean, most: number): EndNews | undefined {
		return this.ledger.told(isWhole, most);
	}

	/** Tried by one box alone, so that the next end is one. */
	private isReleased(fingerprint: Fingerprint): boolean {
		return this.keptFor(fingerprint) === 0 && this.services.isOwner(fingerprint);
	}

	/** Replicas at which this box runs no other request that is not sound. */
	private apart(candidates: readonly Replica[]): readonly Replica[] {
		const taken = new Set([...this.running.values()].flat());
		return candidates.filter(({start}) => !taken.has(start));
	}

	private judge(): Judgement {
		const now = this.services.clock.monotonic();
		const {changes} = this.ledger;
		if (this.judgement?.changes !== changes || now - this.judgement.at > judgementLifetime) {
			const ends = this.uncontradicted();
			const blames = blameFor(ends);
			this.judgement = {
				blames, ends: new Map(ends.map(end => [end.start, end])), quarantined: this.quarantinedOf(blames, ends), changes, at: now,
			};
		}

		return this.judgement;
	}

	/** Those with the most ends come first, so that the ends of one that is kept away speak for the next one no more. */
	private quarantinedOf(blames: ReadonlyMap<Fingerprint, Blame>, ends: readonly KnownEnd[]): ReadonlySet<Fingerprint> {
		const quarantined = new Set<Fingerprint>();
		let open = ends;
		for (const [fingerprint, {starts, isShared}] of blames) {
			if (starts.length >= (isShared ? mostQuarantineEnds : this.neededEnds(starts, open))) {
				quarantined.add(fingerprint);
				open = open.filter(({start}) => !starts.includes(start));
			}
		}

		return quarantined;
	}

	/**
	 * More than as many ends as a request that is always at one of the replicas is at by chance. Ends whose requests were all served since count
	 * too; later ones do not, or a request that is kept away would run again as soon as replicas end for another reason.
	 */
	private neededEnds(starts: readonly string[], ends: readonly KnownEnd[]): number {
		const own = ends.filter(({start}) => starts.includes(start));
		const last = Math.max(...own.map(({at}) => at));
		const others = ends.filter(({start, service, at}) => !starts.includes(start) && service === own[0]?.service && at <= last && last - at < chanceWindow);
		const replicas = Math.max(1, this.services.replicas.ready(own[0]?.service ?? '').length);
		return Math.min(mostQuarantineEnds, quarantineEnds + Math.round(others.length / replicas));
	}

	/** A box that is cut off takes replicas for ended that go on; whoever hears them knows better. */
	private uncontradicted(): readonly KnownEnd[] {
		const answeredAt = new Map(this.services.replicas.all.map(replica => [replica.start, replica.lastAnsweredAt]));
		return this.ledger.known.filter(({start, at}) => (answeredAt.get(start) ?? Number.NEGATIVE_INFINITY) <= at + contradictedAfter);
	}

	/** Whether the service runs other software by now, which may bear the request. */
	private isReplaced({service, software}: KnownEnd): boolean {
		const ready = this.services.replicas.ready(service);
		return ready.length > 0 && ready.every(({entry}) => entry.software !== software);
	}

	private logOnce(fingerprint: Fingerprint, {starts}: Blame): void {
		if (!this.logged.has(fingerprint)) {
			this.logged = new Set([...this.logged, fingerprint].filter(known => this.ledger.isSuspected(known)));
			this.services.log.write('requestQuarantined', {fingerprint, starts: starts.join(' ')});
		}
	}
}

/** One of the half with the least work: what ends there takes the fewest with it. */
function trialReplica(fingerprint: Fingerprint, candidates: readonly Replica[]): Replica {
	const byWork = candidates
		.map(replica => ({replica, requests: replica.work.requests}))
		.sort((left, right) => left.requests - right.requests)
		.slice(0, Math.ceil(candidates.length / 2));
	const [best] = rankOwners(fingerprint, byWork.map(({replica}) => replica.start));
	return byWork.find(({replica}) => replica.start === best)!.replica;
}
