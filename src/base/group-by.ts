/**
 * Grouping of items; Node 20 does not have `Map.groupBy` yet.
 */

/**
 * @param items - Items to group.
 * @param keyOf - Returns the key of an item's group.
 * @returns The items by group, in their original order.
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
