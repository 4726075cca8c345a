/**
 * Splits a list over several messages if it does not fit into one.
 */

/**
 * @param items - All items.
 * @param maxItems - Maximum number of items in one message.
 * @param turn - Number of the message, which increases by one with each, so that every item is sent in turn.
 * @returns The items of this message.
 */
export function rotatingSlice<Item>(items: readonly Item[], maxItems: number, turn: number): readonly Item[] {
	const first = items.length <= maxItems ? 0 : (turn * maxItems) % items.length;
	return [...items, ...items].slice(first, first + Math.min(maxItems, items.length));
}
