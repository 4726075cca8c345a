/**
 * Retry budget: limits the number of retries, so that retries do not worsen an overload of replicas. The limit holds for all boxes
 * together: each box may retry a fraction of its own requests, plus its part of the slack.
 */
import type {Clock} from '../base/clock.js';

/** The retry limit for all boxes together. */
export type ServiceRetryBound = {
	/** Retries for each request. */
	readonly ratio: number;
	/** Retries that are allowed independent of the number of requests. */
	readonly slack: number;
	/** Milliseconds of the sliding window for both. */
	readonly window: number;
};

/** Fraction of the limit that is used, since the windows of boxes are not aligned, and restarted boxes begin with an empty window. */
const usedFraction = 0.7;
/** Fraction of the slack that is used, since a restarted box gets its part again. */
const usedSlackFraction = 0.5;

/** The retry budget of one service on one box. */
export class ServiceRetryBudget {
	/**
	 * @param bound - The limit for all boxes.
	 * @param boxes - Number of boxes.
	 * @param clock - For the window.
	 * @returns An unused budget.
	 */
	static create(bound: () => ServiceRetryBound, boxes: () => number, clock: Clock): ServiceRetryBudget {
		return new ServiceRetryBudget(bound, boxes, clock);
	}

	private requests: readonly number[] = [];
	private retries: readonly number[] = [];

	private constructor(
		private readonly bound: () => ServiceRetryBound,
		private readonly boxes: () => number,
		private readonly clock: Clock,
	) {}

	/** Counts a request. */
	recordRequest(): void {
		this.requests = [...this.recent(this.requests), this.clock.monotonic()];
	}

	/** @returns Whether a request may be retried; the retry is then counted. */
	withdraw(): boolean {
		const {ratio, slack} = this.bound();
		const retries = this.recent(this.retries);
		const allowed = (this.recent(this.requests).length * ratio * usedFraction) + (slack * usedSlackFraction / Math.max(1, this.boxes()));
		this.retries = retries;
		if (retries.length + 1 > allowed) {
			return false;
		}

		this.retries = [...retries, this.clock.monotonic()];
		return true;
	}

	private recent(times: readonly number[]): readonly number[] {
		const since = this.clock.monotonic() - this.bound().window;
		const first = times.findIndex(time => time >= since);
		return first <= 0 ? (first === 0 ? times : []) : times.slice(first);
	}
}
