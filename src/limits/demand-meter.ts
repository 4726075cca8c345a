/**
 * Measures recent demand.
 */

/** Time constant of the average, in milliseconds. */
const window = 1000;

/** Exponentially weighted moving average of the demand, in units a second. */
export class DemandMeter {
	/**
	 * @param now - Monotonic milliseconds.
	 * @returns A meter at zero.
	 */
	static create(now: number): DemandMeter {
		return new DemandMeter(now);
	}

	private mean = 0;

	private constructor(private countedAt: number) {}

	/**
	 * Adds units to the demand.
	 *
	 * @param units - Requested units.
	 * @param now - Monotonic milliseconds.
	 */
	add(units: number, now: number): void {
		this.decay(now);
		this.mean += units * 1000 / window;
	}

	/**
	 * @param now - Monotonic milliseconds.
	 * @returns Units a second.
	 */
	rate(now: number): number {
		this.decay(now);
		return this.mean;
	}

	private decay(now: number): void {
		this.mean *= Math.exp((this.countedAt - now) / window);
		this.countedAt = now;
	}
}
