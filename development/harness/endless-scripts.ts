/**
 * Responses that never end, one for each place of a response. Development only.
 */
import type {EndlessScript} from './endless-server.js';

const statusLine = 'HTTP/1.1 200 OK\r\n';
const headOf = (id: string): string => `${statusLine}Attempt-Id: ${id}\r\nContent-Type: text/plain\r\n`;
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
/** A chunk of 16 bytes. */
const chunk = '10\r\n0123456789abcdef\r\n';
/** A chunk of 4,096 bytes; smaller ones take seconds to parse up to the bound of a body. */
const largeChunk = `1000\r\n${'x'.repeat(4096)}\r\n`;

/** Places before the head of the response is complete. */
export const headScripts = {
	'blank lines before the status line': {start: () => '', piece: '\r\n'},
	'the status line': {start: () => 'HTTP/1.1 200 ', piece: 'OK'},
	'a header name': {start: id => headOf(id), piece: 'x'},
	'a header value': {start: id => `${headOf(id)}X: `, piece: 'x'},
	'blanks before a header value': {start: id => `${headOf(id)}X:`, piece: ' '},
	headers: {start: id => headOf(id), piece: 'X: y\r\n'},
	'responses 100': {start: () => '', piece: 'HTTP/1.1 100 Continue\r\n\r\n'},
	'responses 103': {start: () => '', piece: 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'},
	'bytes that are no response': {start: () => '', piece: 'no response '},
} as const satisfies Readonly<Record<string, EndlessScript>>;

/** Places of the framing of a body in chunks. */
export const framingScripts = {
	'the extension of a chunk': {start: id => `${headOf(id)}${chunked}5;a=`, piece: 'x'},
	'the size of a chunk': {start: id => `${headOf(id)}${chunked}`, piece: '0'},
	'the extension of a later chunk': {start: id => `${headOf(id)}${chunked}${chunk.repeat(100)}5;a=`, piece: 'x'},
	'the value of a trailer': {start: id => `${headOf(id)}${chunked}${chunk}0\r\nX: `, piece: 'x'},
	'blanks in a trailer': {start: id => `${headOf(id)}${chunked}${chunk}0\r\nX:`, piece: ' '},
	trailers: {start: id => `${headOf(id)}${chunked}${chunk}0\r\n`, piece: 'X: y\r\n'},
} as const satisfies Readonly<Record<string, EndlessScript>>;

/** Bodies that go on. */
export const bodyScripts = {
	'a body without a length': {start: id => `${headOf(id)}\r\n`, piece: 'body'},
	'a body in chunks': {start: id => `${headOf(id)}${chunked}`, piece: largeChunk},
	'a body with a length beyond the bound': {start: id => `${headOf(id)}Content-Length: 1000000000\r\n\r\n`, piece: 'body'},
} as const satisfies Readonly<Record<string, EndlessScript>>;

/** Bytes after a complete response; the first `Attempt-Id` is that of the request. */
export const surplusScripts = {
	'blank lines': {start: id => `${headOf(id)}Content-Length: 4\r\n\r\nbody`, piece: '\r\n'},
	'bytes that are no response': {start: id => `${headOf(id)}Content-Length: 4\r\n\r\nbody`, piece: 'no response '},
	'further responses': {start: id => `${headOf(id)}Content-Length: 4\r\n\r\nbody`, piece: `${headOf('late')}Content-Length: 4\r\n\r\nlate`},
} as const satisfies Readonly<Record<string, EndlessScript>>;
