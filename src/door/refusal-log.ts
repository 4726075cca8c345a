/**
 * Logs refused requests, so that a refusal can be traced to the decision behind it. The lines are bounded, since callers may be refused at any rate.
 */
import type {IncomingMessage} from 'node:http';
import type {EventLog} from '../base/event-log.js';
import type {Refusal} from '../base/verdict.js';

/** Lines a second; further refusals of that second are counted alone. */
const linesPerSecond = 50;
/** Characters of a path that are logged. */
const longestPath = 200;
const millisecondsPerSecond = 1000;

/** The log of one door. */
export class RefusalLog {
	/**
	 * @param log - Where lines go.
	 * @param now - Reads monotonic milliseconds.
	 * @returns The log.
	 */
	static create(log: EventLog, now: () => number = () => performance.now()): RefusalLog {
		return new RefusalLog(log, now);
	}

	private second = 0;
	private lines = 0;
	private leftOut = 0;

	private constructor(private readonly log: EventLog, private readonly now: () => number) {}

	/**
	 * @param refusal - Why the request was refused.
	 * @param incoming - The request.
	 * @param took - Milliseconds from its head to the refusal.
	 */
	write({reason, verdict, detail, retryAfter}: Refusal, {method, url}: Pick<IncomingMessage, 'method' | 'url'>, took: number): void {
		this.beginSecond();
		if (this.lines >= linesPerSecond) {
			this.leftOut++;
			return;
		}

		this.lines++;
		this.log.write('callerRefused', {
			method, path: (url ?? '').split('?', 1)[0]!.slice(0, longestPath), reason, verdict, detail, retryAfter, took: Math.round(took),
		});
	}

	private beginSecond(): void {
		const second = Math.floor(this.now() / millisecondsPerSecond);
		if (second === this.second) {
			return;
		}

		this.second = second;
		this.lines = 0;
		if (this.leftOut > 0) {
			this.log.write('logLinesLeftOut', {lines: this.leftOut});
			this.leftOut = 0;
		}
	}
}
