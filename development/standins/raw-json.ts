/**
 * Content that a stand-in sends as the given text: JSON that `JSON.stringify` cannot write, such as values nested very deeply. Development only.
 */

let created = 0;

/** JSON text in the place of a value. */
export class RawJson {
	/**
	 * @param text - JSON.
	 * @returns A value that {@link stringifyRaw} writes as this text.
	 */
	static create(text: string): RawJson {
		created++;
		return new RawJson(`raw-json-${created}`, text);
	}

	private constructor(readonly placeholder: string, readonly text: string) {}

	/** @returns The text by which `JSON.stringify` represents it. */
	toJSON(): string {
		all.set(this.placeholder, this.text);
		return this.placeholder;
	}
}

/** Texts by placeholder. */
const all = new Map<string, string>();

/**
 * @param value - A value that may contain {@link RawJson}.
 * @returns Its JSON.
 */
export const stringifyRaw = (value: unknown): string => JSON.stringify(value).replaceAll(/"(?<placeholder>raw-json-\d+)"/gv, (quoted, placeholder: string) => all.get(placeholder) ?? quoted);
