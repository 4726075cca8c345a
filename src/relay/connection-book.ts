/**
 * The connections of this box, by replica.
 */
import type {Clock} from '../base/clock.js';
import {largestIdleCount, ReplicaConnections} from '../replicas/replica-connections.js';
import type {Replica} from '../replicas/replica.js';

/** Part of the connections that a replica takes from all boxes which may be idle: the rest is for requests that come at once. */
const idlePart = 0.7;

/** Asked what a replica of a service takes, and by how many boxes that is shared. */
export type ConnectionFacts = {
	/** @returns Connections that a replica of a service takes from all boxes. */
	readonly maximumConnections: (service: string) => number;
	/** @returns Boxes that there are. */
	readonly boxes: () => number;
};

/** Keeps the connections to each replica for as long as it is listed. */
export class ConnectionBook {
	/**
	 * @param clock - For idle times.
	 * @param facts - Asked for what all boxes share.
	 * @returns A book without connections.
	 */
	static create(clock: Clock, facts: ConnectionFacts): ConnectionBook {
		return new ConnectionBook(clock, facts);
	}

	/** By start: connections to the one before are not used for the next. */
	private readonly byReplica = new Map<string, ReplicaConnections>();

	private constructor(private readonly clock: Clock, private readonly facts: ConnectionFacts) {}

	/**
	 * @param replica - A replica.
	 * @returns Its connections.
	 */
	of({start, entry}: Replica): ReplicaConnections {
		const known = this.byReplica.get(start);
		if (known) {
			return known;
		}

		const connections = ReplicaConnections.create(entry.host, entry.port, this.clock, () => this.mostIdle(entry.service));
		this.byReplica.set(start, connections);
		return connections;
	}

	/**
	 * @param replica - A replica that is listed no longer. What it still answers is read to its end, unless its process is known to be
	 * gone: then what is in progress there has been cut.
	 */
	forget({start, isReplaced}: Replica): void {
		const connections = this.byReplica.get(start);
		connections?.close();
		if (isReplaced) {
			connections?.abandon();
		}

		this.byReplica.delete(start);
	}

	/** Closes all idle connections. */
	close(): void {
		for (const connections of this.byReplica.values()) {
			connections.close();
		}

		this.byReplica.clear();
	}

	/** A replica resets what goes beyond the connections of all boxes together: each keeps its part of them. */
	private mostIdle(service: string): number {
		const {maximumConnections, boxes} = this.facts;
		return Math.min(largestIdleCount, Math.max(1, Math.floor(maximumConnections(service) * idlePart / boxes())));
	}
}
