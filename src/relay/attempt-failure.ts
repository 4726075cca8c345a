/**
 * An attempt at a replica that produced no answer for the client.
 */
import * as Data from 'effect/Data';
import type {Verdict} from '../base/verdict.js';

/**
 * Why an attempt failed; also the label of the retry counters. With `not-forwarded`, another box could not send the request to a replica. With
 * `no-event`, a stream ended without an event.
 */
export type AttemptFailureReason = 'not-forwarded' | 'unreachable' | 'refused' | 'elsewhere' | 'cut' | 'no-event' | 'garbled' | 'failed' | 'withheld' | 'over-budget';

/** Failures of attempts that sent nothing to a replica. */
const reasonsBeforeArrival: ReadonlySet<AttemptFailureReason> = new Set(['unreachable', 'withheld', 'over-budget']);

/** A failed attempt, and whether the replica may have run the request. */
export class AttemptFailure extends Data.TaggedError('AttemptFailure')<{
	readonly reason: AttemptFailureReason;
	readonly verdict: Verdict;
	readonly detail: string;
	/** Whether a replica may have received the request, whether it ran it or not. */
	readonly mayHaveArrived: boolean;
}> {
	/** Whether the answer ended early. */
	get isCut(): boolean {
		return this.reason === 'cut' || this.reason === 'no-event';
	}

	/**
	 * For a request that was not sent, or that the replica declares not to have run.
	 *
	 * @param reason - Why the attempt failed.
	 * @param detail - What happened.
	 * @param mayHaveArrived - Whether a replica may have received it; by default this follows from the reason.
	 * @returns The failure.
	 */
	static notRun(reason: AttemptFailureReason, detail: string, mayHaveArrived = !reasonsBeforeArrival.has(reason)): AttemptFailure {
		return new AttemptFailure({
			reason, verdict: 'not-run', detail, mayHaveArrived,
		});
	}

	/**
	 * For a request that was sent and whose execution is unknown.
	 *
	 * @param reason - Why the attempt failed.
	 * @param detail - What happened.
	 * @returns The failure.
	 */
	static mayHaveRun(reason: AttemptFailureReason, detail: string): AttemptFailure {
		return new AttemptFailure({
			reason, verdict: 'may-have-run', detail, mayHaveArrived: true,
		});
	}
}
