/**
 * Splits a list over several messages if it does not fit into one.
 */

/**
 * @param items - All items.
 * @param most - Maximum number of items in one message.
 * @param turn - Number of the message, which increases by one with each, so that every item is sent in turn.
 * @returns The items of this message.
 */
export function rotated<Item>(items: readonly Item[], most: number, turn: number): readonly Item[] {
	const first = items.length <= most ? 0 : (turn * most) % items.length;
	return [...items, ...items].slice(first, first + Math.min(most, items.length));
}
