/**
 * A log that never holds the process up: where its reader is too slow, lines are left out and counted, those of
 * requests that went well first.
 */
import {EventLog, type EventFields} from './event-log.js';
import {events, type EventName} from './event-catalogue.js';

/** Bytes that may wait for the reader before lines of what went well are left out. */
const calmBacklog = 65_536;
/** Bytes that may wait before any line is left out. */
const largestBacklog = 262_144;
/** Lines a second of what went well. */
const calmLinesPerSecond = 400;
const millisecondsPerSecond = 1000;
const levels = {info: 30, warn: 40, error: 50} as const;
/** Events of which there may be very many. */
const calmEvents: ReadonlySet<EventName> = new Set(['requestAnswered']);

/** Where lines go. */
export type LogOutput = {
	readonly writableLength: number;
	write(line: string): unknown;
};

/** Writes events as lines of JSON, as bunyan does, within bounds. */
export class BoundedEventLog extends EventLog {
	/**
	 * @param output - Where lines go.
	 * @param onLeftOut - Called for each line left out.
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

	/** @param node - Name of the box, a field of each line from now on. */
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
