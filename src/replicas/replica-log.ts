/**
 * Log of events of single replicas, rate limited for each replica, since every response of a replica may cause an event.
 */
import type {Clock} from '../base/clock.js';
import type {EventName} from '../base/event-catalogue.js';
import type {EventFields, EventLog} from '../base/event-log.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Replica} from './replica.js';

/** Minimum milliseconds between two log lines of the same event and replica. */
const lineInterval = 1000;

/** Rate-limited log of replica events. */
export class ReplicaLog {
	/**
	 * @param clock - Measures the time between log lines.
	 * @param log - Receives the events.
	 * @returns The log.
	 */
	static create(clock: Clock, log: EventLog): ReplicaLog {
		return new ReplicaLog(clock, log);
	}

	/** Monotonic milliseconds at which each event was last logged, by incarnation of the replica. */
	private readonly loggedAt = new Map<string, Map<EventName, number>>();

	private constructor(private readonly clock: Clock, private readonly log: EventLog) {}

	/**
	 * Logs an event unless the same event was logged for the replica within the last second.
	 *
	 * @param event - The event.
	 * @param replica - The replica that the event concerns.
	 * @param fields - Additional fields.
	 */
	write(event: EventName, {start, entry}: Replica, fields: EventFields = {}): void {
		const now = this.clock.monotonic();
		const logged = getOrCreate(this.loggedAt, start, () => new Map<EventName, number>());
		if (now - (logged.get(event) ?? Number.NEGATIVE_INFINITY) >= lineInterval) {
			logged.set(event, now);
			this.log.write(event, {replica: entry.id, service: entry.service, ...fields});
		}
	}

	/** @param replica - A replica whose state is to be removed. */
	forget({start}: Replica): void {
		this.loggedAt.delete(start);
	}
}
