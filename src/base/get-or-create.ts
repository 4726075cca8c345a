/**
 * Creates entries of a map on first use.
 */

/**
 * @param map - The map, to which a missing entry is added.
 * @param key - Key of the entry.
 * @param create - Creates a missing entry.
 * @returns The entry.
 */
export function getOrCreate<Key, Entry>(map: Map<Key, Entry>, key: Key, create: () => Entry): Entry {
	const existing = map.get(key);
	if (existing !== undefined) {
		return existing;
	}

	const created = create();
	map.set(key, created);
	return created;
}
