/**
 * The connections of this box, by replica.
 */
import type {Clock} from '../base/clock.js';
import {ReplicaConnections} from '../replicas/replica-connections.js';
import type {Replica} from '../replicas/replica.js';

/** Keeps the connections to each replica for as long as it is listed. */
export class ConnectionBook {
	/**
	 * @param clock - For idle times.
	 * @returns A book without connections.
	 */
	static create(clock: Clock): ConnectionBook {
		return new ConnectionBook(clock);
	}

	private readonly byReplica = new Map<string, ReplicaConnections>();

	private constructor(private readonly clock: Clock) {}

	/**
	 * @param replica - A replica.
	 * @returns Its connections.
	 */
	of({entry}: Replica): ReplicaConnections {
		const known = this.byReplica.get(entry.id);
		if (known) {
			return known;
		}

		const connections = ReplicaConnections.create(entry.host, entry.port, this.clock);
		this.byReplica.set(entry.id, connections);
		return connections;
	}

	/** @param replica - A replica that is listed no longer. */
	forget({entry}: Replica): void {
		this.byReplica.get(entry.id)?.close();
		this.byReplica.delete(entry.id);
	}

	/** Closes all idle connections. */
	close(): void {
		for (const connections of this.byReplica.values()) {
			connections.close();
		}

		this.byReplica.clear();
	}
}
