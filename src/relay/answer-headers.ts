/**
 * Headers as Node gives them raw: names and values in turn.
 */

/**
 * @param headers - Names and values in turn.
 * @param isDropped - Told a name in lower case.
 * @returns The same without the pairs whose name is to be dropped.
 */
export const dropPairs = (headers: readonly string[], isDropped: (name: string) => boolean): string[] =>
	headers.filter((_, index) => !isDropped(headers[index - (index % 2)]!.toLowerCase()));

/**
 * @param headers - Names and values in turn.
 * @returns The same without the length of the body.
 */
export const withoutLength = (headers: readonly string[]): readonly string[] => dropPairs(headers, name => name === 'content-length');
