/**
 * A rate limit whose rate may change while it is used.
 */

/** Seconds of its rate that an idle bucket gathers. */
const burstSeconds = 1;
const millisecondsPerSecond = 1000;

/** Fills at a rate. It may be overdrawn by one request, which the next ones wait out. */
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
	 * Takes units if any are there.
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
	 * Gives units back that were taken and not used.
	 *
	 * @param units - How many.
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
	 * @returns Milliseconds until units are there again; infinite at a rate of zero.
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
