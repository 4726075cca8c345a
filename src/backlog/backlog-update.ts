/**
 * What a box tells the others of the work at replicas, between two rounds of the exchange.
 */

/** News of one replica. */
export type BacklogUpdate = {
	/** ID of the replica. */
	readonly replica: string;
	/** Milliseconds of reading that were added, or taken off if negative. */
	readonly change: number;
	/** Whether they were added by prompts that were sent; otherwise the expectation was corrected. */
	readonly isPrompt: boolean;
	/** Factor by which its work takes longer, as it states now; `undefined` if that has not changed. */
	readonly pace: number | undefined;
};
