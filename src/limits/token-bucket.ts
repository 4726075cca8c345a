/**
 * A rate limiter whose rate may change while it is in use.
 */

/** Capacity of a bucket, in seconds of its rate. */
const burstSeconds = 1;
const millisecondsPerSecond = 1000;

/** A token bucket that may be overdrawn by one request; later requests wait until the balance is positive again. */
export class TokenBucket {
	/**
	 * @param now - Monotonic milliseconds.
	 * @param rate - Units a second.
	 * @returns A full bucket.
	 */
	static create(now: number, rate: number): TokenBucket {
		return new TokenBucket(now, rate);
	}

	private balance: number;

	private constructor(private filledAt: number, private rate: number) {
		this.balance = rate * burstSeconds;
	}

	/**
	 * Takes units if the balance is positive.
	 *
	 * @param cost - Units.
	 * @param now - Monotonic milliseconds.
	 * @returns Whether they were taken.
	 */
	take(cost: number, now: number): boolean {
		this.fill(now);
		if (this.balance <= 0) {
			return false;
		}

		this.balance -= cost;
		return true;
	}

	/**
	 * Returns units that were taken and not used.
	 *
	 * @param units - Unused units.
	 */
	giveBack(units: number): void {
		this.balance = Math.min(this.rate * burstSeconds, this.balance + units);
	}

	/**
	 * Changes the rate from now on.
	 *
	 * @param rate - Units a second.
	 * @param now - Monotonic milliseconds.
	 */
	setRate(rate: number, now: number): void {
		this.fill(now);
		this.rate = rate;
		this.balance = Math.min(this.balance, rate * burstSeconds);
	}

	/**
	 * @param now - Monotonic milliseconds.
	 * @returns Milliseconds until the balance is positive again; infinite at a rate of zero.
	 */
	waitTime(now: number): number {
		this.fill(now);
		if (this.balance > 0) {
			return 0;
		}

		return this.rate > 0 ? (-this.balance / this.rate) * millisecondsPerSecond : Number.POSITIVE_INFINITY;
	}

	private fill(now: number): void {
		this.balance = Math.min(this.rate * burstSeconds, this.balance + ((now - this.filledAt) / millisecondsPerSecond * this.rate));
		this.filledAt = now;
	}
}
