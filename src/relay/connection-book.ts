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

	/** By start: connections to the one before are not used for the next. */
	private readonly byReplica = new Map<string, ReplicaConnections>();

	private constructor(private readonly clock: Clock) {}

	/**
	 * @param replica - A replica.
	 * @returns Its connections.
	 */
	of({start, entry}: Replica): ReplicaConnections {
		const known = this.byReplica.get(start);
		if (known) {
			return known;
		}

		const connections = ReplicaConnections.create(entry.host, entry.port, this.clock);
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
}
