/**
 * The paces that the replicas of one service state: their mean, and how long a pace holds.
 */
import {PairCorrelation} from './pair-correlation.js';
import {limitPace, usualPace} from './stated-load.js';

/** Upper bounds of the buckets of ages, in milliseconds. */
const bucketBounds = [50, 100, 200, 400, 800, 1600] as const;
/** Slow phases that are needed for a mean length, and the weight of one in the moving average. */
const minPhases = 10;
const phaseWeight = 0.1;
/** Longest slow phase that counts, in milliseconds: a machine that is slow for longer is no sign of how long phases last. */
const maxPhase = 5000;
/** Least weight of one pace in the moving average, which spans about a hundred paces. */
const minMeanWeight = 0.01;

/** The paces of one service. */
export class ServicePaces {
	/** @returns Paces without samples. */
	static create(): ServicePaces {
		return new ServicePaces();
	}

	private readonly buckets = bucketBounds.map(() => PairCorrelation.create());
	private count = 0;
	private average = usualPace;
	private lastStatedAt = Number.NEGATIVE_INFINITY;
	private phases = 0;
	private phaseMean = 0;

	private constructor() {
		// Made by create().
	}

	/** Moving average of the paces; 1 before the first. */
	get mean(): number {
		return this.average;
	}

	/** Monotonic milliseconds at which a replica last stated a pace; negative infinity if none did. */
	get statedAt(): number {
		return this.lastStatedAt;
	}

	/**
	 * Records a pace.
	 *
	 * @param pace - The pace, as stated.
	 * @param at - Monotonic milliseconds at which it was stated.
	 */
	record(pace: number, at: number): void {
		this.count++;
		this.average += (limitPace(pace) - this.average) * Math.max(1 / this.count, minMeanWeight);
		this.lastStatedAt = Math.max(this.lastStatedAt, at);
	}

	/**
	 * Records two successive paces of one replica.
	 *
	 * @param earlier - The first pace, as stated.
	 * @param later - The next one.
	 * @param interval - Milliseconds between them; infinite if unknown.
	 */
	recordPair(earlier: number, later: number, interval: number): void {
		this.bucketOf(interval)?.add(limitPace(earlier), limitPace(later));
	}

	/** @param length - Milliseconds for which a replica was slow. */
	recordPhase(length: number): void {
		this.phases++;
		this.phaseMean += (Math.min(maxPhase, length) - this.phaseMean) * Math.max(1 / this.phases, phaseWeight);
	}

	/**
	 * A box of a large fleet rarely receives two answers of one replica shortly after one another. Until it has enough of such pairs, the length of slow phases,
	 * which boxes tell each other at once, takes their place.
	 *
	 * @param age - Milliseconds.
	 * @returns How far a pace of that age still holds, from 0 to 1.
	 */
	persistence(age: number): number {
		const bucket = this.bucketOf(age);
		if (bucket?.isMeasured) {
			return bucket.value;
		}

		return this.phases < minPhases ? 0 : Math.max(0, 1 - (age / Math.max(1, this.phaseMean)));
	}

	private bucketOf(age: number): PairCorrelation | undefined {
		return this.buckets[bucketBounds.findIndex(bound => age <= bound)];
	}
}
