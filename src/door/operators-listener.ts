/**
 * The HTTP server for operators and the load balancer: metrics, health and status.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {Metrics} from '../base/metrics.js';
import type {ProcessResources} from '../resources/process-resources.js';
import {serveDocument} from '../resources/serve-document.js';

/** Maximum bytes of the head of a request. */
const maxHeadBytes = 16_384;

/** Whether the load balancer should send callers to this box, and the reason if not. */
export type Readiness = {
	readonly isReady: boolean;
	readonly detail: string;
};

/** The sources of the responses. */
export type OperatorsListenerServices = {
	readonly metrics: Metrics;
	readonly resources: ProcessResources;
	readonly readiness: () => Readiness;
	/** @returns The content of `/status`, serialised as JSON. */
	readonly status: () => unknown;
};

function send(response: ServerResponse, status: number, type: string, body: string): void {
	response.writeHead(status, {'Content-Type': type, 'Content-Length': Buffer.byteLength(body)}).end(body);
}

function answer(path: string, response: ServerResponse, {metrics, readiness, status}: OperatorsListenerServices): void {
	switch (path) {
		case '/healthz': {
			send(response, 200, 'text/plain', 'alive\n');
			break;
		}

		case '/readyz': {
			const {isReady, detail} = readiness();
			send(response, isReady ? 200 : 503, 'text/plain', `${detail}\n`);
			break;
		}

		case '/status': {
			send(response, 200, 'application/json', JSON.stringify(status()));
			break;
		}

		case '/metrics': {
			Effect.runFork(Effect.promise(async () => {
				send(response, 200, metrics.registry.contentType, await metrics.registry.metrics());
			}));
			break;
		}

		default: {
			send(response, 404, 'text/plain', 'Paths: /metrics, /healthz, /readyz, /status.\n');
		}
	}
}

/**
 * Listens for operators until its scope closes.
 *
 * @param services - The sources of the responses.
 * @param host - IP number.
 * @param port - TCP port; zero for any.
 * @returns The TCP port.
 */
export function openOperatorsListener(services: OperatorsListenerServices, host: string, port: number): Effect.Effect<number, never, Scope.Scope> {
	const open = Effect.promise(async (): Promise<Server> => {
		const {resources} = services;
		const server = createServer({maxHeaderSize: maxHeadBytes}, (incoming, response) => {
			serveDocument({resources, connections}, incoming, response, () => {
				answer(incoming.url ?? '/', response, services);
			});
		});
		const connections = resources.limitServer('operators', server, maxHeadBytes);
		server.listen(port, host);
		await once(server, 'listening');
		return server;
	});
	return Effect.acquireRelease(open, server => Effect.sync(() => {
		server.close();
		server.closeAllConnections();
	})).pipe(Effect.map(server => (server.address() as AddressInfo).port));
}
