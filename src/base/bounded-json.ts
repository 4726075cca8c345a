/**
 * Parses JSON from outside with a bound on its depth. `JSON.parse` accepts any depth, but whatever walks the value afterwards by recursion, such as
 * `JSON.stringify` or a decoder, overflows the stack.
 */

/** Maximum depth of arrays and objects inside each other; far more than any format of the system has. */
export const maxJsonDepth = 64;
/** Matches each JSON with a number that JavaScript reads as infinity, which JSON cannot represent. */
const largeNumber = /(?<!\d)\d{200}|e\+?\d{3}/iv;
/** Prefix of the text that replaces a number that is too large: a lone surrogate, which is invalid also in a software version, where a text may stand for a number. */
const invalidTextPrefix = '\uD800';

/**
 * @param text - JSON.
 * @returns The value, with `null` in the place of each array or object that is nested deeper than {@link maxJsonDepth}. So a field that is not read does not
 * spoil the rest, and one that is read is still of the wrong type. In the place of a number that is too large stands a text: written as JSON again, it
 * would become `null`, which stands for an absent field.
 * @throws {SyntaxError} If the text is not JSON.
 */
export function parseBoundedJson(text: string): unknown {
	const root = {value: JSON.parse(text) as unknown};
	replaceExcess(root, text);
	return root.value;
}

/**
 * For input that is passed on or stored, which must not differ from what its sender wrote.
 *
 * @param text - JSON.
 * @returns The value.
 * @throws {SyntaxError} If the text is not JSON.
 * @throws {RangeError} If it is nested deeper than {@link maxJsonDepth} or contains a number that is too large.
 */
export function parseStrictJson(text: string): unknown {
	const root = {value: JSON.parse(text) as unknown};
	if (replaceExcess(root, text) > 0) {
		throw new RangeError(`is nested deeper than ${maxJsonDepth} levels or contains a number that is too large`);
	}

	return root.value;
}

/**
 * Does not walk the rest of the value once the limit is exceeded.
 *
 * @param value - A value of any size and depth.
 * @param maxLength - Maximum length of its JSON in characters, without escapes.
 * @returns Whether its JSON is longer.
 */
export function isLongerThan(value: unknown, maxLength: number): boolean {
	const open = [value];
	let length = 0;
	while (open.length > 0 && length <= maxLength) {
		const next = open.pop();
		length += ownLength(next);
		if (isContainer(next) && length <= maxLength) {
			open.push(...Object.values(next));
		}
	}

	return length > maxLength;
}

type Container = Record<string, unknown>;

const isContainer = (value: unknown): value is Container => typeof value === 'object' && value !== null;
const isTooLarge = (value: unknown): boolean => value === Number.POSITIVE_INFINITY || value === Number.NEGATIVE_INFINITY;

/** @returns Length of the JSON of a value in characters, without what is inside its values; at least one for each of them. */
function ownLength(value: unknown): number {
	if (Array.isArray(value)) {
		return 2 + value.length;
	}

	if (isContainer(value)) {
		return Object.keys(value).reduce((length, key) => length + key.length + '"":,'.length, 2);
	}

	return typeof value === 'string' ? value.length + 2 : String(value).length;
}

/** @returns Number of values that were replaced inside `root`, which does not count as a level. */
function replaceExcess(root: Container, text: string): number {
	const isSearched = largeNumber.test(text);
	let replaced = 0;
	let level = [root];
	for (let depth = 0; level.length > 0; depth++) {
		const isDeepest = depth === maxJsonDepth;
		if (isSearched || isDeepest) {
			for (const container of level) {
				replaced += replaceIn(container, value => isDeepest && isContainer(value), () => null);
				replaced += replaceIn(container, isTooLarge, value => `${invalidTextPrefix}${String(value)}`);
			}
		}

		level = isDeepest ? [] : level.flatMap(container => Object.values(container).filter(value => isContainer(value)));
	}

	return replaced;
}

function replaceIn(container: Container, isExcess: (value: unknown) => boolean, replacementOf: (value: unknown) => unknown): number {
	const excess = Object.entries(container).filter(([, value]) => isExcess(value));
	for (const [key, value] of excess) {
		container[key] = replacementOf(value);
	}

	return excess.length;
}
