/**
 * Limits retries to a fraction of the successful requests, so that retries do not make a brown-out of upstreams worse.
 *
 * @remarks Source: the published retry budgets of Finagle ("RetryBudget").
 */
import type {Clock} from '../base/clock.js';

/** Retries earned by each success. */
const depositPerSuccess = 0.1;
/** Retries per second earned without any success, so that a pool with few requests can retry at all. */
const reservePerSecond = 0.5;
/** Maximum number of retries saved up. */
const maxBalance = 20;

/** The budget of one pool on one box. */
export class RetryBudget {
	/**
	 * @param clock - Measures the time for the reserve.
	 * @returns A budget with a small initial balance.
	 */
	static create(clock: Clock): RetryBudget {
		return new RetryBudget(clock);
	}

	private balance = 2;
	private updatedAt: number;

	private constructor(private readonly clock: Clock) {
		this.updatedAt = clock.monotonic();
	}

	/** Adds to the balance for a successful request. */
	deposit(): void {
		this.balance = Math.min(maxBalance, this.balance + depositPerSuccess);
	}

	/** @returns Whether a retry is allowed; if so, it is deducted from the balance. */
	withdraw(): boolean {
		const now = this.clock.monotonic();
		this.balance = Math.min(maxBalance, this.balance + ((now - this.updatedAt) / 1000 * reservePerSecond));
		this.updatedAt = now;
		if (this.balance < 1) {
			return false;
		}

		this.balance--;
		return true;
	}
}
