/**
 * Statements of a replica about itself in the headers of a response.
 */

/** The statements of one response; `unreadable` if a value is invalid. */
export type ReplicaStatement = {
	/** Requests a second that the replica accepts from all boxes together, until a response names no limit; `undefined` if it names none. */
	readonly limit: number | 'unreadable' | undefined;
	/** Rejections a second, for lack of room, above which the replica crashes; `undefined` if it does not say so. */
	readonly brittle: number | 'unreadable' | undefined;
	/** Whether the replica is about to terminate and accepts no new requests. */
	readonly isLeaving: boolean | 'unreadable';
	/** Milliseconds for which the replica asks this box to send no requests; `undefined` if it asks for no pause. */
	readonly pause: number | 'unreadable' | undefined;
};

/**
 * How a box received a statement: in a response of the replica, from another box, in the digest of an aggregator, or from the store.
 * Those of a digest are not forwarded, since each hop would reset their age.
 */
export type StatementSource = 'answer' | 'box' | 'digest' | 'store';

/** One statement of a replica, as boxes send it to each other. */
export type StatementUpdate = {
	/** Incarnation of the replica. */
	readonly start: string;
	readonly kind: 'limit' | 'leaving' | 'pause' | 'brittle';
	/**
	 * For a limit, requests a second, or `undefined` if the replica no longer names one; for a pause, milliseconds, for which the replica asked the sender;
	 * for a leaving replica, `undefined`; for a brittle one, rejections a second, or `undefined` if it no longer is.
	 */
	readonly value: number | undefined;
	/** Milliseconds since the replica made the statement. */
	readonly age: number;
};

/**
 * Milliseconds for which a new statement or departure is included in each message of a large fleet; spans several gossip rounds. Boxes that miss it
 * receive it with a full state or the list. The bound keeps messages small after a whole data centre has left.
 */
export const recentWindow = 2500;

/** Maximum statements of one kind in one message, by fleet size; if there are more, successive messages rotate through them. */
export const maxStatementsPerMessage = {small: 64, large: 12} as const;

/** The statement of a response without such headers. */
export const emptyStatement: ReplicaStatement = {
	limit: undefined, brittle: undefined, isLeaving: false, pause: undefined,
};
