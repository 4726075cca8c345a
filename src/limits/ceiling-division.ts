/**
 * Divides what there is by what is asked for.
 */

/** A part and who gets it. */
export type Part<Key> = {
	readonly key: Key;
	/** Units a second. */
	readonly rate: number;
};

/** Part of what nobody asks for that goes to each all the same, so that a new burst finds something. */
const headroom = 1.1;

/**
 * Gives everyone what it asks for as far as it goes, those that ask for least first; what is left over is
 * spread evenly.
 *
 * @param total - Units a second to divide.
 * @param demands - What each asked for.
 * @returns A part for each; their sum is `total`.
 */
export function divideByDemand<Key>(total: number, demands: ReadonlyArray<Part<Key>>): ReadonlyArray<Part<Key>> {
	const ascending = [...demands].sort((left, right) => left.rate - right.rate);
	let left = Math.max(0, total);
	const parts = ascending.map(({key, rate}, index) => {
		const part = Math.min(rate * headroom, left / (ascending.length - index));
		left -= part;
		return {key, rate: part};
	});
	const spread = left / Math.max(1, parts.length);
	return parts.map(part => ({...part, rate: part.rate + spread}));
}
