/**
 * Percentiles of measurements.
 */

/**
 * @param values - Measurements, in any order.
 * @param part - Percentile as a fraction from 0 to 1.
 * @returns The value below which that fraction of the measurements lies; `NaN` if there are none.
 */
export function percentile(values: readonly number[], part: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? Number.NaN;
}
