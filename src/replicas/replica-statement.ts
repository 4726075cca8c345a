/**
 * What a replica says of itself in the head of an answer.
 */

/** What one answer says; `unreadable` where a value makes no sense. */
export type ReplicaStatement = {
	/** Requests a second that the replica takes of all boxes together, for as long as its answers say so; `undefined` where it names no limit. */
	readonly limit: number | 'unreadable' | undefined;
	/** Whether it is about to end and wants no new work. */
	readonly isLeaving: boolean | 'unreadable';
	/** Milliseconds for which it wants no requests from this box; `undefined` where it does not say. */
	readonly pause: number | 'unreadable' | undefined;
};

/** A statement that says nothing. */
export const noStatement: ReplicaStatement = {limit: undefined, isLeaving: false, pause: undefined};
