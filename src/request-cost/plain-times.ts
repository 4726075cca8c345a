/**
 * Durations of the plain calls of one route.
 */
import {pooledValue, quantileOf, type WeightedValue} from './weighted-quantile.js';

/** Calls that are kept. */
const maxSamples = 128;
/** Quantile that counts as a long duration. */
const highShare = 0.9;

/** What is known of the durations of a route. */
export type PlainEvidence = {
	/** Sum of the weights of the calls that the figures are based on. */
	readonly weight: number;
	/** Mean duration in milliseconds. */
	readonly middle: number;
	/** The 0.9 quantile of the durations in milliseconds. */
	readonly high: number;
};

/** The durations of one route. */
export class PlainTimes {
	/** @returns Durations without samples. */
	static create(): PlainTimes {
		return new PlainTimes();
	}

	private samples: readonly WeightedValue[] = [];
	private own: PlainEvidence = {weight: 0, middle: 0, high: 0};
	private received = this.own;
	private pooled = this.own;

	/** Evidence measured here. */
	get evidence(): PlainEvidence {
		return this.own;
	}

	/** Evidence measured here or received. */
	get allEvidence(): PlainEvidence {
		return this.pooled;
	}

	/**
	 * @param time - Milliseconds that a call took; positive.
	 * @param weight - Weight of the observation, from 0 to 1.
	 */
	learn(time: number, weight: number): void {
		this.samples = [...this.samples, {value: time, weight}].slice(-maxSamples);
		const mean = pooledValue(this.samples);
		this.own = {weight: mean.weight, middle: mean.value, high: quantileOf(this.samples, highShare)};
		this.pooled = pooledTimes([this.own, this.received]);
	}

	/** @param evidence - Evidence of other boxes, which replaces what was received before. */
	adopt(evidence: PlainEvidence): void {
		this.received = evidence;
		this.pooled = pooledTimes([this.own, this.received]);
	}

	/** @param factor - Factor from 0 to 1 by which the weight of all evidence falls. */
	fade(factor: number): void {
		this.samples = this.samples.map(({value, weight}) => ({value, weight: weight * factor}));
		this.own = {...this.own, weight: this.own.weight * factor};
		this.received = {...this.received, weight: this.received.weight * factor};
		this.pooled = pooledTimes([this.own, this.received]);
	}
}

/**
 * @param evidence - Evidence of several boxes.
 * @returns Their mean by weight.
 */
export function pooledTimes(evidence: readonly PlainEvidence[]): PlainEvidence {
	const middle = pooledValue(evidence.map(one => ({value: one.middle, weight: one.weight})));
	const high = pooledValue(evidence.map(one => ({value: one.high, weight: one.weight})));
	return {weight: middle.weight, middle: middle.value, high: high.value};
}
