/**
 * The middle of many values, which a few that are far off do not move.
 */

/**
 * @param values - Values in any order.
 * @returns The middle one, the greater of two; zero where there is none.
 */
export function medianOf(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
