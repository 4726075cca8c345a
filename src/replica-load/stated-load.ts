/**
 * The load that a replica states in its responses.
 *
 * @remarks
 * `LoadReport` of src/upstream is another type on purpose: it has no slots and no pace, and it contains an announcement that here is part of a
 * `ReplicaStatement`, with rules of its own for age and exchange. A common type would consist of optional fields.
 */

/** The load of a replica, as it states it. */
export type StatedLoad = {
	/** Number of running requests. */
	readonly running: number;
	/** Number of waiting requests. */
	readonly waiting: number;
	/** Number of requests that can run at a time. */
	readonly slots: number;
	/** Current duration of work in relation to the usual duration, which is 1; `undefined` if the replica does not state it. */
	readonly pace: number | undefined;
};

/** Load of a replica of which only the pace is known. */
export const unknownLoad: StatedLoad = {
	running: 0, waiting: 0, slots: 0, pace: undefined,
};

/** Pace of a replica that works as usual. */
export const usualPace = 1;
/** Requests or slots above which a figure is invalid. */
const maxRequests = 1_000_000;
/** Pace above which a figure is invalid: ten times the largest pace that is used. */
const maxStatedPace = 100;
/** Range of the paces that are used, so that an outlier does not dominate a mean. */
const paceRange = {least: 0.2, most: 10} as const;

/**
 * @param load - A load from an untrusted source.
 * @returns Whether all its figures are possible ones.
 */
export function isPlausibleLoad({running, waiting, slots, pace}: StatedLoad): boolean {
	return [running, waiting, slots].every(count => count >= 0 && count <= maxRequests) && (pace === undefined || (pace > 0 && pace <= maxStatedPace));
}

/**
 * @param pace - A pace, as stated.
 * @returns The pace, limited to the range that is used.
 */
export function limitPace(pace: number): number {
	return Math.min(paceRange.most, Math.max(paceRange.least, pace));
}

/**
 * @param one - A load.
 * @param other - Another load.
 * @returns Whether all their figures are equal.
 */
export function isSameLoad(one: StatedLoad, other: StatedLoad): boolean {
	return one.running === other.running && one.waiting === other.waiting && one.slots === other.slots && one.pace === other.pace;
}
