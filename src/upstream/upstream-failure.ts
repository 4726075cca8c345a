/**
 * How a call to an upstream can fail, and whether it may have run.
 */
import * as Data from 'effect/Data';
import type {Verdict} from '../base/verdict.js';

/**
 * Why a call to an upstream brought no answer; the label of the retry counter. `garbled`: what came cannot be part of the answer, and
 * is given up on there.
 */
export type UpstreamFailureReason = 'unreachable' | 'refused' | 'leaving' | 'cut' | 'garbled' | 'timeout' | 'bad-answer';

/** A call to an upstream that brought no answer, or only part of one. */
export class UpstreamFailure extends Data.TaggedError('UpstreamFailure')<{
	readonly reason: UpstreamFailureReason;
	readonly verdict: Exclude<Verdict, 'ran'>;
	readonly detail: string;
}> {}
