/**
 * This box's view of one upstream: its last load report, which is delayed, plus this box's own dispatches since then.
 */
import type {Clock} from '../base/clock.js';
import type {Box} from '../external/box-list.js';
import type {LoadReport} from '../upstream/load-report.js';
import {PrefixCacheEstimate} from './prefix-cache-estimate.js';

/** Milliseconds for which an upstream is avoided after its first failure; doubled with each consecutive failure. */
const initialAvoidance = 500;
/** Maximum milliseconds for which an upstream is avoided after a failure; before jitter. */
const maxAvoidance = 15_000;
/** Weight of the newest measurement in an exponential moving average. */
const meanWeight = 0.2;
/** Assumed duration of a request in milliseconds until one has been measured. */
const assumedServiceTime = 300;
/** Maximum number of concurrent requests to an upstream after an avoidance, until one succeeds. */
const maxTrialRequests = 1;

/** This box's view of one upstream. */
export class UpstreamState {
	/**
	 * @param box - The upstream.
	 * @param clock - For the avoidance after failures.
	 * @returns A state without reports or measurements.
	 */
	static create(box: Box, clock: Clock): UpstreamState {
		return new UpstreamState(box, clock);
	}

	readonly prefixCache = PrefixCacheEstimate.create();
	private report: LoadReport = {running: 0, queued: 0, isLeaving: false};
	private dispatchedSinceReport = 0;
	private ownInFlight = 0;
	private consecutiveFailures = 0;
	private avoidedUntil = 0;
	private serviceTime = assumedServiceTime;
	private firstTokenTime = 0;

	private constructor(readonly box: Box, private readonly clock: Clock) {}

	/** Requests of this box that are in progress at the upstream. */
	get inFlight(): number {
		return this.ownInFlight;
	}

	/** Estimated number of requests of all boxes that are running or queued at the upstream. */
	get outstanding(): number {
		return Math.max(this.ownInFlight, this.report.running + this.report.queued + this.dispatchedSinceReport);
	}

	/** Estimated number of requests that are queued at the upstream. */
	get queued(): number {
		return this.report.queued === 0 ? 0 : this.report.queued + this.dispatchedSinceReport;
	}

	/** Mean duration of a request in milliseconds. */
	get meanServiceTime(): number {
		return this.serviceTime;
	}

	/** Mean milliseconds to the first token, or to the answer if it is not streamed. */
	get meanFirstTokenTime(): number {
		return this.firstTokenTime;
	}

	/** Whether it may get requests: it is not avoided, or its avoidance has passed and it may get a trial request. */
	get isUsable(): boolean {
		if (this.consecutiveFailures === 0) {
			return true;
		}

		return this.clock.monotonic() >= this.avoidedUntil && this.ownInFlight < maxTrialRequests;
	}

	/** Applies a report. Because reports are delayed, half of the dispatches since the last one are assumed to be missing from it. */
	applyReport(report: LoadReport): void {
		this.report = report;
		this.dispatchedSinceReport = Math.floor(this.dispatchedSinceReport / 2);
	}

	/** Records that a request is sent to the upstream. */
	begin(): void {
		this.ownInFlight++;
		this.dispatchedSinceReport++;
	}

	/** Records that a request has ended at the upstream, whatever its outcome. */
	end(): void {
		this.ownInFlight--;
		this.dispatchedSinceReport = Math.max(0, this.dispatchedSinceReport - 1);
	}

	/**
	 * Records the time to a first token or to an answer.
	 *
	 * @param milliseconds - Time since the request was sent.
	 */
	recordFirstToken(milliseconds: number): void {
		this.firstTokenTime = (this.firstTokenTime * (1 - meanWeight)) + (milliseconds * meanWeight);
		this.consecutiveFailures = 0;
	}

	/**
	 * Records that a request succeeded.
	 *
	 * @param milliseconds - Duration of the request.
	 */
	recordSuccess(milliseconds: number): void {
		this.serviceTime = (this.serviceTime * (1 - meanWeight)) + (milliseconds * meanWeight);
		this.consecutiveFailures = 0;
	}

	/**
	 * Records a failure and avoids the upstream for a while.
	 *
	 * @returns Whether this is the first of consecutive failures, from which the upstream is avoided.
	 */
	recordFailure(): boolean {
		this.consecutiveFailures++;
		const pause = Math.min(maxAvoidance, initialAvoidance * (2 ** (this.consecutiveFailures - 1)));
		this.avoidedUntil = this.clock.monotonic() + (pause * (0.75 + (Math.random() / 2)));
		return this.consecutiveFailures === 1;
	}
}
