/**
 * Lines on single replicas, bounded for each: a replica may say something else with every answer.
 */
import type {Clock} from '../base/clock.js';
import type {EventName} from '../base/event-catalogue.js';
import type {EventFields, EventLog} from '../base/event-log.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Replica} from './replica.js';

/** Milliseconds between two lines of one event on one replica. */
const lineInterval = 1000;

/** The lines on all replicas. */
export class ReplicaLog {
	/**
	 * @param clock - For the time between lines.
	 * @param log - Where lines go.
	 * @returns The log.
	 */
	static create(clock: Clock, log: EventLog): ReplicaLog {
		return new ReplicaLog(clock, log);
	}

	/** Monotonic milliseconds at which each event was last logged, by start of the replica. */
	private readonly loggedAt = new Map<string, Map<EventName, number>>();

	private constructor(private readonly clock: Clock, private readonly log: EventLog) {}

	/**
	 * Writes a line, unless the same event was just logged for the replica.
	 *
	 * @param event - What happened.
	 * @param replica - To which replica.
	 * @param fields - Details.
	 */
	write(event: EventName, {start, entry}: Replica, fields: EventFields = {}): void {
		const now = this.clock.monotonic();
		const logged = getOrCreate(this.loggedAt, start, () => new Map<EventName, number>());
		if (now - (logged.get(event) ?? Number.NEGATIVE_INFINITY) >= lineInterval) {
			logged.set(event, now);
			this.log.write(event, {replica: entry.id, service: entry.service, ...fields});
		}
	}

	/** @param replica - A replica of which nothing is to be kept. */
	forget({start}: Replica): void {
		this.loggedAt.delete(start);
	}
}
