/**
 * The requests, inputs and results of the queue in the box.
 */

/** The expected cost of a request, as far as the queue uses it. */
export type ExpectedCost = {
	/** Milliseconds until its first event at an idle replica. */
	readonly reading: number;
};

/** A request that is to be placed at a replica. */
export type WaitingRequest = {
	readonly service: string;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** The least urgency number among the routes of the service; requests of this urgency are refused last. */
	readonly leastUrgency: number;
	/** Name of the client account; `undefined` if there is none. */
	readonly clientAccount: string | undefined;
	/** Monotonic milliseconds at which the box received it. */
	readonly arrivedAt: number;
	/** Monotonic milliseconds at which its response should begin. */
	readonly goalAt: number;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
	readonly cost: ExpectedCost;
	/** Bytes of its body, which the box holds while it waits. */
	readonly bodyBytes: number;
	/** Whether it has been sent to a replica before, so that it may have run. */
	readonly wasSent: boolean;
	/**
	 * Recognizes a client that returns after a refusal: the client account with the idempotency key, or else with a hash of the route and
	 * the content. `undefined` if it cannot be recognized.
	 */
	readonly returnKey: string | undefined;
};

/** The position of a client account in a shortage, as all boxes compute it. */
export type AccountShare = {
	/** Part of its requests that is admitted, from 0 to 1; less than 1 only in a shortage. */
	readonly fraction: number;
	/** Work that it was given divided by its weight; in a shortage, the account with the least goes first. */
	readonly virtualTime: number;
};

/** The room at the replicas that may serve a request. */
export type Room = {
	/** Least remaining work of such a replica in milliseconds; infinite if there is no replica. */
	readonly leastWork: number;
	/** Age of that knowledge in milliseconds. */
	readonly age: number;
	/** Milliseconds of work a second for which room appears for this box; zero if none does. */
	readonly rate: number;
	/** The share of the client account; `undefined` if accounts do not share by weight. */
	readonly share: AccountShare | undefined;
};

/** Why the queue refused a request. */
export type QueueRefusalReason =
	/** The expected wait exceeds the time to its goal. */
	| 'goal-out-of-reach'
	/** The expected wait exceeds the time to its deadline. */
	| 'deadline-out-of-reach'
	/** The queue is at its bounds. */
	| 'queue-full'
	/** An operator drained the service. */
	| 'drained'
	/** The box stops. */
	| 'box-stopping';

/** A refusal. The request was not sent by this decision; whether it was sent before is known to the caller. */
export type QueueRefusal = {
	readonly kind: 'refuse';
	readonly reason: QueueRefusalReason;
	/** Milliseconds after which the client may return. */
	readonly retryDelay: number;
};

/** The next step of a request. */
export type QueueDecision =
	/** Send it to the replica with the least remaining work. Its ticket no longer waits. */
	| {readonly kind: 'place'}
	/** Decide again after `wait` milliseconds. */
	| {readonly kind: 'wait'; readonly wait: number}
	| QueueRefusal;
