/**
 * Learns the time that replicas take to read prompts from times that contain an unknown wait.
 */
import {ReadingCurve, type CurvePoint} from './reading-curve.js';
import {pooledValue, quantileOf, type WeightedValue} from './weighted-quantile.js';

/** Prompt tokens that a replica reads in a millisecond, without evidence. */
export const defaultReadRate = 50;
/** Least size of the first class, in tokens. */
const minClassTokens = 256;
/** Size classes, which are powers of two from 256 to 65,536 tokens. */
export const classCount = 8;
/** Samples kept for each class. */
const maxSamples = 48;
/**
 * Quantile of the observed times that counts as the time without waiting. At 0.7 utilisation only three of ten requests do not wait. In the replay
 * at that utilisation, the median error of the worst size class was 41 % with 0.3, 17 % with 0.2, 28 % with 0.15 and 10 % with 0.1.
 */
const quantile = 0.1;
/** Weight below which an observation is ignored once its class has evidence: when all requests wait, they would raise each quantile. */
const minWeight = 0.3;
/** Weight of a class that counts as evidence. */
const enoughWeight = 4;
/** Maximum weight of a class from before a change; what all boxes measured before it would outweigh what this box measures. */
const maxEarlierWeight = 12;
/** Weight of the constants in each class, so that sizes that were never seen get a plausible time. */
const defaultWeight = 0.1;

/** Tokens at the centre of each class, as the geometric mean of its bounds. */
const centres = Array.from({length: classCount}, (_, index) => minClassTokens * (2 ** (index + 0.5)));

/** Curve of replicas of which nothing is known. */
export const defaultCurve = ReadingCurve.create(defaultReadRate);

/** Time for the centre of each size class in milliseconds, with its weight; weights of zero for classes without evidence. */
export type ReadingEvidence = readonly WeightedValue[];

type Sample = {
	readonly tokens: number;
	/** Milliseconds to the first event. */
	readonly time: number;
	readonly weight: number;
};

const noEvidence: ReadingEvidence = centres.map(() => ({value: 0, weight: 0}));

/** The reading times of one service and software version. */
export class ReadingModel {
	/** @returns A model without evidence. */
	static create(): ReadingModel {
		return new ReadingModel();
	}

	private samples: ReadonlyArray<readonly Sample[]> = centres.map(() => []);
	private own = noEvidence;
	private received = noEvidence;
	/** Evidence of the version before, or from before a change of speed. */
	private earlier = noEvidence;
	private fitted = defaultCurve;

	/** Expected times without waiting. */
	get curve(): ReadingCurve {
		return this.fitted;
	}

	/** Evidence measured here, and a little of that from before a change, without that received from other boxes since. */
	get evidence(): ReadingEvidence {
		return this.own.map((one, index) => pooledValue([one, this.earlier[index]!]));
	}

	/** Evidence measured here or received. */
	get allEvidence(): ReadingEvidence {
		return this.own.map((one, index) => pooledValue([one, this.received[index]!, this.earlier[index]!]));
	}

	/**
	 * Records a reading time.
	 *
	 * @param tokens - Prompt tokens that were read.
	 * @param time - Milliseconds to the first event, including waiting; positive.
	 * @param weight - Weight of the observation, from 0 to 1.
	 */
	learn(tokens: number, time: number, weight: number): void {
		const index = classOf(tokens);
		if (weight < minWeight && this.allEvidence[index]!.weight >= enoughWeight) {
			return;
		}

		this.samples = this.samples.with(index, [...this.samples[index]!, {tokens, time, weight}].slice(-maxSamples));
		this.own = this.own.with(index, this.estimate(index));
		this.refit();
	}

	/** @param evidence - Evidence of other boxes, which replaces what was received before. */
	adopt(evidence: ReadingEvidence): void {
		this.received = evidence;
		this.refit();
	}

	/** @param evidence - Evidence of the version before, which counts beside that of this version. */
	inherit(evidence: ReadingEvidence): void {
		this.earlier = limited(evidence);
		this.refit();
	}

	/** @param factor - Factor from 0 to 1 by which the weight of all evidence falls. */
	fade(factor: number): void {
		this.samples = this.samples.map(samples => samples.map(sample => ({...sample, weight: sample.weight * factor})));
		this.own = scaled(this.own, factor);
		this.received = scaled(this.received, factor);
		this.earlier = scaled(this.earlier, factor);
		this.refit();
	}

	/**
	 * Replaces all samples by the present estimate times a factor, which counts little against new samples.
	 *
	 * @param factor - Duration of reading now, relative to the estimate.
	 * @param weight - Factor from 0 to 1 by which the weight of the evidence falls.
	 */
	rescale(factor: number, weight: number): void {
		const {allEvidence} = this;
		this.earlier = limited(centres.map((tokens, index) => ({value: this.fitted.timeFor(tokens) * factor, weight: allEvidence[index]!.weight * weight})));
		this.received = noEvidence;
		this.samples = centres.map(() => []);
		this.own = noEvidence;
		this.refit();
	}

	private estimate(index: number): WeightedValue {
		const values = this.samples[index]!.map(sample => ({value: this.timeAtCentre(sample, centres[index]!), weight: sample.weight}));
		return {value: quantileOf(values, quantile), weight: pooledValue(values).weight};
	}

	/** The time for the centre of the class, by the present curve. Below the classes, the constant term dominates and a ratio would fail. */
	private timeAtCentre({tokens, time}: Sample, centre: number): number {
		const atCentre = this.fitted.timeFor(centre);
		const atSize = this.fitted.timeFor(tokens);
		return tokens < minClassTokens ? time + atCentre - atSize : time * atCentre / atSize;
	}

	private refit(): void {
		const points: readonly CurvePoint[] = this.allEvidence.flatMap(({value, weight}, index) => {
			const tokens = centres[index]!;
			const usual = {tokens, time: defaultCurve.timeFor(tokens), weight: defaultWeight};
			return value > 0 && weight > 0 ? [usual, {tokens, time: value, weight}] : [usual];
		});
		this.fitted = ReadingCurve.fit(points);
	}
}

/**
 * @param tokens - Prompt tokens.
 * @returns Index of their size class.
 */
export function classOf(tokens: number): number {
	return Math.min(classCount - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, tokens) / minClassTokens))));
}

/**
 * @param evidence - Evidence.
 * @param factor - Factor of the weights.
 * @returns The same times with other weights.
 */
export function scaled(evidence: ReadingEvidence, factor: number): ReadingEvidence {
	return evidence.map(({value, weight}) => ({value, weight: weight * factor}));
}

const limited = (evidence: ReadingEvidence): ReadingEvidence => evidence.map(({value, weight}) => ({value, weight: Math.min(maxEarlierWeight, weight)}));
