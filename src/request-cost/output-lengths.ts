/**
 * Estimates the output tokens of the requests of one route.
 */
import {sumOf} from '../base/sum.js';
import {pooledValue, quantileOf} from './weighted-quantile.js';

/** Responses that are kept. */
const maxSamples = 128;
/** Responses between two computations of the figures, which sort all samples, once there are a few. */
const batch = 8;
const minBatched = 32;
/** Quantile that counts as a high number of output tokens. */
const highShare = 0.9;
/** Standard deviations from the median to the 0.9 quantile of a normal distribution. */
export const highDeviations = 1.2816;
/** Hinted responses at which a hint counts half of what the samples say, as few samples correlate by chance. */
const hintPrior = 12;

/** What is known of the lengths of a route. */
export type LengthEvidence = {
	/** Responses that the figures are based on. */
	readonly weight: number;
	/** Median of the output tokens. */
	readonly middle: number;
	/** The 0.9 quantile of the output tokens. */
	readonly high: number;
	/** Weight of hints, from 0 (useless) to 1 (exact). */
	readonly hintWeight: number;
};

/** Expected output tokens of a request. */
export type ExpectedLength = {
	/** Median. */
	readonly middle: number;
	/** The 0.9 quantile. */
	readonly high: number;
};

type Sample = {
	/** Logarithms of the output tokens, and of the hint. */
	readonly length: number;
	readonly hint: number | undefined;
	readonly weight: number;
};

/** Moments of the logarithms of hints and lengths. */
type HintMoments = {
	/** Mean of the lengths that had a hint, and of the hints. */
	readonly length: number;
	readonly hint: number;
	/** Change of the length with the hint, from 0 to 1. */
	readonly slope: number;
	/** Share of the variance that hints leave unexplained, from 0 to 1. */
	readonly unexplained: number;
};

/** The output lengths of one route. */
export class OutputLengths {
	/** @returns Lengths without samples. */
	static create(): OutputLengths {
		return new OutputLengths();
	}

	private samples: readonly Sample[] = [];
	private own: LengthEvidence = {
		weight: 0, middle: 0, high: 0, hintWeight: 0,
	};

	private received: LengthEvidence = this.own;
	private learned = 0;
	private moments: HintMoments | undefined;
	private pooled = this.own;
	private last: {readonly hint: number | undefined; readonly expected: ExpectedLength | undefined} | undefined;

	/** Evidence measured here. */
	get evidence(): LengthEvidence {
		return this.own;
	}

	/** Evidence measured here or received. */
	get allEvidence(): LengthEvidence {
		return this.pooled;
	}

	/**
	 * @param outputTokens - Tokens of a response; positive.
	 * @param hint - The client's estimate, if there was one.
	 */
	learn(outputTokens: number, hint: number | undefined): void {
		const sample = {length: Math.log(outputTokens), hint: hint === undefined ? undefined : Math.log(hint), weight: 1};
		this.samples = [...this.samples, sample].slice(-maxSamples);
		this.learned++;
		if (this.samples.length < minBatched || this.learned % batch === 0) {
			this.update();
		}
	}

	/** @param evidence - Evidence of other boxes, which replaces what was received before. */
	adopt(evidence: LengthEvidence): void {
		this.received = evidence;
		this.pooled = pooledLengths([this.own, this.received]);
		this.last = undefined;
	}

	/** @param factor - Factor from 0 to 1 by which the weight of all evidence falls. */
	fade(factor: number): void {
		this.samples = this.samples.map(sample => ({...sample, weight: sample.weight * factor}));
		this.own = {...this.own, weight: this.own.weight * factor};
		this.received = {...this.received, weight: this.received.weight * factor};
		this.pooled = pooledLengths([this.own, this.received]);
		this.last = undefined;
	}

	/**
	 * @param hint - The client's estimate, if there is one.
	 * @returns Expected output tokens; `undefined` without evidence.
	 */
	expect(hint: number | undefined): ExpectedLength | undefined {
		// A decision asks for the same request at each replica.
		if (this.last === undefined || this.last.hint !== hint) {
			this.last = {hint, expected: this.compute(hint)};
		}

		return this.last.expected;
	}

	private compute(hint: number | undefined): ExpectedLength | undefined {
		const {weight, middle, high, hintWeight} = this.pooled;
		if (weight === 0) {
			return undefined;
		}

		if (hint === undefined || hintWeight === 0) {
			return {middle, high};
		}

		const {moments} = this;
		const slope = moments?.slope ?? hintWeight;
		const centre = moments ? moments.length - (slope * moments.hint) : Math.log(middle) * (1 - slope);
		const hinted = Math.exp(centre + (slope * Math.log(hint)));
		return {middle: hinted, high: hinted * ((high / middle) ** Math.sqrt(moments?.unexplained ?? (1 - slope)))};
	}

	private update(): void {
		this.moments = momentsOf(this.samples);
		const lengths = this.samples.map(({length, weight}) => ({value: length, weight}));
		this.own = {
			weight: pooledValue(lengths).weight,
			middle: Math.exp(quantileOf(lengths, 0.5)),
			high: Math.exp(quantileOf(lengths, highShare)),
			hintWeight: this.moments?.slope ?? 0,
		};
		this.pooled = pooledLengths([this.own, this.received]);
		this.last = undefined;
	}
}

/**
 * @param evidence - Evidence of several boxes.
 * @returns Their mean by weight.
 */
export function pooledLengths(evidence: readonly LengthEvidence[]): LengthEvidence {
	const pooled = (field: 'middle' | 'high' | 'hintWeight') => pooledValue(evidence.map(one => ({value: one[field], weight: one.weight}))).value;
	return {
		weight: sumOf(evidence.map(({weight}) => weight)), middle: pooled('middle'), high: pooled('high'), hintWeight: pooled('hintWeight'),
	};
}

/**
 * The covariance follows from the variances of lengths, of hints and of the errors of hints. Where hints are right at the median, the
 * slope is the variance of lengths divided by the sum of it and that of the errors; for hints that do not depend on the length it is 0.
 */
function momentsOf(samples: readonly Sample[]): HintMoments | undefined {
	const hinted = samples.flatMap(({length, hint}) => hint === undefined ? [] : [{length, hint, error: hint - length}]);
	if (hinted.length < 2) {
		return undefined;
	}

	const lengths = varianceOf(hinted.map(({length}) => length));
	const hints = varianceOf(hinted.map(({hint}) => hint));
	const errors = varianceOf(hinted.map(({error}) => error));
	const covariance = (lengths.variance + hints.variance - errors.variance) / 2;
	const raw = hints.variance > 0 ? Math.min(1, Math.max(0, covariance / hints.variance)) : 0;
	// A covariance below twice its standard error is taken for chance.
	const isChance = covariance < 2 * Math.sqrt(lengths.variance * hints.variance / hinted.length);
	const slope = isChance ? 0 : raw * hinted.length / (hinted.length + hintPrior);
	const explained = lengths.variance > 0 ? slope * covariance / lengths.variance : 0;
	return {
		length: lengths.mean, hint: hints.mean, slope, unexplained: Math.min(1, Math.max(0, 1 - explained)),
	};
}

function varianceOf(values: readonly number[]): {readonly mean: number; readonly variance: number} {
	const mean = sumOf(values) / values.length;
	return {mean, variance: sumOf(values.map(value => (value - mean) ** 2)) / values.length};
}
