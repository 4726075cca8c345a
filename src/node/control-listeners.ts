/**
 * The control listeners of a relay: readiness for the load balancer, metrics for operators, documents for peers.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {EventLog} from '../base/event-log.js';
import {nextTurn} from '../base/next-turn.js';
import {OpenResponses} from '../base/open-responses.js';
import {maxHeadBytes} from '../relay/front-end.js';
import type {ProcessResources} from '../resources/process-resources.js';
import {serveDocument} from '../resources/serve-document.js';
import type {ListenerName} from '../resources/resource-limits.js';
import type {ServerConnections} from '../resources/server-connections.js';
import type {Address} from '../settings/relay-settings.js';

/** Response of a control listener. */
export type ControlResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string | Uint8Array;
};

/** Returns the response for a path; `undefined` gives status 404. */
export type ControlHandler = (path: string) => ControlResponse | undefined | Promise<ControlResponse>;

/** Handles a request that is not for a document; returns whether it did. */
export type ForwardHandler = (incoming: IncomingMessage, response: ServerResponse, connections: ServerConnections) => boolean;

/** Dependencies of a control listener. */
export type ControlListenerServices = {
	readonly log: EventLog;
	readonly resources: ProcessResources;
};

/** A control listener. */
export type ControlListenerPlan = {
	/** Listener whose limit of connections applies. */
	readonly name: ListenerName;
	/** Address to bind. */
	readonly address: Address;
	/** Returns the responses; an exception or rejection gives status 500. */
	readonly handler: ControlHandler;
	/** Called first with each request. */
	readonly forwardHandler?: ForwardHandler;
};

/** Bytes by which the head of a forwarded request may exceed that of the client's request. */
const maxForwardHeadBytes = 4096;
/** Milliseconds between two attempts to bind an address: the previous process may still hold it. */
const listenRetryDelay = 200;

/**
 * Listens until the scope closes; retries while the address cannot be bound. Responses that are incomplete then are reset.
 *
 * @param server - Node's server.
 * @param address - Address to bind.
 * @param responses - Its responses that are not complete.
 * @returns An effect that completes once the server listens.
 */
export function listen(server: Server, {host, port}: Address, responses = OpenResponses.watch(server)): Effect.Effect<void, never, Scope.Scope> {
	const once = Effect.callback<void, Error>(resume => {
		const fail = (error: Error) => {
			server.off('listening', succeed);
			resume(Effect.fail(error));
		};

		const succeed = () => {
			server.off('error', fail);
			resume(Effect.void);
		};

		server.once('error', fail);
		server.once('listening', succeed);
		server.listen({host, port, backlog: 1024});
	});
	const retried: Effect.Effect<void> = once.pipe(Effect.catch(() => Effect.sleep(listenRetryDelay).pipe(Effect.andThen(Effect.suspend(() => retried)))));
	const sockets = new Set<Socket>();
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	// Connections are closed after a turn of the event loop in which all that had arrived was read, and another one in which what was read is refused.
	return Effect.acquireRelease(retried, () => Effect.gen(function * () {
		yield * nextTurn;
		for (const socket of sockets) {
			socket.pause();
		}

		yield * nextTurn;
		responses.reset();
		server.close();
		server.closeAllConnections();
	}));
}

/**
 * Opens a control listener until the scope closes.
 *
 * @param services - Dependencies of the listener.
 * @param plan - The listener.
 * @returns An effect that completes once the listener is open.
 */
export function openControlListener(
	{log, resources}: ControlListenerServices,
	{name, address, handler, forwardHandler = () => false}: ControlListenerPlan,
): Effect.Effect<void, never, Scope.Scope> {
	const find = async (path: string): Promise<ControlResponse> => {
		try {
			return await handler(path) ?? {status: 404, contentType: 'text/plain', body: 'not found\n'};
		} catch (error) {
			log.write('controlRequestFailed', {path, detail: String(error)});
			return {status: 500, contentType: 'text/plain', body: 'internal fault\n'};
		}
	};

	const answer = async (path: string, response: ServerResponse) => {
		const found = await find(path);
		response.writeHead(found.status, {'Content-Type': found.contentType, 'Content-Length': Buffer.byteLength(found.body)}).end(found.body);
	};

	const maxHead = maxHeadBytes + maxForwardHeadBytes;
	const server = createServer({maxHeaderSize: maxHead, noDelay: true}, (incoming, response) => {
		if (!forwardHandler(incoming, response, connections)) {
			serveDocument({resources, connections}, incoming, response, () => {
				void answer(incoming.url ?? '/', response);
			});
		}
	});
	const connections = resources.limitServer(name, server, maxHead);
	return listen(server, address);
}
