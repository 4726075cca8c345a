/**
 * Helpers for Node's raw header arrays, in which names and values alternate.
 */

/**
 * @param headers - Alternating names and values.
 * @param isDropped - Called with each name in lower case; returns whether to drop the header.
 * @returns The headers that are kept.
 */
export const dropHeaders = (headers: readonly string[], isDropped: (name: string) => boolean): string[] =>
	headers.filter((_, index) => !isDropped(headers[index - (index % 2)]!.toLowerCase()));

/**
 * @param headers - Alternating names and values.
 * @returns The headers without `Content-Length`.
 */
export const withoutContentLength = (headers: readonly string[]): readonly string[] => dropHeaders(headers, name => name === 'content-length');
