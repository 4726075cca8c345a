/**
 * Load reports as boxes send them to each other.
 */
import {isPlausibleLoad, type StatedLoad} from './stated-load.js';

/**
 * How a box received a report: in a response of the replica, from the box that received the response, or in the digest of an aggregator.
 * Those of a digest are not forwarded, since their age does not include the time that they travel.
 */
export type ReportSource = 'answer' | 'box' | 'digest';

/** A load report for other boxes. */
export type LoadUpdate = StatedLoad & {
	/** Name of the replica's service. */
	readonly service: string;
	/** Incarnation of the replica. */
	readonly start: string;
	/** Milliseconds since the replica's response. */
	readonly age: number;
};

/** Milliseconds after which a report is no longer used. */
export const reportLifetime = 5000;

/**
 * Maximum reports in one message of a box, by fleet size, and in one digest. With 84 replicas and 86 boxes, digests of 48 reports
 * fill more than half of a slow link together with the rest of the exchange (exchange-load.test.ts).
 */
export const maxUpdates = {small: 64, large: 12, digest: 24} as const;

/**
 * @param update - A report that another box sent.
 * @returns Whether its figures are possible ones, and it is not too old to be used.
 */
export function isPlausibleUpdate(update: LoadUpdate): boolean {
	return update.service !== '' && update.start !== '' && update.age >= 0 && update.age <= reportLifetime && isPlausibleLoad(update);
}
