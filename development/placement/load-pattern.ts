/**
 * Load patterns that the placement rig replays: kinds of requests, and how many replicas of which speed serve them.
 */

/** A kind of request. */
export type RequestKind = {
	readonly name: string;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Requests a second. */
	readonly rate: number;
	/** Milliseconds within which the answer should begin, and after which it is worth nothing. */
	readonly goal: number;
	readonly deadline: number;
	/** Mean prompt tokens that no other request shares, and tokens of the part that requests of one group share. */
	readonly ownTokens: number;
	readonly sharedTokens: number;
	/** Number of groups of requests that share a part. */
	readonly groups: number;
	/** Mean milliseconds from the first event of the answer to the last one. */
	readonly generation: number;
	/** Value of an answer that begins within the goal, and of a later one. */
	readonly worth: number;
	readonly lateWorth: number;
};

/** A load, and the replicas that serve it. */
export type LoadPattern = {
	readonly kinds: readonly RequestKind[];
	readonly replicas: number;
	/** Requests that a replica runs at once; more wait in order of arrival. */
	readonly slots: number;
	/** Prompt tokens that a replica reads in a millisecond. */
	readonly readRate: number;
	/** Milliseconds until a replica without other work sends the first event of a prompt that it has read. */
	readonly firstEvent: number;
	/** Seconds of load. */
	readonly seconds: number;
};

/** Long prompts, interactive questions and short classifications at one pool of replicas. */
export const mixedKinds: readonly RequestKind[] = [
	{
		name: 'draft', urgency: 1, rate: 52, goal: 1000, deadline: 12_000, ownTokens: 6600, sharedTokens: 5400, groups: 700, generation: 1500, worth: 3.9, lateWorth: 0.39,
	},
	{
		name: 'question', urgency: 0, rate: 54, goal: 600, deadline: 10_000, ownTokens: 630, sharedTokens: 200, groups: 740, generation: 1200, worth: 2.4, lateWorth: 0.24,
	},
	{
		name: 'label', urgency: 2, rate: 100, goal: 600, deadline: 3000, ownTokens: 1800, sharedTokens: 570, groups: 900, generation: 90, worth: 0.33, lateWorth: 0.033,
	},
];

/**
 * @param replicas - Number of replicas; 17 serve the load with all slots and all reading time used.
 * @returns The mixed load on that many replicas.
 */
export const mixedLoad = (replicas: number): LoadPattern => ({
	kinds: mixedKinds, replicas, slots: 12, readRate: 68, firstEvent: 36, seconds: 25,
});
