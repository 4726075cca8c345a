/**
 * Sends a body in parts, so that the progress of a client that reads slowly can be told.
 */
import type {ServerResponse} from 'node:http';

/** Bytes of a part. */
const partBytes = 65_536;

const wholeResponses = new WeakSet<ServerResponse>();

/**
 * @param response - A response that has not been sent completely.
 * @returns Whether this process has all of it, so that only its client is awaited.
 */
export const isWhole = (response: ServerResponse): boolean => response.writableEnded || wholeResponses.has(response);

/**
 * Sends a whole body and ends the response.
 *
 * @param response - A response whose head states the length.
 * @param body - The body.
 * @param onProgress - Called when the system has taken a part.
 */
export function sendBody(response: ServerResponse, body: Uint8Array, onProgress: () => void): void {
	if (body.length <= partBytes) {
		response.end(body);
		return;
	}

	wholeResponses.add(response);
	response.write(body.subarray(0, partBytes), error => {
		if (!error) {
			onProgress();
			sendBody(response, body.subarray(partBytes), onProgress);
		}
	});
}
