/**
 * Validates the headers of a received HTTP message. Some versions of Node's parser accept names with blanks, but Node throws when they are sent on.
 *
 * @remarks Source: RFC 9110, section 5, "Fields".
 */

const token = /^[\w\u0026!#$%'*+.^`\|~\-]+$/v;
const invalidCharacter = /[^\t\u0020-\u007E\u0080-\u00FF]/v;

/**
 * @param rawHeaders - Alternating names and values.
 * @returns Why one of them is invalid; `undefined` if all are valid.
 */
export function headerFaultOf(rawHeaders: readonly string[]): string | undefined {
	const fault = rawHeaders.findIndex((text, index) => index % 2 === 0 ? !token.test(text) : invalidCharacter.test(text));
	if (fault === -1) {
		return undefined;
	}

	return fault % 2 === 0
		? `the header name ${JSON.stringify(rawHeaders[fault])} is invalid`
		: `the value of the header ${rawHeaders[fault - 1]} is invalid`;
}
