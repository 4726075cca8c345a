/**
 * Spreads the return of clients that were refused for lack of capacity or quota.
 *
 * @remarks
 * The load pattern: when replicas disappear, hundreds of clients are refused within moments. If all are given the same delay, they return
 * in the same moment and most are refused again. None is called back before capacity is expected.
 */

/** Shortest delay in milliseconds: loads and levels are known anew after it. */
const minRetryDelay = 500;
/** Part of the delay over which clients are spread. */
const spread = 0.5;

/**
 * @param untilCapacity - Milliseconds until the request can be expected to be served.
 * @param random - A number from 0 to 1.
 * @returns Milliseconds after which the client should retry.
 */
export function spreadRetryDelay(untilCapacity: number, random: number): number {
	return Math.round(Math.max(minRetryDelay, untilCapacity) * (1 + (spread * random)));
}
