/**
 * A log that never blocks the process. If its reader is too slow, lines are dropped and counted, those of
 * successful requests first.
 */
import {EventLog, type EventFields} from './event-log.js';
import {events, type EventName} from './event-catalogue.js';

/** Bytes that may wait for the reader before lines of successful requests are dropped. */
const maxSuccessBacklogBytes = 65_536;
/** Bytes that may wait for the reader before lines of all events are dropped. */
const maxBacklogBytes = 262_144;
/** Maximum lines a second for successful requests. */
const maxSuccessLinesPerSecond = 400;
const millisecondsPerSecond = 1000;
/** Bunyan's numbers of the log levels. */
const levels = {info: 30, warn: 40, error: 50} as const;
/** Events of successful requests, which may be very frequent. */
const successEvents: ReadonlySet<EventName> = new Set(['requestAnswered']);

/** The stream to which lines are written. */
export type LogOutput = {
	readonly writableLength: number;
	write(line: string): unknown;
	/** Emits 'error' for a line that could not be written, for example because the reader has exited. */
	on(event: 'error', listener: () => void): unknown;
};

/** Writes events as lines of JSON in bunyan's format, and drops lines above the limits. */
export class BoundedEventLog extends EventLog {
	/**
	 * @param output - The stream to which lines are written.
	 * @param onLineDropped - Called for each line that is dropped or could not be written.
	 * @returns The log.
	 */
	static create(output: LogOutput, onLineDropped: () => void = () => undefined): BoundedEventLog {
		return new BoundedEventLog(output, onLineDropped);
	}

	private node: string | undefined;
	private droppedLines = 0;
	private second = 0;
	private linesInSecond = 0;

	private constructor(private readonly output: LogOutput, private readonly onLineDropped: () => void) {
		super();
		// An error event without a listener would end the process.
		output.on('error', onLineDropped);
	}

	/** @param node - Name of the box, which becomes a field of each later line. */
	setBoxName(node: string): void {
		this.node = node;
	}

	override write(name: EventName, fields: EventFields = {}): void {
		const isSuccess = successEvents.has(name);
		if (this.output.writableLength > (isSuccess ? maxSuccessBacklogBytes : maxBacklogBytes) || (isSuccess && this.isAboveMaxRate())) {
			this.droppedLines++;
			this.onLineDropped();
			return;
		}

		if (this.droppedLines > 0) {
			const {droppedLines} = this;
			this.droppedLines = 0;
			this.writeLine('logLinesLeftOut', {lines: droppedLines});
		}

		this.writeLine(name, fields);
	}

	private writeLine(name: EventName, fields: EventFields): void {
		const {number, level, text} = events[name];
		const line = {
			name: 'waydrift', node: this.node, level: levels[level], time: new Date().toISOString(), event: number, eventName: name, ...fields, msg: text, v: 0,
		};
		this.output.write(`${JSON.stringify(line)}\n`);
	}

	private isAboveMaxRate(): boolean {
		const second = Math.floor(performance.now() / millisecondsPerSecond);
		this.linesInSecond = second === this.second ? this.linesInSecond + 1 : 1;
		this.second = second;
		return this.linesInSecond > maxSuccessLinesPerSecond;
	}
}
