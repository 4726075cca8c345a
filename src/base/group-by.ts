/**
 * Grouping, which Node 20 does not bring yet.
 */

/**
 * @param items - What to group.
 * @param keyOf - Names the group of an item.
 * @returns The items by group, in their order.
 */
export function groupBy<Key, Item>(items: readonly Item[], keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key);
		if (group) {
			group.push(item);
		} else {
			groups.set(key, [item]);
		}
	}

	return groups;
}
