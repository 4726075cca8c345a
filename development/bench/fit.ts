/**
 * Fits straight lines to measurements.
 */

/** A measurement: `y` at size `x`. */
export type Point = {readonly x: number; readonly y: number};

/** A straight line and its largest deviation from the measurements. */
export type Line = {
	readonly slope: number;
	readonly intercept: number;
	/** Largest absolute difference in `y` between a measurement and the line. */
	readonly residual: number;
};

const mean = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
};

/**
 * @param points - At least two measurements with different `x`.
 * @returns The least-squares line.
 */
export function fitLine(points: readonly Point[]): Line {
	const meanX = mean(points.map(({x}) => x));
	const meanY = mean(points.map(({y}) => y));
	const slope = mean(points.map(({x, y}) => (x - meanX) * (y - meanY))) / mean(points.map(({x}) => (x - meanX) ** 2));
	const intercept = meanY - (slope * meanX);
	const residual = Math.max(...points.map(({x, y}) => Math.abs(y - (intercept + (slope * x)))));
	return {slope, intercept, residual};
}
