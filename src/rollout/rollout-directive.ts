/**
 * What a box has to know of a rollout to serve requests.
 */
import type {RolloutOrder, StoredRollout} from './rollout-order.js';
import {progressOf, type RolloutPhase} from './rollout-progress.js';

/** What a box follows: the progress without the permits and the evidence. */
export type RolloutDirective = RolloutOrder & {
	/** `ordered` before the first progress is recorded. */
	readonly phase: RolloutPhase | 'ordered';
	readonly step: number;
	readonly share: number;
	readonly spread: number;
	readonly routes: readonly string[];
	readonly replaced: readonly string[];
};

/** How many requests one process may send to the target version in a step. */
export type StepPermits = {
	readonly service: string;
	readonly step: number;
	readonly count: number;
};

/**
 * @param rollout - A rollout as stored.
 * @returns What boxes follow.
 */
export function directiveOf(rollout: StoredRollout): RolloutDirective {
	const {order} = rollout;
	const progress = progressOf(rollout);
	if (!progress) {
		return {
			...order, phase: 'ordered', step: 0, share: 0, spread: 0, routes: [], replaced: [],
		};
	}

	const {phase, step, share, spread, routes, replaced} = progress;
	return {
		...order, phase, step, share, spread, routes, replaced,
	};
}

/**
 * @param rollout - A rollout as stored.
 * @returns The permits of its step, by process; none outside a trial.
 */
export function grantsOf(rollout: StoredRollout): ReadonlyMap<string, StepPermits> {
	const progress = progressOf(rollout);
	const {service} = rollout.order;
	return new Map(progress?.phase === 'trial' ? progress.permits.map(([process, count]) => [process, {service, step: progress.step, count}]) : []);
}

/**
 * @param directive - A directive.
 * @returns Whether the rollout has not ended.
 */
export function isActive({phase}: Pick<RolloutDirective, 'phase'>): boolean {
	return phase !== 'complete' && phase !== 'reverted';
}
