/**
 * Ages for decisions that read many of them in a row.
 */
import type {Clock} from '../base/clock.js';

/** Milliseconds between two checks for a suspension of the machine, which read two clocks and would take half the time of a decision. */
const checkInterval = 1;

/** Reads ages like {@link Clock.ageOf}, which notices a suspension at once; this class notices it within a millisecond. */
export class SampledAge {
	/**
	 * @param clock - Reads time.
	 * @returns A reader of ages.
	 */
	static create(clock: Clock): SampledAge {
		return new SampledAge(clock);
	}

	private checkedAt = Number.NEGATIVE_INFINITY;
	private resumedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock) {}

	/**
	 * @param at - Monotonic milliseconds at which something was known.
	 * @param now - Monotonic milliseconds, if they were read just before.
	 * @returns Milliseconds since then; infinite if the machine was suspended in between.
	 */
	of(at: number, now = this.clock.monotonic()): number {
		if (now - this.checkedAt >= checkInterval) {
			this.checkedAt = now;
			this.resumedAt = this.clock.lastResumedAt();
		}

		return at > this.resumedAt ? now - at : Number.POSITIVE_INFINITY;
	}
}
