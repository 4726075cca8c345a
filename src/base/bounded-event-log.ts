/**
 * A log that never blocks the process. If its reader is too slow, lines are dropped and counted, those of
 * successful requests first.
 */
import {EventLog, type EventFields} from './event-log.js';
import {events, type EventName} from './event-catalogue.js';

/** Bytes that may wait for the reader before lines of successful requests are dropped. */
const calmBacklog = 65_536;
/** Bytes that may wait for the reader before lines of all events are dropped. */
const largestBacklog = 262_144;
/** Maximum lines a second for successful requests. */
const calmLinesPerSecond = 400;
const millisecondsPerSecond = 1000;
/** Bunyan's numbers of the log levels. */
const levels = {info: 30, warn: 40, error: 50} as const;
/** Events of successful requests, which may be very frequent. */
const calmEvents: ReadonlySet<EventName> = new Set(['requestAnswered']);

/** The stream to which lines are written. */
export type LogOutput = {
	readonly writableLength: number;
	write(line: string): unknown;
};

/** Writes events as lines of JSON in bunyan's format, and drops lines above the limits. */
export class BoundedEventLog extends EventLog {
	/**
	 * @param output - The stream to which lines are written.
	 * @param onLeftOut - Called for each dropped line.
	 * @returns The log.
	 */
	static create(output: LogOutput, onLeftOut: () => void = () => undefined): BoundedEventLog {
		return new BoundedEventLog(output, onLeftOut);
	}

	private node: string | undefined;
	private leftOut = 0;
	private second = 0;
	private linesInSecond = 0;

	private constructor(private readonly output: LogOutput, private readonly onLeftOut: () => void) {
		super();
	}

	/** @param node - Name of the box, which becomes a field of each later line. */
	name(node: string): void {
		this.node = node;
	}

	override write(name: EventName, fields: EventFields = {}): void {
		const isCalm = calmEvents.has(name);
		if (this.output.writableLength > (isCalm ? calmBacklog : largestBacklog) || (isCalm && this.isPastRate())) {
			this.leftOut++;
			this.onLeftOut();
			return;
		}

		if (this.leftOut > 0) {
			const {leftOut} = this;
			this.leftOut = 0;
			this.put('logLinesLeftOut', {lines: leftOut});
		}

		this.put(name, fields);
	}

	private put(name: EventName, fields: EventFields): void {
		const {number, level, text} = events[name];
		const line = {
			name: 'waydrift', node: this.node, level: levels[level], time: new Date().toISOString(), event: number, eventName: name, ...fields, msg: text, v: 0,
		};
		this.output.write(`${JSON.stringify(line)}\n`);
	}

	private isPastRate(): boolean {
		const second = Math.floor(performance.now() / millisecondsPerSecond);
		this.linesInSecond = second === this.second ? this.linesInSecond + 1 : 1;
		this.second = second;
		return this.linesInSecond > calmLinesPerSecond;
	}
}
