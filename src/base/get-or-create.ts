/**
 * Entries of a map that are made when they are first asked for.
 */

/**
 * @param map - The map; the entry is added where it is missing.
 * @param key - Key of the entry.
 * @param create - Makes the entry.
 * @returns The entry.
 */
export function getOrCreate<Key, Entry>(map: Map<Key, Entry>, key: Key, create: () => Entry): Entry {
	const known = map.get(key);
	if (known !== undefined) {
		return known;
	}

	const created = create();
	map.set(key, created);
	return created;
}
