/**
 * Version of the program. A test checks that it is the version in package.json.
 */
export const version = '0.1.0';
