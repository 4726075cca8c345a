/**
 * What is known about whether a request ran.
 */
import * as Data from 'effect/Data';
import {refusalReasons, type RefusalReason} from './refusal-reason.js';

/**
 * - `not-run`: it did not run and will not; asking again is safe.
 * - `may-have-run`: nobody can tell; asking again may run it twice.
 * - `ran`: it ran to its end.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** A request that ends without its answer. It tells the caller whether the request may have run. */
export class Refusal extends Data.TaggedError('Refusal')<{
	readonly verdict: Verdict;
	readonly reason: RefusalReason;
	/** What happened, to what, and what the caller can do. */
	readonly detail: string;
	/** Whole seconds after which asking again makes sense; absent where it never does. */
	readonly retryAfter: number | undefined;
	/** Where the answer can be fetched, if the request goes on elsewhere. */
	readonly location: string | undefined;
}> {
	/**
	 * Builds a refusal with the verdict that its reason implies.
	 *
	 * @param reason - Why; also the label of the refusal counter.
	 * @param detail - What happened and what the caller can do.
	 * @param options - Where the verdict or the time to come back differ from the reason's own.
	 * @returns The refusal.
	 */
	static create(
		reason: RefusalReason,
		detail: string,
		options: {readonly verdict?: Verdict; readonly retryAfter?: number; readonly location?: string} = {},
	): Refusal {
		const known = refusalReasons[reason];
		return new Refusal({
			reason,
			detail,
			verdict: options.verdict ?? known.verdict,
			retryAfter: options.retryAfter ?? known.retryAfter,
			location: options.location,
		});
	}
}
