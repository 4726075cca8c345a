/**
 * How much was asked for lately.
 */

/** Milliseconds over which demand is averaged. */
const window = 1000;

/** A moving mean of what is asked for, units a second. */
export class DemandMeter {
	/**
	 * @param now - Monotonic milliseconds.
	 * @returns A meter that has seen nothing.
	 */
	static create(now: number): DemandMeter {
		return new DemandMeter(now);
	}

	private mean = 0;

	private constructor(private countedAt: number) {}

	/**
	 * @param units - What is asked for.
	 * @param now - Monotonic milliseconds.
	 */
	note(units: number, now: number): void {
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
