/**
 * The log: numbered events of the catalogue with typed fields, one JSON line each.
 */
import process from 'node:process';
import bunyan from 'bunyan';
import {events, type EventName} from './event-catalogue.js';

/** What an event may carry. Keys, bodies and answers of callers are never among it. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Takes events. */
export abstract class EventLog {
	/**
	 * Logs an event.
	 *
	 * @param name - Which event of the catalogue.
	 * @param fields - What it is about.
	 */
	abstract write(name: EventName, fields?: EventFields): void;
}

/** Writes events with bunyan. */
export class BunyanEventLog extends EventLog {
	/**
	 * @param box - Name of the box, a field of each line.
	 * @param stream - Where lines go; standard output by default.
	 * @returns The log.
	 */
	static create(box: string, stream: NodeJS.WritableStream = process.stdout): BunyanEventLog {
		return new BunyanEventLog(bunyan.createLogger({name: 'waydrift', box, stream}));
	}

	private constructor(private readonly logger: bunyan) {
		super();
	}

	override write(name: EventName, fields: EventFields = {}): void {
		const {number, level, text} = events[name];
		this.logger[level]({event: number, eventName: name, ...fields}, text);
	}
}

/** Drops events: for the command line and for tests that do not look at them. */
export class SilentEventLog extends EventLog {
	/** @returns A log that writes nothing. */
	static create(): SilentEventLog {
		return new SilentEventLog();
	}

	override write(): void {
		// Nothing is kept.
	}
}
