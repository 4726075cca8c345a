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

/** How a box learnt a statement. What came in a digest is not forwarded: each hop would reset its age. */
export type StatementSource = 'answer' | 'box' | 'digest';

export const statementKinds = ['limit', 'leaving', 'pause'] as const;

/** One statement of a replica, as boxes tell it to each other. */
export type ToldStatement = {
	/** Names the start of the replica. */
	readonly start: string;
	readonly kind: typeof statementKinds[number];
	/**
	 * Requests a second for a limit, `undefined` where the replica names none any more; milliseconds for a pause, which it asked the sender for; `undefined` for
	 * a replica that leaves.
	 */
	readonly value: number | undefined;
	/** Milliseconds since the replica said so. */
	readonly age: number;
};

/**
 * Milliseconds for which a large fleet is told of a new statement, or of a replica that leaves, with each message: some rounds. Boxes that miss them learn it
 * from whole states and from the list; where a whole data centre leaves, each message would carry it for long.
 */
export const newsTime = 2500;

/** Statements of one kind in one message at most; which of more are told changes from one to the next. */
export const mostStatementsTold = {small: 64, large: 12} as const;

/** A statement that says nothing. */
export const noStatement: ReplicaStatement = {limit: undefined, isLeaving: false, pause: undefined};
