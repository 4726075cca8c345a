/**
 * The log: numbered events of the catalogue with typed fields, one JSON line each.
 */
import process from 'node:process';
import bunyan from 'bunyan';
import {events, type EventName} from './event-catalogue.js';

/** Fields of an event. They never hold API keys, request bodies or answers of clients. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Records events. */
export abstract class EventLog {
	/**
	 * Logs an event.
	 *
	 * @param name - Name of the event in the catalogue.
	 * @param fields - Details of the event.
	 */
	abstract write(name: EventName, fields?: EventFields): void;
}

/** Writes events with bunyan. */
export class BunyanEventLog extends EventLog {
	/**
	 * @param box - Name of the box, a field of each line.
	 * @param stream - Receives the lines; standard output by default.
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

/** Drops events; used by the command line and by tests that do not check the log. */
export class SilentEventLog extends EventLog {
	/** @returns A log that writes nothing. */
	static create(): SilentEventLog {
		return new SilentEventLog();
	}

	override write(): void {
		// Events are dropped.
	}
}
