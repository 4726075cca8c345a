/**
 * What became of a request at the replicas that it was tried at.
 */

/** What became of a request so far; its tries write it, its log line tells it. */
export type RunStory = {
	tries: number;
	runs: number;
	/** Tries at replicas whose addresses refused the connection. */
	refusedConnections: number;
	replica: string | undefined;
	/** Failures of tries in order. */
	failures: string;
	firstByteAt: number | undefined;
	/** Replicas that it was kept from at one time, for the limits that they had named or the pauses that they had asked for. */
	keptFrom: number;
	/** Milliseconds for which the entry of the last replica had been missing when the request was sent; `undefined` where it was listed. */
	missingFor: number | undefined;
};
