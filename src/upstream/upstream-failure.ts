/**
 * Failures of calls to upstreams, with the verdict whether the call may have run.
 */
import * as Data from 'effect/Data';
import type {Verdict} from '../base/verdict.js';

/**
 * Why a call to an upstream failed; also the label of the retry counter. `garbled`: the answer holds invalid data and was aborted at that
 * point.
 */
export type UpstreamFailureReason = 'unreachable' | 'refused' | 'leaving' | 'cut' | 'garbled' | 'timeout' | 'bad-answer';

/** A call to an upstream that returned no answer, or only part of one. */
export class UpstreamFailure extends Data.TaggedError('UpstreamFailure')<{
	readonly reason: UpstreamFailureReason;
	readonly verdict: Exclude<Verdict, 'ran'>;
	readonly detail: string;
}> {}
