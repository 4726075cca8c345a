/**
 * The time to the first byte that a load report promises.
 */
import type {StatedLoad} from './stated-load.js';

/** What a request needs at a replica that works at the usual pace. */
export type RequestNeed = {
	/** Milliseconds from the start of the request's own work to the first byte. */
	readonly ownWork: number;
	/** Mean milliseconds for which a request of the service occupies a slot. */
	readonly occupancy: number;
};

/**
 * @param load - The reported load.
 * @param pace - Expected pace of the replica.
 * @param need - What the request needs.
 * @returns Milliseconds from sending the request to the first byte: the wait behind the waiting requests and its own work, at that pace.
 */
export function promisedStart({waiting, slots}: StatedLoad, pace: number, {ownWork, occupancy}: RequestNeed): number {
	return ((waiting * occupancy / Math.max(1, slots)) + ownWork) * pace;
}
