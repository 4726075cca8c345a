/**
 * One bucket for each client account over all boxes: every box counts what it lets pass, tells the others, and takes
 * what they tell from its own copy of the bucket.
 *
 * @remarks
 * What two boxes let pass at the same moment neither knows of; that excess is at most demand times the time
 * between two exchanges, and it is paid back, since the bucket goes below zero. Boxes that cannot hear each other
 * leave each other a fair part. In a large fleet a few boxes hear all counters and tell the others how full the bucket
 * is and how fast it is used, and those go on from there until they are told again. Source: docs/PLATFORM.md, "QUOTA".
 */
import type {Clock} from '../base/clock.js';
import {RateMeter} from '../base/rate-meter.js';
import type {QuotaCount, QuotaLevel} from '../gossip/gossip-message.js';
import type {Meeting} from '../gossip/peer-table.js';

/** A client account's bound for all boxes together. */
export type QuotaBound = {
	/** Units a second; zero stands for no bound. */
	readonly rate: number;
	/** Units. */
	readonly burst: number;
};

/** What is known of the other boxes. */
export type QuotaFacts = {
	/** @returns The client account's bound; `undefined` where there is no such client account. */
	readonly bound: (clientAccount: string) => QuotaBound | undefined;
	/** @returns Part of all boxes that are heard of, this one too; above 0, at most 1. */
	readonly heardPart: () => number;
	/** @returns Part of the burst that is spent; the rest is left for what boxes do not know of each other yet. */
	readonly burstPart?: () => number;
	/** @returns A number from 0 to 1. */
	readonly random?: () => number;
};

/** What the last decision on a client account rested on, for the log. */
export type QuotaBasis = {
	/** How full this box's copy of the bucket is. */
	readonly level: number;
	/** Part of the rate that is this box's; absent where there is plenty for all, or where nobody told. */
	readonly share: number | undefined;
	/** Milliseconds since an aggregator told the level; absent where none did lately. */
	readonly toldAge: number | undefined;
	/** Part of all boxes that are heard of. */
	readonly heardPart: number;
};

/** What one start of another box let pass, as far as it was told. */
type PeerCounts = {
	readonly passed: Map<string, number>;
	/** Whether it told all its counters once: one that was not among them stood at zero. */
	isWhole: boolean;
};

type Bucket = {
	level: number;
	refilledAt: number;
	passed: number;
	/** Monotonic milliseconds at which this box was last asked for some, or took some back. */
	changedAt: number;
	/** Units a second that the others let pass, as it was last told, and when. */
	othersRate: number;
	/** Units a second that the bucket is refilled with, as it was told. */
	refillRate: number;
	toldAt: number;
	/** Part of the rate that is this box's where little is left; `undefined` where there is plenty for all. */
	share: number | undefined;
	/** How much faster or slower than the rate the share is spent, so that the whole bucket is led back to zero. */
	pace: number;
	/** Mean units of a request. */
	meanUnits: number;
	readonly askMeter: RateMeter;
	readonly ownMeter: RateMeter;
	readonly othersMeter: RateMeter;
};

/** Milliseconds for which a level that was told is gone on from. */
const toldLifetime = 1500;
/** Milliseconds by which what others let pass is behind in a level that is told: half a round on average. */
const inFlight = 200;
/** Part of the burst that is set aside at most for what is in flight. */
const mostInFlight = 0.5;
/** Milliseconds for which what is asked for must be there to count as plenty: a round. */
const plentyTime = 400;
/** What is asked for, as a part of the rate, up to which it is no rush: the measure wavers by so much. */
const calmPart = 1.15;
/** Milliseconds in which a bucket below zero is led back to it. */
const recoveryTime = 2000;
const slowestPace = 0.3;
/** Where more is asked for than there is, a little is left for what boxes do not know of each other yet. */
const usualPace = 0.9;
const fastestPace = 1;
/** Milliseconds for which a box may save its share. */
const savingTime = 1000;
/** Milliseconds over which what is asked for is measured: a few large requests are no rush. */
const askTimeConstant = 1000;
const meanWeight = 0.1;
/** Milliseconds for which what this box was asked for is told each time, so that a message may be lost. */
const recentTime = 2500;
/** Milliseconds for which what a box asked for counts. */
const askLifetime = 2000;

const millisecondsPerSecond = 1000;
/** Part of the burst that a box has that starts anew: others, or its own last start, may just have used the rest. */
const restartPart = 0.5;

/** The buckets of all client accounts. */
export class QuotaLedger {
	/**
	 * @param facts - What is known of client accounts and boxes.
	 * @param clock - For refilling.
	 * @param startsFull - Whether nobody can have used anything yet: the whole system starts for the first time.
	 * @returns A ledger.
	 */
	static create(facts: QuotaFacts, clock: Clock, startsFull: boolean): QuotaLedger {
		return new QuotaLedger(facts, clock, startsFull);
	}

	private readonly buckets = new Map<string, Bucket>();
	private readonly peers = new Map<string, PeerCounts>();
	/** What the others are asked for, by box and client account. */
	private readonly asks = new Map<string, {readonly at: number; readonly rates: ReadonlyMap<string, number>}>();

	private constructor(
		private readonly facts: QuotaFacts,
		private readonly clock: Clock,
		private readonly startsFull: boolean,
	) {}

	/** What this box tells the others. */
	get counts(): readonly QuotaCount[] {
		return this.countsOf([...this.buckets]);
	}

	/** The same of those client accounts alone that it was asked for lately. */
	get recentCounts(): readonly QuotaCount[] {
		const since = this.clock.monotonic() - recentTime;
		return this.countsOf([...this.buckets].filter(([, {changedAt}]) => changedAt >= since));
	}

	/**
	 * Lets a request pass or not.
	 *
	 * @param clientAccount - Whose it is.
	 * @param units - How much it counts.
	 * @returns Zero where it may pass; otherwise the milliseconds after which to come back.
	 */
	take(clientAccount: string, units: number): number {
		const bound = this.facts.bound(clientAccount);
		if (!bound || bound.rate <= 0) {
			return 0;
		}

		const bucket = this.bucketOf(clientAccount);
		this.refill(clientAccount, bucket);
		bucket.changedAt = this.clock.monotonic();
		bucket.askMeter.note(units);
		bucket.meanUnits += (units - bucket.meanUnits) * (bucket.meanUnits === 0 ? 1 : meanWeight);
		if (bucket.level <= 0) {
			return Math.max(1, -bucket.level / bound.rate * millisecondsPerSecond);
		}

		bucket.level -= units;
		bucket.passed += units;
		bucket.ownMeter.note(units);
		return 0;
	}

	/**
	 * Takes back what a request counted that has not run.
	 *
	 * @param clientAccount - Whose it was.
	 * @param units - How much it counted.
	 */
	giveBack(clientAccount: string, units: number): void {
		const bucket = this.buckets.get(clientAccount);
		if (bucket) {
			bucket.changedAt = this.clock.monotonic();
			bucket.level += units;
			bucket.passed -= units;
			bucket.ownMeter.note(-units);
		}
	}

	/**
	 * @param clientAccount - Whose requests were decided on.
	 * @returns What that rested on; `undefined` where nothing was decided.
	 */
	basisOf(clientAccount: string): QuotaBasis | undefined {
		const bucket = this.buckets.get(clientAccount);
		if (!bucket) {
			return undefined;
		}

		const {level, share, toldAt} = bucket;
		return {
			level: Math.round(level),
			share,
			toldAge: Number.isFinite(toldAt) ? Math.round(this.clock.monotonic() - toldAt) : undefined,
			heardPart: this.facts.heardPart(),
		};
	}

	/**
	 * @param peer - One start of one box.
	 * @returns Whether its counters were taken before.
	 */
	knows(peer: string): boolean {
		return this.peers.has(peer);
	}

	/**
	 * Takes what another box tells.
	 *
	 * @param peer - One start of one box.
	 * @param counts - What it tells.
	 * @param meeting - How it is met: `known` has been heard lately; `younger` is new and began after this one;
	 * `other` is older, or was not heard for a while, so that its part was left to it; `apart` is the same in a large
	 * fleet, where its own idea of the bucket is no better than this box's.
	 * @param isWhole - Whether counters that it does not tell stand at zero.
	 */
	takeCounts(peer: string, counts: readonly QuotaCount[], meeting: Meeting, isWhole = true): void {
		const known = this.countsToTakeTo(peer, meeting);
		this.asks.set(peer, {at: this.clock.monotonic(), rates: new Map(counts.map(({clientAccount, asked}) => [clientAccount, asked]))});
		for (const {clientAccount, passed, level} of counts) {
			// What was let pass before this box first heard of it is no news.
			const before = known.passed.get(clientAccount) ?? (known.isWhole ? 0 : passed);
			known.passed.set(clientAccount, passed);
			if (!this.facts.bound(clientAccount)) {
				continue;
			}

			const bucket = this.bucketOf(clientAccount);
			this.refill(clientAccount, bucket);
			if (meeting === 'other') {
				bucket.level = Math.min(bucket.level, level);
			} else if (meeting !== 'apart') {
				bucket.level -= passed - before;
				bucket.othersMeter.note(passed - before);
			}
		}

		known.isWhole ||= isWhole;
	}

	/**
	 * @param peer - One start of one box.
	 * @returns What to tell it of all buckets.
	 */
	levelsFor(peer: string): readonly QuotaLevel[] {
		const counted = this.peers.get(peer);
		const part = this.facts.heardPart();
		const asked = this.askedAtOthers();
		return [...this.buckets].map(([clientAccount, bucket]) => {
			this.refill(clientAccount, bucket);
			return {
				clientAccount,
				level: Math.round(bucket.level),
				refillRate: Math.round((this.facts.bound(clientAccount)?.rate ?? 0) * part),
				passRate: Math.round(Math.max(0, bucket.ownMeter.rate + bucket.othersMeter.rate)),
				askRate: Math.round(bucket.askMeter.rate + (asked.get(clientAccount) ?? 0)),
				counted: counted?.passed.get(clientAccount) ?? (counted?.isWhole === true ? 0 : undefined),
			};
		});
	}

	/**
	 * Goes on from what a box tells that hears all counters.
	 *
	 * @param levels - What it tells.
	 */
	adopt(levels: readonly QuotaLevel[]): void {
		for (const told of levels) {
			this.adoptOne(told);
		}
	}

	/** @param peer - One start of one box, which is gone. */
	forget(peer: string): void {
		this.peers.delete(peer);
		this.asks.delete(peer);
	}

	/**
	 * Where there is plenty every box may pass what comes. Where little is left all boxes would see the last of it at
	 * once, and each would let one more request pass; then each spends its share of the rate alone.
	 */
	private adoptOne({
		clientAccount, level, refillRate, passRate, askRate, counted,
	}: QuotaLevel): void {
		const bound = this.facts.bound(clientAccount);
		const bucket = this.bucketOf(clientAccount);
		const now = this.clock.monotonic();
		this.refill(clientAccount, bucket);
		bucket.toldAt = now;
		bucket.refillRate = refillRate;
		bucket.othersRate = Math.max(0, passRate - bucket.ownMeter.rate);
		const onItsWay = Math.min(askRate * inFlight / millisecondsPerSecond, (bound?.burst ?? 0) * mostInFlight);
		const left = level - Math.max(0, bucket.passed - (counted ?? bucket.passed)) - onItsWay;
		const isRush = askRate > refillRate * calmPart;
		if (left > (isRush ? askRate * plentyTime / millisecondsPerSecond : 0)) {
			bucket.level = left;
			bucket.share = undefined;
			return;
		}

		const own = bucket.askMeter.rate;
		const share = own <= 0 ? 0 : own / Math.max(askRate, own);
		bucket.level = bucket.share === undefined ? (Math.max(0, left) * share) - this.phaseOf(bucket) : bucket.level;
		bucket.share = share;
		bucket.pace = Math.min(fastestPace, Math.max(slowestPace, usualPace + (level / Math.max(1, refillRate * recoveryTime / millisecondsPerSecond))));
	}

	/**
	 * A bucket that is above zero lets a request pass whatever its size. Where many boxes begin to spend small parts, all
	 * would let one pass at once; each begins as though it were somewhere between two requests.
	 */
	private phaseOf({meanUnits}: Bucket): number {
		return (this.facts.random ?? Math.random)() * meanUnits;
	}

	private countsOf(buckets: ReadonlyArray<readonly [string, Bucket]>): readonly QuotaCount[] {
		return buckets.map(([clientAccount, bucket]) => {
			this.refill(clientAccount, bucket);
			return {
				clientAccount, passed: Math.round(bucket.passed), level: Math.round(bucket.level), asked: Math.round(bucket.askMeter.rate),
			};
		});
	}

	/** What was known of a box that was not heard for a while says no longer what of its counters is news. */
	private countsToTakeTo(peer: string, meeting: Meeting): PeerCounts {
		const known = this.peers.get(peer);
		const isHeardOn = meeting === 'known' || meeting === 'younger';
		const counts = known && isHeardOn ? known : {passed: new Map<string, number>(), isWhole: isHeardOn};
		this.peers.set(peer, counts);
		return counts;
	}

	private burstOf(bound: QuotaBound | undefined): number {
		return (bound?.burst ?? 0) * (this.facts.burstPart?.() ?? 1);
	}

	/** What is asked for at the others, by client account. */
	private askedAtOthers(): ReadonlyMap<string, number> {
		const since = this.clock.monotonic() - askLifetime;
		const totals = new Map<string, number>();
		for (const {rates} of [...this.asks.values()].filter(({at}) => at >= since)) {
			for (const [clientAccount, rate] of rates) {
				totals.set(clientAccount, (totals.get(clientAccount) ?? 0) + rate);
			}
		}

		return totals;
	}

	private bucketOf(clientAccount: string): Bucket {
		const known = this.buckets.get(clientAccount);
		if (known) {
			return known;
		}

		const bucket: Bucket = {
			level: this.burstOf(this.facts.bound(clientAccount)) * (this.startsFull ? 1 : restartPart * this.facts.heardPart()), refilledAt: this.clock.monotonic(), passed: 0,
			changedAt: Number.NEGATIVE_INFINITY,
			othersRate: 0,
			refillRate: 0,
			toldAt: Number.NEGATIVE_INFINITY,
			share: undefined,
			pace: 1,
			meanUnits: 0,
			askMeter: RateMeter.create(this.clock, askTimeConstant),
			ownMeter: RateMeter.create(this.clock),
			othersMeter: RateMeter.create(this.clock),
		};
		this.buckets.set(clientAccount, bucket);
		return bucket;
	}

	/** The level that was told is gone on from. */
	private refilledLevel({level, share, pace, othersRate, refillRate}: Bucket, bound: QuotaBound, elapsed: number): number {
		if (share === undefined) {
			return Math.min(this.burstOf(bound), level + (elapsed * (refillRate - othersRate) / millisecondsPerSecond));
		}

		const ownRate = refillRate * share * pace;
		return Math.min(Math.max(level, ownRate * savingTime / millisecondsPerSecond), level + (elapsed * ownRate / millisecondsPerSecond));
	}

	private refill(clientAccount: string, bucket: Bucket): void {
		const now = this.clock.monotonic();
		const elapsed = now - bucket.refilledAt;
		const bound = this.facts.bound(clientAccount);
		bucket.refilledAt = now;
		if (!bound) {
			return;
		}

		if (now - bucket.toldAt < toldLifetime) {
			bucket.level = this.refilledLevel(bucket, bound, elapsed);
		} else {
			const part = this.facts.heardPart();
			if (bucket.toldAt > Number.NEGATIVE_INFINITY) {
				bucket.toldAt = Number.NEGATIVE_INFINITY;
				bucket.share = undefined;
				bucket.level = Math.min(bucket.level, this.burstOf(bound) * part) - this.phaseOf(bucket);
			}

			bucket.level = Math.min(this.burstOf(bound) * part, bucket.level + (elapsed * bound.rate * part / millisecondsPerSecond));
		}
	}
}
