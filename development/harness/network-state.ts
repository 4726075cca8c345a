/**
 * States of the network between a box and the replicas, and their effect on open connections. Development only.
 */
import type {Socket} from 'node:net';
import {receiveReset} from './reset-connection.js';

/**
 * State of the network.
 *
 * - `whole`: all connections work.
 * - `refuse`: open connections are reset, and new ones refused.
 * - `refuse-new`: open connections work, and new ones are refused.
 * - `hang`: open connections deliver no more data, and new ones are not established.
 */
export type NetworkState = 'whole' | 'refuse' | 'refuse-new' | 'hang';

/** A port on which no process listens. */
export const closedPort = 1;

/**
 * Applies a new state to the open connections. The end of a hang delivers the data that it held back, as TCP does.
 *
 * @param sockets - The connections.
 * @param state - The state.
 */
export function applyNetworkState(sockets: Iterable<Socket>, state: NetworkState): void {
	for (const socket of sockets) {
		if (state === 'refuse') {
			receiveReset(socket);
		} else if (state === 'hang') {
			socket.cork();
		} else {
			socket.uncork();
		}
	}
}
