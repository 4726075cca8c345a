/**
 * Counts equal items.
 */

/**
 * @param items - Items, compared as keys of a map.
 * @returns How often each occurs, in the order of their first occurrence.
 */
export function countOccurrences<Item>(items: readonly Item[]): ReadonlyMap<Item, number> {
	const counts = new Map<Item, number>();
	for (const item of items) {
		counts.set(item, (counts.get(item) ?? 0) + 1);
	}

	return counts;
}
