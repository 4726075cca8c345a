/**
 * Keeps a request that ends replicas from running again, at whichever box it comes.
 *
 * @remarks Source: docs/DESIGN.md, "Requests that end replicas".
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Replica} from '../replicas/replica.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import {blameFor, type Blame} from './blame.js';
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
/** Ends from which on it is not run. */
const quarantineEnds = 3;
/** The same where another request was at all of them: what is innocent of the two has been told apart before. */
const sharedQuarantineEnds = 5;
/** Milliseconds after an end from which bytes from that start of the replica prove that it goes on: those before may have waited in a buffer. */
const contradictedAfter = 500;
/** Milliseconds for which a judgement is kept while no news comes; what replicas answer meanwhile changes it too. */
const judgementLifetime = 100;

/** What the quarantine needs. */
export type QuarantineServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly replicas: ReplicaDirectory;
	/** @returns Fingerprints that an operator lets run whatever they did. */
	readonly released: () => readonly string[];
};

type Judgement = {
	readonly blames: ReadonlyMap<Fingerprint, Blame>;
	readonly ends: ReadonlyMap<string, KnownEnd>;
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

		const {blames, ends} = this.judge();
		const blame = blames.get(fingerprint);
		if (!blame) {
			return 'sound';
		}

		const {length} = blame.starts;
		if (length < trialEnds) {
			return 'suspect';
		}

		const isOutdated = blame.starts.every(start => this.isReplaced(ends.get(start)!));
		if (isOutdated || length < (blame.isShared ? sharedQuarantineEnds : quarantineEnds)) {
			return 'trial';
		}

		this.logOnce(fingerprint, blame);
		return 'quarantined';
	}

	/**
	 * @param fingerprint - A request that is kept away.
	 * @returns Milliseconds until it may run again, unless it ends more replicas.
	 */
	keptFor(fingerprint: Fingerprint): number {
		const {blames, ends} = this.judge();
		const moments = (blames.get(fingerprint)?.starts ?? []).map(start => ends.get(start)!.at);
		return Math.max(0, Math.min(...moments) + endLifetime - this.services.clock.monotonic());
	}

	/**
	 * @param fingerprint - A request.
	 * @returns Whether this box runs it now.
	 */
	isRunning(fingerprint: Fingerprint): boolean {
		return this.running.has(fingerprint);
	}

	/**
	 * @param candidates - Replicas that may get a request that is not sound.
	 * @returns Those at which this box runs no other such request; all where there is none.
	 */
	apart(candidates: readonly Replica[]): readonly Replica[] {
		const taken = new Set([...this.running.values()].flat());
		const free = candidates.filter(({start}) => !taken.has(start));
		return free.length > 0 ? free : candidates;
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
	noteEnd(replica: Replica, suspects: readonly Fingerprint[], at: number): void {
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
	 * @returns What to tell other boxes; `undefined` where there is nothing.
	 */
	told(isWhole: boolean): EndNews | undefined {
		return this.ledger.told(isWhole);
	}

	private judge(): Judgement {
		const now = this.services.clock.monotonic();
		const {changes} = this.ledger;
		if (this.judgement?.changes !== changes || now - this.judgement.at > judgementLifetime) {
			const ends = this.ledger.known.filter(end => !this.isContradicted(end));
			this.judgement = {
				blames: blameFor(ends), ends: new Map(ends.map(end => [end.start, end])), changes, at: now,
			};
		}

		return this.judgement;
	}

	/** A box that is cut off takes replicas for ended that go on; whoever hears them knows better. */
	private isContradicted({start, at}: KnownEnd): boolean {
		return this.services.replicas.all.some(replica => replica.start === start && replica.lastAnsweredAt > at + contradictedAfter);
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
