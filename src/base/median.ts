/**
 * The median, which a few outliers do not change much.
 */

/**
 * @param values - Values in any order.
 * @returns The median, or the greater of the two middle values; zero for an empty list.
 */
export function medianOf(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
