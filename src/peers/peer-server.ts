/**
 * Listens for peers.
 */
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import {WebSocketServer} from 'ws';
import type {Peer} from './peer.js';
import {createPeerRouter} from './peer-router.js';

/** Bytes of one message; a hand-over of records is sent in parts below it. */
const largestMessage = 16 * 1024 * 1024;

/**
 * Listens until its scope closes.
 *
 * @param peer - This box.
 * @param host - IP number.
 * @param port - TCP port; zero for any.
 * @returns The TCP port.
 */
export function listenForPeers(peer: Peer, host: string, port: number): Effect.Effect<number, never, Scope.Scope> {
	const open = Effect.promise(async () => {
		const server = new WebSocketServer({host, port, maxPayload: largestMessage});
		await once(server, 'listening');
		const handler = applyWSSHandler({wss: server, router: createPeerRouter(peer)});
		return {server, handler};
	});
	return Effect.acquireRelease(open, ({server}) => Effect.sync(() => {
		for (const client of server.clients) {
			client.terminate();
		}

		server.close();
	})).pipe(Effect.map(({server}) => (server.address() as AddressInfo).port));
}
