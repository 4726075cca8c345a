/**
 * Calls to the platform that one box at a time makes.
 */
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';

/** Who calls. */
export type DutySigner = {
	/** Name of the box. */
	readonly holder: string;
	/** Rises with each holder. */
	readonly fence: number;
};

/** What client accounts used in one window. */
export type UsageReport = {
	/** Number of the window. */
	readonly window: number;
	/** Requests by client account. */
	readonly counts: ReadonlyArray<readonly [clientAccount: string, requests: number]>;
};

/** How many replicas of one sort a data centre is to have. */
export type ReplicaOrder = {
	readonly service: string;
	readonly dataCentre: string;
	readonly count: number;
	/** Whether these are ones that may be withdrawn. */
	readonly isReclaimable: boolean;
};

/** A call that was not done, or of which nobody knows. */
export class DutyRefusal extends Data.TaggedError('DutyRefusal')<{
	/** `conflict`: a higher fence was seen, or there are no such replicas now; `unanswered`: it may be done later. */
	readonly reason: 'conflict' | 'not-done' | 'refused' | 'unanswered';
	readonly detail: string;
}> {}

/** The calls. */
export abstract class DutyCalls {
	/**
	 * @param signer - Who calls.
	 * @param report - One window.
	 * @returns Ends when the platform has taken it.
	 */
	abstract reportUsage(signer: DutySigner, report: UsageReport): Effect.Effect<void, DutyRefusal>;

	/**
	 * @param signer - Who calls.
	 * @param order - One data centre.
	 * @returns Ends when the platform has taken it.
	 */
	abstract orderReplicas(signer: DutySigner, order: ReplicaOrder): Effect.Effect<void, DutyRefusal>;
}
