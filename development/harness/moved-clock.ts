/**
 * A clock that stands still until a test moves it.
 */
import {Clock} from '../../src/base/clock.js';

/** The clock. */
export class MovedClock extends Clock {
	/** What the wall clock shows more than the monotonic one, in milliseconds. */
	shift = 0;

	private wokenAt = Number.NEGATIVE_INFINITY;

	/** @param now - Monotonic milliseconds to begin with. */
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
		return this.wokenAt;
	}

	/** @param time - Milliseconds for which the machine is suspended: the wall clock alone counts them. */
	suspend(time: number): void {
		this.shift += time;
		this.now++;
		this.wokenAt = this.now;
	}
}
