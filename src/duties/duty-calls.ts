/**
 * Calls to the platform that only the box holding the duties makes.
 */
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';

/** Identifies the calling box. */
export type DutySigner = {
	/** Name of the box. */
	readonly holder: string;
	/** Fencing token; increases with each holder. */
	readonly fence: number;
};

/** Requests of all client accounts in one time window. */
export type UsageReport = {
	/** Number of the window. */
	readonly window: number;
	/** Requests by client account. */
	readonly counts: ReadonlyArray<readonly [clientAccount: string, requests: number]>;
};

/** Desired number of replicas of one kind in a data centre. */
export type ReplicaOrder = {
	readonly service: string;
	readonly dataCentre: string;
	readonly count: number;
	/** Whether the platform may reclaim these replicas. */
	readonly isReclaimable: boolean;
};

/** A call that failed or whose result is unknown. */
export class DutyRefusal extends Data.TaggedError('DutyRefusal')<{
	/**
	 * `conflict`: the platform has seen a higher fence, or has no such replicas available; `unanswered`: the platform
	 * may still execute the call.
	 */
	readonly reason: 'conflict' | 'not-done' | 'refused' | 'unanswered';
	readonly detail: string;
}> {}

/** Calls to the platform, signed by the holder of the duties. */
export abstract class DutyCalls {
	/**
	 * @param signer - The calling box.
	 * @param report - Usage of one window.
	 * @returns Completes when the platform has accepted the report.
	 */
	abstract reportUsage(signer: DutySigner, report: UsageReport): Effect.Effect<void, DutyRefusal>;

	/**
	 * @param signer - The calling box.
	 * @param order - Desired replicas of one data centre.
	 * @returns Completes when the platform has accepted the order.
	 */
	abstract orderReplicas(signer: DutySigner, order: ReplicaOrder): Effect.Effect<void, DutyRefusal>;
}
