/**
 * Ends the answer to a request that was refused before its body was read. If the connection were closed at once, the bytes
 * still arriving would cause a reset, and the client might never see the answer.
 *
 * @remarks Source: RFC 9112, section 9.6, "Tear-down".
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Maximum time in milliseconds for discarding the rest of the request. */
const maxLingerMs = 1000;
/** Maximum number of bytes to discard of one request; less while the process discards others too. */
const maxDiscardedBytes = 33_554_432;
/** Maximum number of requests of the process whose rest is discarded at the same time; others are closed at once. */
const maxLingering = 64;

let lingering = 0;
const lingeringResponses = new WeakSet<ServerResponse>();

/**
 * @param response - A response that has not ended.
 * @returns Whether its answer is completely written, and only the rest of the request is awaited.
 */
export const isLingering = (response: ServerResponse): boolean => lingeringResponses.has(response);

/**
 * Discards the rest of a request, up to a limit of time and bytes, then ends the answer.
 *
 * @param incoming - The request.
 * @param response - Its answer, completely written but not ended.
 */
export function endLingering(incoming: IncomingMessage, response: ServerResponse): void {
	if (lingering >= maxLingering) {
		response.end();
		return;
	}

	lingering++;
	lingeringResponses.add(response);
	let remainingBytes = maxDiscardedBytes / lingering;
	let hasEnded = false;
	const end = () => {
		if (!hasEnded) {
			hasEnded = true;
			lingering--;
			clearTimeout(timer);
			response.end();
		}
	};

	const timer = setTimeout(end, maxLingerMs);
	incoming.on('data', (chunk: Uint8Array) => {
		remainingBytes -= chunk.length;
		if (remainingBytes < 0) {
			end();
		}
	});
	incoming.once('end', end);
	incoming.once('close', end);
	incoming.resume();
}
