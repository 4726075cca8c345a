/**
 * Limits retries to a part of what succeeds, so that a brown-out of upstreams is not made worse by us.
 *
 * @remarks Source: the retry budgets of Finagle ("RetryBudget"), as published.
 */
import type {Clock} from '../base/clock.js';

/** Retries that each success allows. */
const depositPerSuccess = 0.1;
/** Retries a second that are allowed whatever succeeds, so that a quiet pool can retry at all. */
const reservePerSecond = 0.5;
const largestBalance = 20;

/** The budget of one pool on one box. */
export class RetryBudget {
	/**
	 * @param clock - For the reserve.
	 * @returns A budget with a small balance.
	 */
	static create(clock: Clock): RetryBudget {
		return new RetryBudget(clock);
	}

	private balance = 2;
	private countedAt: number;

	private constructor(private readonly clock: Clock) {
		this.countedAt = clock.monotonic();
	}

	/** Notes a success. */
	deposit(): void {
		this.balance = Math.min(largestBalance, this.balance + depositPerSuccess);
	}

	/** @returns Whether a retry may be made; it is then paid for. */
	withdraw(): boolean {
		const now = this.clock.monotonic();
		this.balance = Math.min(largestBalance, this.balance + ((now - this.countedAt) / 1000 * reservePerSecond));
		this.countedAt = now;
		if (this.balance < 1) {
			return false;
		}

		this.balance--;
		return true;
	}
}
