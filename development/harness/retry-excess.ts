/**
 * Checks the bound on retries of one service, over all boxes. Development only.
 */

import type {RetryBound} from '../../src/quota/retry-window.js';

/** What clients sent and what replicas received, in milliseconds; both in ascending order. */
export type RetryHistory = {
	/** Times at which clients sent requests. */
	readonly requestedAt: readonly number[];
	/** Times at which a replica received a request that one had received before. */
	readonly retriedAt: readonly number[];
};

/** The window with the most retries above the bound. */
export type RetryExcess = {
	readonly from: number;
	readonly retries: number;
	readonly allowed: number;
	/** Retries above the bound; at most zero if it holds in every window. */
	readonly excess: number;
};

/**
 * The requests of a window are those of the window itself, of the one before it, or of the one half a window before it, whichever has most.
 *
 * @param history - Requests and retries.
 * @param bound - The bound.
 * @returns The window with the greatest excess; `undefined` without retries.
 */
export function greatestRetryExcess({requestedAt, retriedAt}: RetryHistory, {ratio, slack, window}: RetryBound): RetryExcess | undefined {
	const requestsFrom = (from: number) => firstAtOrAfter(requestedAt, from + window) - firstAtOrAfter(requestedAt, from);
	const excesses = retriedAt.map((from, index) => {
		const retries = firstAtOrAfter(retriedAt, from + window) - index;
		const allowed = (Math.max(requestsFrom(from), requestsFrom(from - (window / 2)), requestsFrom(from - window)) * ratio) + slack;
		return {
			from, retries, allowed, excess: retries - allowed,
		};
	});
	return excesses.sort((left, right) => right.excess - left.excess)[0];
}

/** @returns Index of the first time that is not before `at`; the number of times if all are before it. */
function firstAtOrAfter(times: readonly number[], at: number): number {
	let [low, high] = [0, times.length];
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		[low, high] = times[middle]! < at ? [middle + 1, high] : [low, middle];
	}

	return low;
}
