/**
 * A try at a replica that brought no answer for the client.
 */
import * as Data from 'effect/Data';
import type {Verdict} from '../base/verdict.js';

/** Why a try failed; the label of the retry counters. */
export type AttemptFailureReason = 'unreachable' | 'refused' | 'elsewhere' | 'cut' | 'garbled' | 'failed' | 'withheld';

/** A try that failed, and whether the request may have run there. */
export class AttemptFailure extends Data.TaggedError('AttemptFailure')<{
	readonly reason: AttemptFailureReason;
	readonly verdict: Verdict;
	readonly detail: string;
}> {
	/**
	 * @param reason - Why; nothing was sent, or the replica promises that nothing ran.
	 * @param detail - What happened.
	 * @returns The failure.
	 */
	static notRun(reason: AttemptFailureReason, detail: string): AttemptFailure {
		return new AttemptFailure({reason, verdict: 'not-run', detail});
	}

	/**
	 * @param reason - Why; nobody can tell whether it ran.
	 * @param detail - What happened.
	 * @returns The failure.
	 */
	static mayHaveRun(reason: AttemptFailureReason, detail: string): AttemptFailure {
		return new AttemptFailure({reason, verdict: 'may-have-run', detail});
	}
}
