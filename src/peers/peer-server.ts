/**
 * The WebSocket server for connections of peers.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import {WebSocketServer} from 'ws';
import type {ProcessResources} from '../resources/process-resources.js';
import {serveDocument} from '../resources/serve-document.js';
import type {Peer} from './peer.js';
import {maxMessageBytes} from './peer-messages.js';
import {createPeerRouter} from './peer-router.js';

/** Maximum bytes of the head of a request. */
const maxHeadBytes = 16_384;
const upgradeRequired = 426;

/**
 * Listens for peers until the scope closes.
 *
 * @param peer - This box.
 * @param resources - Limits the connections.
 * @param host - IP address to listen on.
 * @param port - TCP port; zero for any free port.
 * @returns The TCP port in use.
 */
export function listenForPeers(peer: Peer, resources: ProcessResources, host: string, port: number): Effect.Effect<number, never, Scope.Scope> {
	const open = Effect.promise(async () => {
		const server = createServer({maxHeaderSize: maxHeadBytes}, (incoming, response) => {
			serveDocument({resources, connections}, incoming, response, () => {
				response.writeHead(upgradeRequired, {Upgrade: 'websocket', 'Content-Length': 0}).end();
			});
		});
		const connections = resources.limitServer('peers', server, maxHeadBytes);
		const sockets = new WebSocketServer({server, maxPayload: maxMessageBytes});
		sockets.on('connection', (_, {socket}) => {
			connections.keepUpgraded(socket);
		});
		server.listen(port, host);
		await once(server, 'listening');
		applyWSSHandler({wss: sockets, router: createPeerRouter(peer)});
		return {server, sockets};
	});
	return Effect.acquireRelease(open, ({server, sockets}) => Effect.sync(() => {
		for (const client of sockets.clients) {
			client.terminate();
		}

		sockets.close();
		server.close();
		server.closeAllConnections();
	})).pipe(Effect.map(({server}) => (server.address() as AddressInfo).port));
}
