/**
 * One token bucket for each client account, shared by all boxes: every box counts the units that it admits, sends its counters to the
 * other boxes, and subtracts the units that they admitted from its own copy of the bucket.
 *
 * @remarks
 * Boxes that admit requests at the same time do not know of each other's yet. The excess is at most the demand times the interval
 * between two exchanges, and it is paid back, since the bucket goes below zero. Boxes that cannot reach each other leave a fair part
 * to each other. In a large fleet a few aggregators receive all counters and send the level of the bucket and its rate of use to
 * the other boxes, which extrapolate from there until the next message. Where few units are left, each box admits the same fraction of
 * the requests: most boxes receive none of a client account's requests within an exchange interval, so that parts of the rate by box would
 * lie unused at some boxes while others refuse requests. Source: docs/PLATFORM.md, "QUOTA".
 */
import type {Clock} from '../base/clock.js';
import {RateMeter} from '../base/rate-meter.js';
import type {QuotaCount, QuotaLevel} from '../gossip/gossip-message.js';
import type {SenderRelation} from '../gossip/peer-table.js';
import {spreadRetryDelay} from '../retries/retry-delay.js';

/** The limit of a client account for all boxes together. */
export type QuotaBound = {
	/** Units a second; zero means no limit. */
	readonly rate: number;
	/** Capacity of the bucket, in units. */
	readonly burst: number;
};

/** Facts about client accounts and the other boxes. */
export type QuotaFacts = {
	/** @returns The limit of the client account; `undefined` where there is no such client account. */
	readonly bound: (clientAccount: string) => QuotaBound | undefined;
	/** @returns Fraction of all boxes that are reachable, including this one; above 0, at most 1. */
	readonly reachableFraction: () => number;
	/** @returns Fraction of the burst that may be used; the rest is a reserve for units that other boxes admitted and have not reported yet. */
	readonly burstFraction?: () => number;
	/** @returns Mean milliseconds between two levels from aggregators. */
	readonly exchangeInterval?: () => number;
	/** @returns A number from 0 to 1. */
	readonly random?: () => number;
};

/** The state behind the last decision on a client account, for the log. */
export type QuotaBasis = {
	/** Level of this box's copy of the bucket, in units. */
	readonly level: number;
	/** Fraction of the requests that is admitted; absent where there are enough units for all, or where no aggregator sent a level. */
	readonly admittedFraction: number | undefined;
	/** Milliseconds since an aggregator sent the level; absent where the last one has expired. */
	readonly levelAge: number | undefined;
	/** Fraction of all boxes that are reachable. */
	readonly reachableFraction: number;
};

/** Units that one start (incarnation) of another box has admitted, as last reported. */
type PeerCounts = {
	readonly passed: Map<string, number>;
	/** Whether the box has sent all its counters once: a counter that was not among them was zero. */
	isWhole: boolean;
};

type Bucket = {
	level: number;
	refilledAt: number;
	passed: number;
	/** Monotonic milliseconds at which units were last requested from this box, or returned. */
	changedAt: number;
	/** Units a second that the other boxes admit, by the last level received. */
	othersRate: number;
	/** Units a second that refill the bucket, by the last level received. */
	refillRate: number;
	/** Monotonic milliseconds at which the last level was received. */
	levelReceivedAt: number;
	/** Fraction of the requests that is admitted where few units are left; `undefined` where there are enough for all. */
	admittedFraction: number | undefined;
	/** Sum of the fractions of the last requests, less the admitted ones; a request is admitted when it reaches 1. */
	admittedCredit: number;
	/** Moving average of the units of a request. */
	meanUnits: number;
	readonly demandMeter: RateMeter;
	readonly ownMeter: RateMeter;
	readonly othersMeter: RateMeter;
};

/** Mean milliseconds between two levels from aggregators, by default. */
const defaultExchangeInterval = 400;
/** Exchange intervals for which a received level is extrapolated, since messages may be lost. */
const levelLifetimeInIntervals = 4;
/** Exchange intervals by which a received level lags behind the other boxes, on average. */
const levelLagInIntervals = 0.5;
/** Max. fraction of the burst that is reserved for units in flight. */
const maxInFlightFraction = 0.5;
/** Demand as a factor of the rate up to which it does not count as overload: the measured demand fluctuates by this much. */
const overloadFactor = 1.15;
/** Milliseconds in which a bucket below zero returns to zero. */
const recoveryTime = 2000;
/** Fraction of the rate that is admitted at level zero; the rest is a reserve for units that other boxes admitted and have not reported yet. */
const basePace = 0.95;
/** Milliseconds over which the demand is averaged, so that a few large requests do not count as overload. */
const demandTimeConstant = 1000;
/** Weight of a request in the moving average of the units of a request. */
const meanWeight = 0.1;
/** Milliseconds for which a changed counter is included in each message, since messages may be lost. */
const recentTime = 2500;
/** Milliseconds for which the reported demand of a box counts. */
const demandLifetime = 2000;

const millisecondsPerSecond = 1000;
/** Fraction of the burst that a restarted box begins with: other boxes, or its own previous start, may just have used the rest. */
const restartFraction = 0.5;

/** The buckets of all client accounts. */
export class QuotaLedger {
	/**
	 * @param facts - Facts about client accounts and boxes.
	 * @param clock - For refilling.
	 * @param startsFull - Whether buckets start full: no units can have been used where the whole system starts for the first time.
	 * @returns A ledger.
	 */
	static create(facts: QuotaFacts, clock: Clock, startsFull: boolean): QuotaLedger {
		return new QuotaLedger(facts, clock, startsFull);
	}

	private readonly buckets = new Map<string, Bucket>();
	private readonly peers = new Map<string, PeerCounts>();
	/** Demand that the other boxes report, in units a second, by start of the box and client account. */
	private readonly reportedDemands = new Map<string, {readonly at: number; readonly rates: ReadonlyMap<string, number>}>();

	private constructor(
		private readonly facts: QuotaFacts,
		private readonly clock: Clock,
		private readonly startsFull: boolean,
	) {}

	/** All counters of this box, as sent to other boxes. */
	get counts(): readonly QuotaCount[] {
		return this.countsOf([...this.buckets]);
	}

	/** The counters that changed within the last 2.5 s (`recentTime`). */
	get recentCounts(): readonly QuotaCount[] {
		const since = this.clock.monotonic() - recentTime;
		return this.countsOf([...this.buckets].filter(([, {changedAt}]) => changedAt >= since));
	}

	/**
	 * Admits or rejects a request.
	 *
	 * @param clientAccount - Name of the client account.
	 * @param units - Units that the request counts.
	 * @returns Zero where the request is admitted; otherwise the milliseconds after which to retry.
	 */
	take(clientAccount: string, units: number): number {
		const bound = this.facts.bound(clientAccount);
		if (!bound || bound.rate <= 0) {
			return 0;
		}

		const bucket = this.bucketOf(clientAccount);
		this.refill(clientAccount, bucket);
		bucket.changedAt = this.clock.monotonic();
		bucket.demandMeter.addSample(units);
		bucket.meanUnits += (units - bucket.meanUnits) * (bucket.meanUnits === 0 ? 1 : meanWeight);
		if (!this.mayAdmit(bucket)) {
			return spreadRetryDelay(-bucket.level / bound.rate * millisecondsPerSecond, this.random());
		}

		bucket.level -= units;
		bucket.passed += units;
		bucket.ownMeter.addSample(units);
		return 0;
	}

	/**
	 * Returns the units of a request that has not run.
	 *
	 * @param clientAccount - Name of the client account.
	 * @param units - Units that the request counted.
	 */
	giveBack(clientAccount: string, units: number): void {
		const bucket = this.buckets.get(clientAccount);
		if (bucket) {
			bucket.changedAt = this.clock.monotonic();
			bucket.level += units;
			bucket.passed -= units;
			bucket.ownMeter.addSample(-units);
		}
	}

	/**
	 * @param clientAccount - Name of a client account.
	 * @returns The state behind the last decision; `undefined` where there was none.
	 */
	basisOf(clientAccount: string): QuotaBasis | undefined {
		const bucket = this.buckets.get(clientAccount);
		if (!bucket) {
			return undefined;
		}

		const {level, admittedFraction, levelReceivedAt} = bucket;
		return {
			level: Math.round(level),
			admittedFraction,
			levelAge: Number.isFinite(levelReceivedAt) ? Math.round(this.clock.monotonic() - levelReceivedAt) : undefined,
			reachableFraction: this.facts.reachableFraction(),
		};
	}

	/**
	 * @param peer - Start of a box.
	 * @returns Whether its counters have been received before.
	 */
	knows(peer: string): boolean {
		return this.peers.has(peer);
	}

	/**
	 * Applies the counters that another box sent.
	 *
	 * @param peer - Start of the box.
	 * @param counts - Its counters.
	 * @param meeting - How the box relates to this one: `known` has been in contact; `younger` is new and started after this one;
	 * `other` is older, or had lost contact, so that a part of the rate was left to it; `apart` is the same in a large fleet, where its
	 * level is no more accurate than this box's.
	 * @param isWhole - Whether counters that are absent are zero.
	 */
	applyCounts(peer: string, counts: readonly QuotaCount[], meeting: SenderRelation, isWhole = true): void {
		const known = this.countsFor(peer, meeting);
		this.reportedDemands.set(peer, {at: this.clock.monotonic(), rates: new Map(counts.map(({clientAccount, asked}) => [clientAccount, asked]))});
		for (const {clientAccount, passed, level} of counts) {
			// Units admitted before the first report of a counter are not subtracted.
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
				bucket.othersMeter.addSample(passed - before);
			}
		}

		known.isWhole ||= isWhole;
	}

	/**
	 * @param peer - Start of a box.
	 * @returns The levels of all buckets to send to that box.
	 */
	levelsFor(peer: string): readonly QuotaLevel[] {
		const counted = this.peers.get(peer);
		const fraction = this.facts.reachableFraction();
		const otherDemands = this.demandAtOtherBoxes();
		return [...this.buckets].map(([clientAccount, bucket]) => {
			this.refill(clientAccount, bucket);
			return {
				clientAccount,
				level: Math.round(bucket.level),
				refillRate: Math.round((this.facts.bound(clientAccount)?.rate ?? 0) * fraction),
				passRate: Math.round(Math.max(0, bucket.ownMeter.rate + bucket.othersMeter.rate)),
				askRate: Math.round(bucket.demandMeter.rate + (otherDemands.get(clientAccount) ?? 0)),
				counted: counted?.passed.get(clientAccount) ?? (counted?.isWhole === true ? 0 : undefined),
			};
		});
	}

	/**
	 * Applies the levels that an aggregator sent.
	 *
	 * @param levels - Levels of buckets.
	 */
	adopt(levels: readonly QuotaLevel[]): void {
		for (const level of levels) {
			this.adoptOne(level);
		}
	}

	/** @param peer - Start of a box that is gone. */
	forget(peer: string): void {
		this.peers.delete(peer);
		this.reportedDemands.delete(peer);
	}

	/**
	 * Where there are enough units for all, every box may admit requests. Where few units are left, all boxes would see the last of them
	 * at the same time and each would admit one more request; all boxes then admit the same fraction of the requests.
	 */
	private adoptOne({
		clientAccount, level, refillRate, passRate, askRate, counted,
	}: QuotaLevel): void {
		const bound = this.facts.bound(clientAccount);
		const bucket = this.bucketOf(clientAccount);
		this.refill(clientAccount, bucket);
		bucket.levelReceivedAt = this.clock.monotonic();
		bucket.refillRate = refillRate;
		bucket.othersRate = Math.max(0, passRate - bucket.ownMeter.rate);
		const unitsInFlight = Math.min(askRate * this.exchangeInterval * levelLagInIntervals / millisecondsPerSecond, (bound?.burst ?? 0) * maxInFlightFraction);
		const available = level - Math.max(0, bucket.passed - (counted ?? bucket.passed)) - unitsInFlight;
		const isOverloaded = askRate > refillRate * overloadFactor;
		// Until the next level arrives, the boxes admit the demand of an exchange interval.
		if (available > (isOverloaded ? askRate * this.exchangeInterval / millisecondsPerSecond : 0)) {
			bucket.level = available;
			bucket.admittedFraction = undefined;
			return;
		}

		const admittedRate = (refillRate * basePace) + (level / recoveryTime * millisecondsPerSecond);
		bucket.level = level;
		bucket.admittedFraction = Math.min(1, Math.max(0, admittedRate / Math.max(1, askRate, bucket.demandMeter.rate)));
	}

	private mayAdmit(bucket: Bucket): boolean {
		if (bucket.admittedFraction === undefined) {
			return bucket.level > 0;
		}

		bucket.admittedCredit += bucket.admittedFraction;
		if (bucket.admittedCredit < 1) {
			return false;
		}

		bucket.admittedCredit--;
		return true;
	}

	private get exchangeInterval(): number {
		return this.facts.exchangeInterval?.() ?? defaultExchangeInterval;
	}

	private random(): number {
		return (this.facts.random ?? Math.random)();
	}

	/**
	 * A bucket above zero admits a request of any size. Where many boxes lose the level at once and begin to spend fair parts, all would
	 * admit one at the same time; a random offset of up to one mean request spreads them.
	 */
	private randomOffset({meanUnits}: Bucket): number {
		return this.random() * meanUnits;
	}

	private countsOf(buckets: ReadonlyArray<readonly [string, Bucket]>): readonly QuotaCount[] {
		return buckets.map(([clientAccount, bucket]) => {
			this.refill(clientAccount, bucket);
			return {
				clientAccount, passed: Math.round(bucket.passed), level: Math.round(bucket.level), asked: Math.round(bucket.demandMeter.rate),
			};
		});
	}

	/** Starts from empty counters for a box that had lost contact: the known ones no longer show which units are new. */
	private countsFor(peer: string, meeting: SenderRelation): PeerCounts {
		const known = this.peers.get(peer);
		const isInContact = meeting === 'known' || meeting === 'younger';
		const counts = known && isInContact ? known : {passed: new Map<string, number>(), isWhole: isInContact};
		this.peers.set(peer, counts);
		return counts;
	}

	private burstOf(bound: QuotaBound | undefined): number {
		return (bound?.burst ?? 0) * (this.facts.burstFraction?.() ?? 1);
	}

	/** Demand at the other boxes in units a second, by client account. */
	private demandAtOtherBoxes(): ReadonlyMap<string, number> {
		const since = this.clock.monotonic() - demandLifetime;
		const totals = new Map<string, number>();
		for (const {rates} of [...this.reportedDemands.values()].filter(({at}) => at >= since)) {
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
			level: this.burstOf(this.facts.bound(clientAccount)) * (this.startsFull ? 1 : restartFraction * this.facts.reachableFraction()), refilledAt: this.clock.monotonic(), passed: 0,
			changedAt: Number.NEGATIVE_INFINITY,
			othersRate: 0,
			refillRate: 0,
			levelReceivedAt: Number.NEGATIVE_INFINITY,
			admittedFraction: undefined,
			admittedCredit: this.random(),
			meanUnits: 0,
			demandMeter: RateMeter.create(this.clock, demandTimeConstant),
			ownMeter: RateMeter.create(this.clock),
			othersMeter: RateMeter.create(this.clock),
		};
		this.buckets.set(clientAccount, bucket);
		return bucket;
	}

	/** Extrapolates the level that was last received. */
	private refilledLevel({level, othersRate, refillRate}: Bucket, bound: QuotaBound, elapsed: number): number {
		return Math.min(this.burstOf(bound), level + (elapsed * (refillRate - othersRate) / millisecondsPerSecond));
	}

	private refill(clientAccount: string, bucket: Bucket): void {
		const now = this.clock.monotonic();
		const elapsed = now - bucket.refilledAt;
		const bound = this.facts.bound(clientAccount);
		bucket.refilledAt = now;
		if (!bound) {
			return;
		}

		if (now - bucket.levelReceivedAt < this.exchangeInterval * levelLifetimeInIntervals) {
			bucket.level = this.refilledLevel(bucket, bound, elapsed);
		} else {
			const fraction = this.facts.reachableFraction();
			if (bucket.levelReceivedAt > Number.NEGATIVE_INFINITY) {
				bucket.levelReceivedAt = Number.NEGATIVE_INFINITY;
				bucket.admittedFraction = undefined;
				bucket.level = Math.min(bucket.level, this.burstOf(bound) * fraction) - this.randomOffset(bucket);
			}

			bucket.level = Math.min(this.burstOf(bound) * fraction, bucket.level + (elapsed * bound.rate * fraction / millisecondsPerSecond));
		}
	}
}
