/**
 * Progress of a rollout, recorded in the status of its order, so that the next owner goes on from it. Each write is conditional on the revision
 * of the object, so that a former owner, or one that does not know a newer order, changes nothing.
 */
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import {isSameOrder, type RolloutState, type StoredRollout} from './rollout-order.js';

/** A number of at least zero. */
export const Amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0));

/** Phase of a rollout: `trial` with single requests, `shift` of the traffic by parts, then one of the final phases. */
export const RolloutPhase = Schema.Literals(['trial', 'shift', 'complete', 'reverted']);

const RolloutProgressLayout = Schema.Struct({
	target: Schema.String,
	duration: Amount,
	phase: RolloutPhase,
	/** Number of the last change of permits or share; increases. */
	step: Amount,
	/** Common time at which the order was first seen, in milliseconds since the epoch. */
	startedAt: Schema.Finite,
	/** Part of the requests that go to the target version during a shift, 0 to 1. */
	share: Schema.Finite,
	/** Processes that may send requests to the target version during a trial, and how many each. */
	permits: Schema.Array(Schema.Tuple([Schema.String, Amount])),
	/** Number of replicas of the target version among which these requests are divided. */
	spread: Amount,
	/** Names of the routes whose requests may use the permits; empty for all. */
	routes: Schema.Array(Schema.String),
	/** Requests that earlier steps may have sent to the target version. */
	spent: Amount,
	/** By route: good and bad answers of the target version, and the suspicion that it is bad. */
	tallies: Schema.Array(Schema.Tuple([Schema.String, Amount, Amount, Schema.Finite])),
	/** Versions that the target replaces. */
	replaced: Schema.Array(Schema.String),
	/** All processes that could be reached at the last write, for a new owner; absent or empty if the owner did not know them all. */
	processes: Schema.optionalKey(Schema.Array(Schema.String)),
	/** Requests to the service since the order, as far as they were reported; absent in records of earlier releases. */
	arrivals: Schema.optionalKey(Amount),
	/** Why the last step was taken. */
	reason: Schema.String,
});

export type RolloutPhase = typeof RolloutPhase.Type;
/** Progress of a rollout. */
export type RolloutProgress = typeof RolloutProgressLayout.Type;

const decodeProgress = createDecoder(RolloutProgressLayout, 'ignore');

/**
 * @param rollout - A rollout as stored.
 * @returns Its progress; `undefined` if there is none, or if it belongs to an earlier order. Unreadable progress of a rollout that has ended
 * keeps its state.
 */
export function progressOf({order, status}: StoredRollout): RolloutProgress | undefined {
	if (status?.target !== order.target) {
		return undefined;
	}

	const decoded = decodeProgress(status.progress);
	if (Result.isSuccess(decoded)) {
		return isSameOrder(decoded.success, order) ? decoded.success : undefined;
	}

	return status.state === 'active' ? undefined : {...firstProgress(order, 0), phase: status.state, reason: 'recorded by another program'};
}

/**
 * @param order - An order.
 * @param now - Common time in milliseconds since the epoch.
 * @returns The progress before the first request to its target version.
 */
export function firstProgress({target, duration}: Pick<RolloutProgress, 'target' | 'duration'>, now: number): RolloutProgress {
	return {
		target, duration, phase: 'trial', step: 0, startedAt: now, share: 0, permits: [], spread: 0, routes: [], spent: 0, tallies: [], replaced: [], reason: 'ordered',
	};
}

/**
 * @param progress - Progress of a rollout.
 * @returns Its state as operators see it.
 */
export function stateOf({phase}: Pick<RolloutProgress, 'phase'>): RolloutState {
	return phase === 'complete' || phase === 'reverted' ? phase : 'active';
}
