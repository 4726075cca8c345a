/**
 * Headers of an answer, as names and values in turn.
 */

/**
 * @param headers - Names and values in turn.
 * @returns The same without the length of the body.
 */
export const withoutLength = (headers: readonly string[]): readonly string[] =>
	headers.filter((_, index) => headers[index - (index % 2)]!.toLowerCase() !== 'content-length');
