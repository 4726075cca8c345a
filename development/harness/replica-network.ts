/**
 * The network between one box and the replicas, which can be partitioned. Development only.
 */
import {Socket} from 'node:net';
import {connectSocket, type SocketConnector} from '../../src/replicas/replica-connections.js';
import {applyNetworkState, closedPort, type NetworkState} from './network-state.js';

/** The network of one box. */
export class ReplicaNetwork {
	/** @returns A whole network. */
	static create(): ReplicaNetwork {
		return new ReplicaNetwork();
	}

	private current: NetworkState = 'whole';
	private readonly sockets = new Set<Socket>();

	private constructor() {
		// Made by create().
	}

	/** Opens a connection in the current state. */
	get connector(): SocketConnector {
		return address => this.open(address);
	}

	/** The current state. */
	get state(): NetworkState {
		return this.current;
	}

	/** Changes the state, also of the open connections. */
	set state(state: NetworkState) {
		this.current = state;
		applyNetworkState(this.sockets, state);
	}

	private open({host, port}: {readonly host: string; readonly port: number}): Socket {
		if (this.current === 'hang') {
			return new Socket();
		}

		const isRefused = this.current !== 'whole';
		const socket = connectSocket({host, port: isRefused ? closedPort : port});
		this.sockets.add(socket);
		socket.once('close', () => this.sockets.delete(socket));
		return socket;
	}
}
