/**
 * Version of the program; the same as in package.json, which a test holds.
 */
export const version = '0.1.0';
