/**
 * Bounds the size of maps.
 */

/**
 * Removes the entries that were inserted first, as far as the map exceeds its bound.
 *
 * @param map - The map; an entry that is to count as new has to be deleted and inserted again.
 * @param maxSize - Maximum number of entries.
 */
export function evictOldest<Key>(map: Map<Key, unknown>, maxSize: number): void {
	const keys = map.keys();
	while (map.size > maxSize) {
		map.delete(keys.next().value!);
	}
}
