/**
 * Ends an answer to a request that was refused before it was read. Closed at once, the bytes that still come would
 * reset the connection, and its client might never see the answer.
 *
 * @remarks Source: RFC 9112, section 9.6, "Tear-down".
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Milliseconds for which what still comes is thrown away. */
const lingerTime = 1000;
/** Bytes at most that are thrown away. */
const lingerBytes = 33_554_432;

/**
 * Throws away what still comes of a request, within bounds, then ends the answer.
 *
 * @param incoming - The request.
 * @param response - Its answer, written whole but not ended.
 */
export function endLingering(incoming: IncomingMessage, response: ServerResponse): void {
	const end = () => {
		clearTimeout(timer);
		response.end();
	};

	const timer = setTimeout(end, lingerTime);
	let left = lingerBytes;
	incoming.on('data', (chunk: Uint8Array) => {
		left -= chunk.length;
		if (left < 0) {
			end();
		}
	});
	incoming.once('end', end);
	incoming.once('close', end);
	incoming.resume();
}
