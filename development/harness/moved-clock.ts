/**
 * A clock that advances only when a test sets it.
 */
import {Clock} from '../../src/base/clock.js';

/** A clock whose time a test sets. */
export class MovedClock extends Clock {
	/** Offset of the wall clock from the monotonic clock, in milliseconds. */
	shift = 0;

	private resumedAt = Number.NEGATIVE_INFINITY;

	/** @param now - Initial monotonic time in milliseconds. */
	constructor(public now = 0) {
		super();
	}

	override monotonic(): number {
		return this.now;
	}

	override wall(): number {
		return this.now + this.shift;
	}

	override lastResumedAt(): number {
		return this.resumedAt;
	}

	/** @param time - Milliseconds for which the machine is suspended; only the wall clock advances meanwhile. */
	suspend(time: number): void {
		this.shift += time;
		this.now++;
		this.resumedAt = this.now;
	}
}
