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
	/** Coefficient of variation of the own tokens, which are log-normal, and their maximum; exponential without a maximum if absent. */
	readonly variation?: number;
	readonly maxTokens?: number;
	/** Mean milliseconds of work of a plain call, which occupies a slot and reads no prompt; absent for a generation. */
	readonly work?: number;
	/** Number of groups of requests that share a part. */
	readonly groups: number;
	/** Mean milliseconds from the first event of the answer to the last one. */
	readonly generation: number;
	/** Value of an answer that begins within the goal, and of a later one. */
	readonly worth: number;
	readonly lateWorth: number;
};

/** Phases in which the work of a replica takes longer. */
export type SlowPhases = {
	/** Fraction of the time. */
	readonly part: number;
	/** Factor by which work takes longer. */
	readonly factor: number;
	/** Mean milliseconds of a phase. */
	readonly length: number;
};

/** A load, and the replicas that serve it. */
export type LoadPattern = {
	readonly kinds: readonly RequestKind[];
	readonly replicas: number;
	/** Requests that a replica runs at once; more wait in order of arrival. */
	readonly slots: number;
	/** Prompt tokens that a replica reads in a millisecond. */
	readonly readRate: number;
	/** Milliseconds for a million pairs of tokens of one prompt, in addition to its reading. */
	readonly pairCost?: number;
	/** Milliseconds until a replica without other work sends the first event of a prompt that it has read. */
	readonly firstEvent: number;
	/** Phases in which the machine of a replica is slow because it is shared; absent if it is not. */
	readonly slowPhases?: SlowPhases;
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

/** Few very long prompts beside many short queries, at replicas that share their machines; a tenth of the long prompts have half of the tokens. */
export const unevenKinds: readonly RequestKind[] = [
	{
		name: 'long', urgency: 1, rate: 125, goal: 1500, deadline: 15_000, ownTokens: 6610, variation: 1.4, maxTokens: 54_600, sharedTokens: 5382, groups: 1255,
		generation: 1400, worth: 5, lateWorth: 0.5,
	},
	{
		name: 'short', urgency: 0, rate: 263, goal: 800, deadline: 3000, ownTokens: 1800, variation: 1.3, maxTokens: 6870, sharedTokens: 568, groups: 1767,
		generation: 60, worth: 1.6, lateWorth: 0.16,
	},
];

const sharedMachines: SlowPhases = {part: 0.15, factor: 2.5, length: 600};

/**
 * @param replicas - Number of replicas; some 40 serve the load with all reading time used.
 * @returns The uneven load on that many replicas.
 */
export const unevenLoad = (replicas: number): LoadPattern => ({
	kinds: unevenKinds, replicas, slots: 64, readRate: 48.2, pairCost: 0.248, firstEvent: 14, slowPhases: sharedMachines, seconds: 25,
});

/**
 * @param rate - Calls a second; 350 use all slots.
 * @returns Plain calls at five replicas of six slots that share their machines.
 */
export const plainLoad = (rate: number): LoadPattern => ({
	kinds: [{
		name: 'call', urgency: 2, rate, goal: 300, deadline: 3000, ownTokens: 0, sharedTokens: 0, groups: 1, generation: 0, work: 60, variation: 0.5, worth: 1, lateWorth: 0.1,
	}],
	replicas: 5, slots: 6, readRate: 48.2, firstEvent: 0, slowPhases: sharedMachines, seconds: 25,
});
