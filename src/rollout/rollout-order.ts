/**
 * An operator's order to move a service to another software version, and its state in the store.
 */

/** An operator's order. */
export type RolloutOrder = {
	readonly service: string;
	/** Software version that the service is to run. */
	readonly target: string;
	/** Milliseconds within which the rollout is to be complete or reverted. */
	readonly duration: number;
};

/** State of a rollout as operators see it. */
export type RolloutState = 'active' | 'complete' | 'reverted';

/** What the boxes recorded of a rollout. */
export type RolloutStatus = {
	readonly state: RolloutState;
	/** Target of the order that this belongs to; another one than the order's if an operator has ordered anew. */
	readonly target: string;
	/** See `RolloutProgress`; not decoded yet. */
	readonly progress: unknown;
};

/** A rollout as the store has it. */
export type StoredRollout = {
	/** Name of the object. */
	readonly name: string;
	/** Position of its last change. */
	readonly revision: number;
	readonly order: RolloutOrder;
	/** `undefined` before the first. */
	readonly status: RolloutStatus | undefined;
};

/**
 * @param left - An order.
 * @param right - An order of the same service.
 * @returns Whether they are the same. A changed duration is a new order: the operator wants the version to be tried again.
 */
export function isSameOrder(left: Omit<RolloutOrder, 'service'>, right: Omit<RolloutOrder, 'service'>): boolean {
	return left.target === right.target && left.duration === right.duration;
}
