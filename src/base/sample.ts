/**
 * Random samples.
 */

/**
 * @param items - Items to draw from.
 * @param count - Maximum number of items to draw.
 * @returns Different items in random order.
 */
export function sampleOf<Item>(items: readonly Item[], count: number): readonly Item[] {
	return items
		.map(item => ({item, key: Math.random()}))
		.sort((left, right) => left.key - right.key)
		.slice(0, count)
		.map(({item}) => item);
}
