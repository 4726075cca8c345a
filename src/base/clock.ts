/**
 * Reading of time, in an abstract class so that tests can control it.
 */
import {performance} from 'node:perf_hooks';

/** Milliseconds sent to other boxes as the age of something whose age is unknown; also the maximum of a known age. */
export const unknownAgeMs = 1_000_000;

/** Reads time. Durations are always taken from the monotonic clock. */
export abstract class Clock {
	/**
	 * @param at - Monotonic milliseconds at which something was known.
	 * @returns Milliseconds since then; infinite if the machine was suspended in between, as the duration is unknown.
	 */
	ageOf(at: number): number {
		return at > this.lastResumedAt() ? this.monotonic() - at : Number.POSITIVE_INFINITY;
	}

	/** @returns Milliseconds that never decrease, even if the wall clock is set back. Time in which the machine is suspended is not counted. */
	abstract monotonic(): number;

	/** @returns Milliseconds since the epoch by the wall clock of this box, which may be wrong. For logs only. */
	abstract wall(): number;

	/**
	 * @returns Monotonic milliseconds at which this process may last have resumed from a suspension; negative infinity if never.
	 * Anything known before that moment is of unknown age and must not be used.
	 */
	abstract lastResumedAt(): number;
}

/** Milliseconds by which the wall clock must gain on the monotonic clock to indicate a suspension. */
const minSuspensionMs = 200;

/** The operating system's clocks. */
export class SystemClock extends Clock {
	/** @returns The clock of this process. */
	static create(): SystemClock {
		return new SystemClock();
	}

	private wallClockOffset = Date.now() - performance.now();
	private resumedAt = Number.NEGATIVE_INFINITY;

	override monotonic(): number {
		return performance.now();
	}

	override wall(): number {
		return Date.now();
	}

	/**
	 * The wall clock counts the time of a suspension and the monotonic clock does not. A wall clock that is set ahead looks the same;
	 * then known state is only refreshed once more than needed.
	 */
	override lastResumedAt(): number {
		const now = performance.now();
		const offset = Date.now() - now;
		this.resumedAt = offset - this.wallClockOffset > minSuspensionMs ? now : this.resumedAt;
		this.wallClockOffset = offset;
		return this.resumedAt;
	}
}
