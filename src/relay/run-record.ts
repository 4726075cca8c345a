/**
 * Outcome of a request's attempts at replicas.
 */

import type {RetryBasis} from '../quota/service-retry-budget.js';

/** Outcome so far, updated by the attempts and written to the log record of the request. */
export type RunRecord = {
	attempts: number;
	/** Attempts in which the replica may have run the request. */
	executions: number;
	/** Attempts of this box that sent the request to a replica. */
	arrivals: number;
	/** Monotonic milliseconds at which the last attempt was sent to a replica or another box; `undefined` before. */
	sentAt: number | undefined;
	/** Attempts at replicas whose addresses refused the connection. */
	refusedConnections: number;
	/** Attempts to forward the request through another box. */
	forwards: number;
	/** Name of the box that the request was last forwarded through; `undefined` if it was not. */
	via: string | undefined;
	/** Id of the replica of the last attempt. */
	replica: string | undefined;
	/** Software versions of the replicas that the attempts were sent to, in order; consecutive equal ones are listed once. */
	software: readonly string[];
	/** Failures of the attempts in order, separated by semicolons. */
	failures: string;
	/** Monotonic milliseconds of the first byte of an answer; `undefined` before. */
	firstByteAt: number | undefined;
	/** Greatest number of replicas that were excluded at one time because of their rate limits or requested pauses. */
	excludedReplicas: number;
	/** What the last decision on a retry was based on; `undefined` if there was none. */
	retryBasis: RetryBasis | undefined;
	/** Milliseconds for which the entry of the last replica had been missing when the request was sent; `undefined` if it was listed. */
	missingFor: number | undefined;
	/** Expected milliseconds until the best replica started the request, when it was admitted or refused; `undefined` before. */
	expectedWait: number | undefined;
	/** Milliseconds that the replica of the last attempt was expected to read the prompt; `undefined` if its service is not placed by cost. */
	expectedReading: number | undefined;
	/** Milliseconds for which the request waited in the box; `undefined` if it did not. */
	queuedFor: number | undefined;
	/** Mean age in milliseconds of the load that this was based on; `undefined` if no other box was known. */
	loadAge: number | undefined;
};
