/**
 * Time, behind a class so that tests can move it.
 */
import {performance} from 'node:perf_hooks';

/** Reads time. Durations are always taken from the monotonic clock. */
export abstract class Clock {
	/** @returns Milliseconds that only ever grow, also when the wall clock is stepped. */
	abstract monotonic(): number;

	/** @returns Milliseconds since the epoch, as this box believes. For logs only. */
	abstract wall(): number;
}

/** The operating system's clocks. */
export class SystemClock extends Clock {
	/** @returns The clock of this process. */
	static create(): SystemClock {
		return new SystemClock();
	}

	override monotonic(): number {
		return performance.now();
	}

	override wall(): number {
		return Date.now();
	}
}
