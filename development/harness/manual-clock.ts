/**
 * A clock that advances only when a test sets it.
 */
import {Clock} from '../../src/base/clock.js';

/** A clock whose time a test sets. */
export class ManualClock extends Clock {
	/** Offset of the wall clock from the monotonic clock, in milliseconds. */
	wallOffset = 0;

	private resumedAt = Number.NEGATIVE_INFINITY;

	/** @param now - Initial monotonic time in milliseconds. */
	constructor(public now = 0) {
		super();
	}

	override monotonic(): number {
		return this.now;
	}

	override wall(): number {
		return this.now + this.wallOffset;
	}

	override lastResumedAt(): number {
		return this.resumedAt;
	}

	/** @param time - Milliseconds for which the machine is suspended; only the wall clock advances meanwhile. */
	suspend(time: number): void {
		this.wallOffset += time;
		this.now++;
		this.resumedAt = this.now;
	}
}
