/**
 * The small listeners of a relay: readiness for the balancer, metrics for operators, the configuration for peers.
 */
import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {Address} from '../settings/relay-settings.js';

/** What a small listener answers. */
export type SmallAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string | Uint8Array;
};

/** Answers a path; `undefined` where there is nothing there. */
export type SmallHandler = (path: string) => SmallAnswer | undefined | Promise<SmallAnswer>;

/** An address that is taken is tried again: the process before may still hold it. */
const listenPause = 200;

/**
 * Listens until the scope closes.
 *
 * @param server - Node's server.
 * @param address - Where.
 * @returns Ends when it listens.
 */
export function listen(server: Server, {host, port}: Address): Effect.Effect<void, never, Scope.Scope> {
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
	const retried: Effect.Effect<void> = once.pipe(Effect.catch(() => Effect.sleep(listenPause).pipe(Effect.andThen(Effect.suspend(() => retried)))));
	return Effect.acquireRelease(retried, () => Effect.sync(() => {
		server.close();
		server.closeAllConnections();
	}));
}

/**
 * Opens a small listener.
 *
 * @param address - Where.
 * @param handler - Answers.
 * @returns Ends when it listens.
 */
export function openSmallListener(address: Address, handler: SmallHandler): Effect.Effect<void, never, Scope.Scope> {
	const server = createServer((incoming, response) => {
		const answer = async () => {
			const found = await handler(incoming.url ?? '/') ?? {status: 404, contentType: 'text/plain', body: 'not found\n'};
			response.writeHead(found.status, {'Content-Type': found.contentType, 'Content-Length': Buffer.byteLength(found.body)}).end(found.body);
		};

		void answer();
	});
	return listen(server, address);
}
