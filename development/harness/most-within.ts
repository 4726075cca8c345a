/**
 * Counts what comes in a span of time, wherever the span begins. Development only.
 */

/**
 * @param times - When each came, in milliseconds.
 * @param span - Milliseconds.
 * @returns The most that came in any such span.
 */
export function mostWithin(times: readonly number[], span: number): number {
	return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + span).length));
}
