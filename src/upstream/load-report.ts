/**
 * The load that an upstream reports. A report lags behind the actual load.
 */

/** A load report. */
export type LoadReport = {
	/** Number of running requests. */
	readonly running: number;
	/** Number of waiting requests. */
	readonly queued: number;
	readonly isLeaving: boolean;
};
