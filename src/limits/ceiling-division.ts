/**
 * Divides a rate among boxes by their demand.
 */

/** A part of the rate, or a demand, and its recipient. */
export type Part<Key> = {
	readonly key: Key;
	/** Units a second. */
	readonly rate: number;
};

/** Factor on each demand, so that a new burst finds spare capacity. */
const headroom = 1.1;

/**
 * Max-min fair division: satisfies demands in ascending order as far as the total permits; the remainder is spread evenly.
 *
 * @param total - Units a second to divide.
 * @param demands - Demand of each recipient.
 * @returns A part for each recipient; their sum is `total`.
 */
export function divideByDemand<Key>(total: number, demands: ReadonlyArray<Part<Key>>): ReadonlyArray<Part<Key>> {
	const ascending = [...demands].sort((left, right) => left.rate - right.rate);
	let remaining = Math.max(0, total);
	const parts = ascending.map(({key, rate}, index) => {
		const part = Math.min(rate * headroom, remaining / (ascending.length - index));
		remaining -= part;
		return {key, rate: part};
	});
	const spread = remaining / Math.max(1, parts.length);
	return parts.map(part => ({...part, rate: part.rate + spread}));
}
