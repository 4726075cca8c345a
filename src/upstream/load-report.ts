/**
 * What an upstream says of its load, with a lag.
 */

/** A load report. */
export type LoadReport = {
	/** Requests that run. */
	readonly running: number;
	/** Requests that wait. */
	readonly queued: number;
	readonly isLeaving: boolean;
};
