/**
 * Lists of which only a part fits into one message.
 */

/**
 * @param items - What there is.
 * @param most - How many fit at most.
 * @param turn - Rises by one from message to message, so that each item gets its turn.
 * @returns Those that go with this message.
 */
export function rotated<Item>(items: readonly Item[], most: number, turn: number): readonly Item[] {
	const first = items.length <= most ? 0 : (turn * most) % items.length;
	return [...items, ...items].slice(first, first + Math.min(most, items.length));
}
