/**
 * Handles requests whose bodies are not used.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ProcessResources} from './process-resources.js';
import type {ServerConnections} from './server-connections.js';

/**
 * Answers a request when the earlier ones of its connection have been answered. A body is not read to its end: its connection closes after the answer.
 *
 * @param services - Resources of the process, and the connections of the listener.
 * @param incoming - The request.
 * @param response - Its response.
 * @param answer - Answers the request.
 */
export function serveDocument(
	{resources, connections}: {readonly resources: ProcessResources; readonly connections: ServerConnections},
	incoming: IncomingMessage,
	response: ServerResponse,
	answer: () => void,
): void {
	const body = resources.requestBodies.receive(incoming);
	const {headers} = incoming;
	if (headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0') {
		response.shouldKeepAlive = false;
	}

	connections.enqueue({
		incoming, response, body, start: answer,
	});
}
