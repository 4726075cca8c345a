/**
 * Detects that replicas have become faster or slower, from times that contain an unknown wait.
 */
import {medianOf} from '../base/median.js';
import {quantileOf} from './weighted-quantile.js';

/** Requests that are compared; a change has to be noticed within 40. */
const window = 30;
/** Quantile of the ratios of observed to expected time that shows a slower engine; a median exceeds 2 through queueing alone. */
const slowQuantile = 0.1;
/** Quantile of the ratios that shows a faster engine; waiting never makes a time shorter. */
const fastQuantile = 0.5;
/** Ratio that counts as a change. An engine that is exactly twice as slow has to exceed it in spite of errors of the model. */
const minRatio = 1.6;
/** Ratio of two expected times from which on the difference of the observed times counts. */
const minSpread = 1.5;

type Times = {
	/** Milliseconds to the first event. */
	readonly observed: number;
	/** The same as the model predicts. */
	readonly expected: number;
};

/** Compares observed to expected times. */
export class SpeedChange {
	/** @returns A detector without samples. */
	static create(): SpeedChange {
		return new SpeedChange();
	}

	private times: readonly Times[] = [];

	/**
	 * @param observed - Milliseconds to the first event of a request.
	 * @param expected - The same as the model predicts; positive.
	 * @returns The factor by which times have changed, after which counting starts anew; `undefined` without a change.
	 */
	record(observed: number, expected: number): number | undefined {
		this.times = [...this.times, {observed, expected}].slice(-window);
		const factor = this.times.length < window ? undefined : factorOf(this.times);
		this.times = factor === undefined ? this.times : [];
		return factor;
	}
}

function factorOf(times: readonly Times[]): number | undefined {
	const ratios = times.map(({observed, expected}) => ({value: observed / expected, weight: 1}));
	const slow = quantileOf(ratios, slowQuantile);
	// The slope is computed only where needed, since it compares all pairs.
	if (slow > minRatio) {
		const factor = Math.min(slow, slopeOf(times));
		return factor > minRatio ? factor : undefined;
	}

	const fast = quantileOf(ratios, fastQuantile);
	return fast < 1 / minRatio ? fast : undefined;
}

/**
 * Waiting does not depend on the size of a request and cancels out in the differences between requests, while a slower engine scales
 * them. The median makes the slope robust against rare long waits (Theil-Sen estimator).
 */
function slopeOf(times: readonly Times[]): number {
	return medianOf(times.flatMap(left => times
		.filter(right => right.expected > left.expected * minSpread)
		.map(right => (right.observed - left.observed) / (right.expected - left.expected))));
}
