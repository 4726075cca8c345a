/**
 * Percentiles of measurements.
 */

/**
 * @param values - Measurements.
 * @param part - From 0 to 1.
 * @returns The value below which that part lies; not a number where there are none.
 */
export function percentile(values: readonly number[], part: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? Number.NaN;
}
