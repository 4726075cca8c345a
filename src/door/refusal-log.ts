/**
 * Logs refused requests with their reasons. The number of lines per second is limited, since the rate of refused requests is not.
 */
import type {IncomingMessage} from 'node:http';
import type {EventLog} from '../base/event-log.js';
import type {Refusal} from '../base/verdict.js';

/** Maximum number of lines per second; further refusals of that second are only counted. */
const maxLinesPerSecond = 50;
/** Maximum number of characters of a path in the log; the rest is cut off. */
const maxPathLength = 200;
const millisecondsPerSecond = 1000;

/** Writes refused requests to the event log, with a rate limit. */
export class RefusalLog {
	/**
	 * @param log - Receives the lines.
	 * @param now - Returns monotonic milliseconds.
	 * @returns The log.
	 */
	static create(log: EventLog, now: () => number = () => performance.now()): RefusalLog {
		return new RefusalLog(log, now);
	}

	private second = 0;
	private lines = 0;
	private omittedLines = 0;

	private constructor(private readonly log: EventLog, private readonly now: () => number) {}

	/**
	 * @param refusal - Why the request was refused.
	 * @param incoming - The request.
	 * @param took - Milliseconds from the request head to the refusal.
	 */
	write({reason, verdict, detail, retryAfter}: Refusal, {method, url}: Pick<IncomingMessage, 'method' | 'url'>, took: number): void {
		this.beginSecond();
		if (this.lines >= maxLinesPerSecond) {
			this.omittedLines++;
			return;
		}

		this.lines++;
		this.log.write('callerRefused', {
			method, path: (url ?? '').split('?', 1)[0]!.slice(0, maxPathLength), reason, verdict, detail, retryAfter, took: Math.round(took),
		});
	}

	private beginSecond(): void {
		const second = Math.floor(this.now() / millisecondsPerSecond);
		if (second === this.second) {
			return;
		}

		this.second = second;
		this.lines = 0;
		if (this.omittedLines > 0) {
			this.log.write('logLinesLeftOut', {lines: this.omittedLines});
			this.omittedLines = 0;
		}
	}
}
