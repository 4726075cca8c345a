/**
 * Counts the requests and retries of one service at one box, and tells how many more retries the box may send. The limit holds in every
 * window of time, and limits of several boxes that each hold add up to one that holds.
 *
 * @remarks Source: docs/DESIGN.md, "Retry budget".
 */
import type {Clock} from '../base/clock.js';
import {sumOf} from '../base/sum.js';

/** The limit on the retries of a service. */
export type RetryBound = {
	/** Retries for each request. */
	readonly ratio: number;
	/** Retries that are allowed independent of the number of requests. */
	readonly slack: number;
	/** Milliseconds of the sliding window for both. */
	readonly window: number;
};

/** Buckets of a window; the events in a bucket are counted together. */
const bucketsPerWindow = 40;
/**
 * Fraction of the limit that follows from the requests of the window before, the rest from those of the window itself. The fraction is the
 * same at all boxes: only then do the limits of the boxes add up to at most the larger of the two limits of the fleet.
 */
const precedingFraction = 0.9;
/** Buckets by which the window before is shortened: a request is received some time after its client has sent it. */
const marginBuckets = 1;

/** Events in one bucket. */
type Bucket = {requests: number; retries: number};
const emptyBucket: Readonly<Bucket> = {requests: 0, retries: 0};

/** The counters of one service at one box. */
export class RetryWindow {
	/**
	 * @param clock - Measures the windows.
	 * @returns Counters of zero.
	 */
	static create(clock: Clock): RetryWindow {
		return new RetryWindow(clock);
	}

	/** Keyed by the number of the bucket since the start of the clock. */
	private readonly buckets = new Map<number, Bucket>();
	/** Milliseconds of a bucket. */
	private bucketLength = 0;

	private constructor(private readonly clock: Clock) {}

	/**
	 * Counts a request.
	 *
	 * @param window - Milliseconds of the window of the limit.
	 */
	recordRequest(window: number): void {
		this.adopt(window);
		this.bucketAt(this.clock.monotonic()).requests++;
	}

	/**
	 * Counts retries.
	 *
	 * @param amount - Number of retries; a fraction where boxes have lent parts of one.
	 * @param at - Monotonic milliseconds.
	 * @param window - Milliseconds of the window of the limit.
	 */
	recordRetry(amount: number, at: number, window: number): void {
		this.adopt(window);
		this.bucketAt(at).retries += amount;
	}

	/**
	 * @param bound - The limit that applies to this box.
	 * @param open - Retries that are allowed but may still arrive at a replica; they count in every window.
	 * @param horizon - Milliseconds from now in which the retries may be sent.
	 * @returns Retries that the box may send in that time without exceeding the limit in any window; negative if it is exceeded.
	 */
	room({ratio, slack, window}: RetryBound, open: number, horizon = 0): number {
		this.adopt(window);
		const ahead = Math.ceil(horizon / this.bucketLength);
		const last = this.bucketOf(this.clock.monotonic());
		const oldest = last - (2 * bucketsPerWindow);
		const resumedAt = this.clock.lastResumedAt();
		// The monotonic clock stops while the machine is suspended, so the requests of before are older than they seem.
		const requests = this.sumsFrom(oldest, last, (bucket, number) => number * this.bucketLength > resumedAt ? bucket.requests : 0);
		const retries = this.sumsFrom(oldest, last, bucket => bucket.retries);
		const between = (sums: readonly number[], from: number, to: number) => Math.max(0, (sums[Math.min(to, last) - oldest] ?? 0) - (sums[from - oldest - 1] ?? 0));
		const starts = Array.from({length: bucketsPerWindow + ahead + 1}, (_, index) => last - bucketsPerWindow + index);
		return Math.min(...starts.map(start => {
			const preceding = between(requests, start - bucketsPerWindow + 1 + marginBuckets, start - 1);
			const within = between(requests, start + 1, last);
			const allowed = (ratio * ((precedingFraction * preceding) + ((1 - precedingFraction) * within))) + slack;
			return allowed - open - between(retries, start, last);
		}));
	}

	/** After a change of the window, requests are counted anew, and earlier retries count as though they were sent now. */
	private adopt(window: number): void {
		const bucketLength = window / bucketsPerWindow;
		if (bucketLength === this.bucketLength) {
			return;
		}

		const retries = sumOf([...this.buckets.values()].map(bucket => bucket.retries));
		this.buckets.clear();
		this.bucketLength = bucketLength;
		this.bucketAt(this.clock.monotonic()).retries = retries;
	}

	/** @returns For each bucket from `oldest` to `last`, the sum of the counts up to it. */
	private sumsFrom(oldest: number, last: number, count: (bucket: Readonly<Bucket>, number: number) => number): readonly number[] {
		let sum = 0;
		return Array.from({length: last - oldest + 1}, (_, index) => {
			sum += count(this.buckets.get(oldest + index) ?? emptyBucket, oldest + index);
			return sum;
		});
	}

	private bucketAt(at: number): Bucket {
		const number = this.bucketOf(at);
		const known = this.buckets.get(number);
		if (known) {
			return known;
		}

		const created = {requests: 0, retries: 0};
		this.buckets.set(number, created);
		const oldest = this.bucketOf(this.clock.monotonic()) - (2 * bucketsPerWindow) - 1;
		for (const old of [...this.buckets.keys()].filter(key => key < oldest)) {
			this.buckets.delete(old);
		}

		return created;
	}

	private bucketOf(at: number): number {
		return Math.floor(at / this.bucketLength);
	}
}
