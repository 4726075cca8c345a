/**
 * What all runs decide the same way: whether a request may begin, and what follows a failed attempt.
 */
import * as Effect from 'effect/Effect';
import type {PoolName} from '../base/identifiers.js';
import {refusalReasons, type RefusalReason} from '../base/refusal-reason.js';
import {Refusal} from '../base/verdict.js';
import type {UpstreamState} from '../routing/upstream-state.js';
import {rowName, type Row} from '../table/table.js';
import type {UpstreamFailure, UpstreamFailureReason} from '../upstream/upstream-failure.js';
import type {DispatchServices} from './dispatch-services.js';

/** Tries of one request at most, whatever else would allow more. */
const mostTries = 10;
/**
 * Tries in a row that were cut without bringing anything, at most: a request that ends whatever runs it would else end ten upstreams a
 * call, since the same request is the next one's too.
 */
const mostFruitlessCuts = 3;
const firstBackoff = 20;
const longestBackoff = 1000;
/** Milliseconds a caller is asked to stay away at most. */
const longestAbsence = 60_000;

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
 * Lets a request pass the ceiling of its row.
 *
 * @param services - Where the ceilings are.
 * @param row - The row that governs the request.
 * @param cost - Units.
 * @returns Ends when it may pass; refused at once when it may not.
 */
export function passCeiling(services: DispatchServices, row: Row, cost: number): Effect.Effect<void, Refusal> {
	return Effect.suspend(() => {
		const wait = services.ceilings.take(rowName(row), cost);
		return wait === 0
			? Effect.void
			: Effect.fail(Refusal.create(
				'ceiling-reached',
				`The ceiling of ${rowName(row)} is reached over all boxes. It was not run.`,
				{retryAfter: Math.ceil(Math.min(wait, longestAbsence) / 1000)},
			));
	});
}

/**
 * @param tries - Tries made.
 * @returns Milliseconds to wait before the next, jittered.
 */
export function backoff(tries: number): number {
	return Math.min(longestBackoff, firstBackoff * (2 ** tries)) * Math.random();
}

/** What is known when an attempt failed. */
export type FailedAttempt = {
	readonly failure: UpstreamFailure;
	readonly upstream: UpstreamState;
	readonly pool: PoolName;
	readonly isRepeatable: boolean;
	/** Whether its caller has part of the answer already. */
	readonly hasBegun: boolean;
	/** Whether an earlier try may have run it: what the last one met does not change that. */
	readonly mayHaveRun: boolean;
	readonly tries: number;
	/** Tries in a row, this one too, that were cut without bringing anything. */
	readonly fruitlessCuts: number;
};

/**
 * Notes a failed attempt and decides whether to try again.
 *
 * @param services - Where it is noted.
 * @param attempt - What is known.
 * @returns `undefined` to try again; otherwise the refusal for the caller.
 */
export function judgeFailure(services: DispatchServices, attempt: FailedAttempt): Refusal | undefined {
	noteFailure(services, attempt);
	const because = denialOf(services, attempt);
	const {failure} = attempt;
	if (because === undefined) {
		services.metrics.retries.inc({reason: failure.reason});
		return undefined;
	}

	services.metrics.retriesDenied.inc({because});
	const verdict = attempt.hasBegun || attempt.mayHaveRun ? 'may-have-run' : failure.verdict;
	const reason = refusalReasonOf[failure.reason];
	// The status of a reason that promises that nothing ran must not be sent with another verdict.
	const isPromise = refusalReasons[reason].verdict === 'not-run';
	return Refusal.create(isPromise && verdict !== 'not-run' ? 'upstream-cut' : reason, `The upstream failed: ${failure.detail}.`, {verdict});
}

/**
 * @param pool - Where no upstream can take a request.
 * @param mayHaveRun - Whether an earlier try may have run it.
 * @returns The refusal for its caller.
 */
export function refuseWithoutUpstream(pool: PoolName, mayHaveRun: boolean): Refusal {
	return mayHaveRun
		? Refusal.create('upstream-cut', `The upstream failed, and no other one of pool ${pool} can take the request.`)
		: Refusal.create('no-upstream', `No upstream of pool ${pool} can take the request. It was not run.`);
}

function noteFailure({metrics, directory, log}: DispatchServices, {failure, upstream}: FailedAttempt): void {
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

/** What forbids another try; `undefined` where nothing does. */
function denialOf({gates}: DispatchServices, {failure, isRepeatable, hasBegun, tries, fruitlessCuts, pool}: FailedAttempt) {
	if (failure.verdict === 'may-have-run' && !isRepeatable) {
		return 'not-repeatable';
	}

	if (failure.reason === 'bad-answer') {
		return 'bad-answer';
	}

	if (tries >= mostTries) {
		return 'tries';
	}

	if (fruitlessCuts >= mostFruitlessCuts) {
		return 'cuts';
	}

	// An upstream that is leaving has done nothing, and a stream that has begun was paid for when it was admitted.
	if (failure.reason === 'leaving' || hasBegun) {
		return undefined;
	}

	return gates.budget(pool).withdraw() ? undefined : 'budget';
}
