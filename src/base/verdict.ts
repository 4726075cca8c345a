/**
 * The verdict on a request (whether it ran) and the refusal that reports it to the client.
 */
import * as Data from 'effect/Data';
import {refusalReasons, type RefusalReason} from './refusal-reason.js';

/**
 * - `not-run`: it did not run and will not; a retry is safe.
 * - `may-have-run`: it is unknown whether it ran; a retry may run it twice.
 * - `ran`: it ran to completion.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** The refusal of a request. It tells the client whether the request may have run. */
export class Refusal extends Data.TaggedError('Refusal')<{
	readonly verdict: Verdict;
	readonly reason: RefusalReason;
	/** What happened and what the client can do. */
	readonly detail: string;
	/** Whole seconds after which a retry is useful; `undefined` if it never is. */
	readonly retryAfter: number | undefined;
	/** Where the answer can be fetched if another box continues the request. */
	readonly location: string | undefined;
}> {
	/**
	 * Creates a refusal with the verdict and retry delay of its reason.
	 *
	 * @param reason - Reason in the catalogue; also the label of the refusal counter.
	 * @param detail - What happened and what the client can do.
	 * @param options - Verdict or retry delay in place of the reason's own, and where the answer can be fetched.
	 * @returns The refusal.
	 */
	static create(
		reason: RefusalReason,
		detail: string,
		options: {readonly verdict?: Verdict; readonly retryAfter?: number; readonly location?: string} = {},
	): Refusal {
		const traits = refusalReasons[reason];
		return new Refusal({
			reason,
			detail,
			verdict: options.verdict ?? traits.verdict,
			retryAfter: options.retryAfter ?? traits.retryAfter,
			location: options.location,
		});
	}
}
