/**
 * HTTP server helpers that all stand-ins share. Development only: not in the binary.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {stringifyRaw} from './raw-json.js';

/** A request whose body has been read completely. */
export type StandinRequest = {
	readonly method: string;
	readonly url: URL;
	readonly body: string;
	readonly headers: IncomingMessage['headers'];
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
};

/** Responds to a request; an exception is reported as HTTP status 500. */
export type StandinHandler = (request: StandinRequest) => void | Promise<void>;

async function readBody(incoming: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of incoming) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString();
}

/**
 * Sends a JSON response.
 *
 * @param response - The response to send.
 * @param status - HTTP status.
 * @param value - Body; the response has no body if it is `undefined`.
 */
export function sendJson(response: ServerResponse, status: number, value?: unknown): void {
	if (value === undefined) {
		response.writeHead(status).end();
		return;
	}

	const body = stringifyRaw(value);
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)}).end(body);
}

/**
 * Starts a stand-in on loopback.
 *
 * @param port - TCP port, or zero for any.
 * @param handler - Responds to each request.
 * @returns The server, listening.
 */
export async function startStandin(port: number, handler: StandinHandler): Promise<Server> {
	const answer = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handler({
				method: incoming.method ?? 'GET',
				url: new URL(incoming.url ?? '/', 'http://standin'),
				body: await readBody(incoming),
				headers: incoming.headers,
				incoming,
				response,
			});
		} catch (error) {
			if (!response.headersSent) {
				sendJson(response, 500, {error: String(error)});
			}
		}
	};

	const server = createServer((incoming, response) => {
		void answer(incoming, response);
	});
	server.keepAliveTimeout = 60_000;
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

/**
 * @param server - A listening server.
 * @returns Its TCP port.
 */
export function portOf(server: Server): number {
	return (server.address() as AddressInfo).port;
}
