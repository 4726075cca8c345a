/**
 * Finds the maximum number of events in a sliding window. Development only.
 */

/**
 * @param times - Time of each event, in milliseconds.
 * @param span - Length of the window in milliseconds.
 * @returns The maximum number of events in any window of that length.
 */
export function maxWithin(times: readonly number[], span: number): number {
	return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + span).length));
}
