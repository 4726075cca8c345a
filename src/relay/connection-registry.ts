/**
 * Registry of this box's connections to replicas.
 */
import type {Clock} from '../base/clock.js';
import {
	connectSocket, maxIdleConnections, ReplicaConnections, type ConnectionOutcome, type SocketConnector,
} from '../replicas/replica-connections.js';
import type {Replica} from '../replicas/replica.js';

/** Share of the connections that a replica accepts from all boxes that may be idle; the rest is left for bursts of requests. */
const maxIdleShare = 0.7;

/** Supplies the connection limit of a service and the number of boxes that share it. */
export type ConnectionFacts = {
	/** @returns Connections that a replica of a service accepts from all boxes together. */
	readonly maximumConnections: (service: string) => number;
	/** @returns Number of boxes. */
	readonly boxes: () => number;
};

/** Called with what became of a new connection to a replica. */
export type ConnectionListener = (replica: Replica, outcome: ConnectionOutcome) => void;

/** Keeps the connections to each replica while it is listed. */
export class ConnectionRegistry {
	/**
	 * @param clock - For idle times.
	 * @param facts - Supplies the limits that all boxes share.
	 * @param connector - Opens connections.
	 * @returns A registry without connections.
	 */
	static create(clock: Clock, facts: ConnectionFacts, connector: SocketConnector = connectSocket): ConnectionRegistry {
		return new ConnectionRegistry(clock, facts, connector);
	}

	/** Keyed by the start of the replica, so that connections to an earlier process of the same replica are not reused. */
	private readonly byReplica = new Map<string, ReplicaConnections>();

	private readonly listeners: ConnectionListener[] = [];

	private constructor(private readonly clock: Clock, private readonly facts: ConnectionFacts, private readonly connector: SocketConnector) {}

	/** @param listener - Called with what became of each new connection. */
	onDidConnect(listener: ConnectionListener): void {
		this.listeners.push(listener);
	}

	/**
	 * @param replica - A replica.
	 * @returns Its connections.
	 */
	of(replica: Replica): ReplicaConnections {
		const {start, entry} = replica;
		const known = this.byReplica.get(start);
		if (known) {
			return known;
		}

		const connections = ReplicaConnections.create({
			host: entry.host,
			port: entry.port,
			clock: this.clock,
			connector: this.connector,
			maxIdle: () => this.maxIdleConnections(entry.service),
			onOutcome: outcome => {
				for (const listener of this.listeners) {
					listener(replica, outcome);
				}
			},
		});
		this.byReplica.set(start, connections);
		return connections;
	}

	/**
	 * Removes the connections of a replica. Answers in progress are read to their end, unless the replica was replaced: its process is
	 * then gone, and the connections are reset.
	 *
	 * @param replica - A replica that is no longer listed.
	 */
	forget({start, isReplaced}: Replica): void {
		const connections = this.byReplica.get(start);
		connections?.close();
		if (isReplaced) {
			connections?.destroyInUse();
		}

		this.byReplica.delete(start);
	}

	/** Closes all idle connections; those in use are kept for further requests. */
	closeIdle(): void {
		for (const connections of this.byReplica.values()) {
			connections.closeIdle();
		}
	}

	/** Closes all connections when they become idle. */
	close(): void {
		for (const connections of this.byReplica.values()) {
			connections.close();
		}

		this.byReplica.clear();
	}

	/** A replica resets connections beyond its limit for all boxes together, so each box keeps only its share idle. */
	private maxIdleConnections(service: string): number {
		const {maximumConnections, boxes} = this.facts;
		return Math.min(maxIdleConnections, Math.max(1, Math.floor(maximumConnections(service) * maxIdleShare / boxes())));
	}
}
