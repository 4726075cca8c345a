/**
 * Decisions that all runs share: whether a request may start, and whether to retry after a failed attempt.
 */
import * as Effect from 'effect/Effect';
import type {PoolName} from '../base/identifiers.js';
import {refusalReasons, type RefusalReason} from '../base/refusal-reason.js';
import {Refusal} from '../base/verdict.js';
import type {UpstreamState} from '../routing/upstream-state.js';
import {rowName, type Row} from '../table/table.js';
import type {UpstreamFailure, UpstreamFailureReason} from '../upstream/upstream-failure.js';
import type {DispatchServices} from './dispatch-services.js';

/** Maximum number of attempts of one request, whatever the retry budget allows. */
const maxAttempts = 10;
/**
 * Maximum number of consecutive attempts that were cut before any of the answer arrived. A request that crashes every upstream that runs it
 * would otherwise crash one with each of its ten attempts.
 */
const maxCutsWithoutProgress = 3;
/** Milliseconds; doubled with each attempt. */
const firstBackoff = 20;
/** Milliseconds. */
const maxBackoff = 1000;
/** Maximum of `Retry-After`, in milliseconds. */
const maxRetryAfter = 60_000;

const refusalReasonOf = {
	unreachable: 'upstream-unreachable',
	refused: 'upstream-refused',
	leaving: 'no-upstream',
	cut: 'upstream-cut',
	garbled: 'upstream-cut',
	timeout: 'deadline-passed',
	'bad-answer': 'upstream-refused',
} as const satisfies Record<UpstreamFailureReason, RefusalReason>;

/**
 * Charges a request to the ceiling of its table row.
 *
 * @param services - The services of this box.
 * @param row - The table row of the request.
 * @param cost - Cost of the request in units.
 * @returns Completes if the request is within the ceiling; otherwise fails at once, without waiting.
 */
export function passCeiling(services: DispatchServices, row: Row, cost: number): Effect.Effect<void, Refusal> {
	return Effect.suspend(() => {
		const wait = services.ceilings.take(rowName(row), cost);
		return wait === 0
			? Effect.void
			: Effect.fail(Refusal.create(
				'ceiling-reached',
				`The ceiling of ${rowName(row)} is reached over all boxes. It was not run.`,
				{retryAfter: Math.ceil(Math.min(wait, maxRetryAfter) / 1000)},
			));
	});
}

/**
 * @param attempts - Number of attempts made.
 * @returns Milliseconds to wait before the next attempt, with jitter.
 */
export function backoff(attempts: number): number {
	return Math.min(maxBackoff, firstBackoff * (2 ** attempts)) * Math.random();
}

/** A failed attempt and the state of its request. */
export type FailedAttempt = {
	readonly failure: UpstreamFailure;
	readonly upstream: UpstreamState;
	readonly pool: PoolName;
	readonly isRepeatable: boolean;
	/** Whether the caller already has part of the answer. */
	readonly hasBegun: boolean;
	/** Whether an earlier attempt may have run the request; the outcome of the last attempt does not change that. */
	readonly mayHaveRun: boolean;
	/** Number of attempts made, including this one. */
	readonly attempts: number;
	/** Consecutive attempts, including this one, that were cut before any of the answer arrived. */
	readonly cutsWithoutProgress: number;
};

/**
 * Records a failed attempt and decides whether to retry.
 *
 * @param services - The services of this box.
 * @param attempt - The failed attempt and the state of its request.
 * @returns `undefined` to retry; otherwise the refusal for the caller.
 */
export function evaluateFailure(services: DispatchServices, attempt: FailedAttempt): Refusal | undefined {
	recordFailure(services, attempt);
	const because = retryDenialOf(services, attempt);
	const {failure} = attempt;
	if (because === undefined) {
		services.metrics.retries.inc({reason: failure.reason});
		return undefined;
	}

	services.metrics.retriesDenied.inc({because});
	const verdict = attempt.hasBegun || attempt.mayHaveRun ? 'may-have-run' : failure.verdict;
	const reason = refusalReasonOf[failure.reason];
	// Some reasons, and their HTTP statuses, guarantee that the request did not run: they must not be sent with another verdict.
	const guaranteesNotRun = refusalReasons[reason].verdict === 'not-run';
	return Refusal.create(guaranteesNotRun && verdict !== 'not-run' ? 'upstream-cut' : reason, `The upstream failed: ${failure.detail}.`, {verdict});
}

/**
 * @param pool - The pool, which has no upstream that can take the request.
 * @param mayHaveRun - Whether an earlier attempt may have run the request.
 * @returns The refusal for the caller.
 */
export function refuseWithoutUpstream(pool: PoolName, mayHaveRun: boolean): Refusal {
	return mayHaveRun
		? Refusal.create('upstream-cut', `The upstream failed, and no other one of pool ${pool} can take the request.`)
		: Refusal.create('no-upstream', `No upstream of pool ${pool} can take the request. It was not run.`);
}

function recordFailure({metrics, directory, log}: DispatchServices, {failure, upstream}: FailedAttempt): void {
	const {box} = upstream;
	if (failure.reason === 'leaving') {
		metrics.leavingDispatches.inc();
		directory.markLeaving(box.id, 'upstream', undefined);
		return;
	}

	if (failure.reason !== 'bad-answer' && upstream.recordFailure()) {
		log.write('upstreamUnreachable', {upstream: box.id, reason: failure.reason, detail: failure.detail});
	}
}

/** @returns Why a retry is not allowed, as the label of the metric; `undefined` where it is allowed. */
function retryDenialOf({gates}: DispatchServices, {failure, isRepeatable, hasBegun, attempts, cutsWithoutProgress, pool}: FailedAttempt) {
	if (failure.verdict === 'may-have-run' && !isRepeatable) {
		return 'not-repeatable';
	}

	if (failure.reason === 'bad-answer') {
		return 'bad-answer';
	}

	if (attempts >= maxAttempts) {
		return 'tries';
	}

	if (cutsWithoutProgress >= maxCutsWithoutProgress) {
		return 'cuts';
	}

	// The retry budget is not charged if the upstream was leaving, since it did no work, or if the stream has begun, since its whole cost was
	// charged on admission.
	if (failure.reason === 'leaving' || hasBegun) {
		return undefined;
	}

	return gates.budget(pool).withdraw() ? undefined : 'budget';
}
