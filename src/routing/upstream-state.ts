/**
 * What this box knows of one upstream: its lagged report, corrected by this box's own dispatches since.
 */
import type {Clock} from '../base/clock.js';
import type {Box} from '../external/box-list.js';
import type {LoadReport} from '../upstream/load-report.js';
import {PrefixBelief} from './prefix-belief.js';

/** Milliseconds an upstream is avoided after its first failure; doubles with each further one. */
const firstAvoidance = 500;
const longestAvoidance = 15_000;
/** Weight of the newest measurement in a moving mean. */
const meanWeight = 0.2;
/** Milliseconds of a request before any was measured. */
const assumedServiceTime = 300;
/** Requests that may be tried on an upstream that comes back, until one succeeds. */
const trialRequests = 1;

/** One upstream, as this box sees it. */
export class UpstreamState {
	/**
	 * @param box - The upstream.
	 * @param clock - For ages and avoidance.
	 * @returns A state that knows nothing yet.
	 */
	static create(box: Box, clock: Clock): UpstreamState {
		return new UpstreamState(box, clock);
	}

	readonly prefixes = PrefixBelief.create();
	private report: LoadReport = {running: 0, queued: 0, isLeaving: false};
	private dispatchedSinceReport = 0;
	private ownInFlight = 0;
	private consecutiveFailures = 0;
	private avoidedUntil = 0;
	private serviceTime = assumedServiceTime;
	private firstTokenTime = 0;

	private constructor(readonly box: Box, private readonly clock: Clock) {}

	/** Requests this box has there. */
	get inFlight(): number {
		return this.ownInFlight;
	}

	/** Requests that are there in all, as far as can be told. */
	get outstanding(): number {
		return Math.max(this.ownInFlight, this.report.running + this.report.queued + this.dispatchedSinceReport);
	}

	/** Requests that wait there, as far as can be told. */
	get queued(): number {
		return this.report.queued === 0 ? 0 : this.report.queued + this.dispatchedSinceReport;
	}

	/** Mean milliseconds of a request. */
	get meanServiceTime(): number {
		return this.serviceTime;
	}

	/** Mean milliseconds to the first token or to the answer. */
	get meanFirstTokenTime(): number {
		return this.firstTokenTime;
	}

	/** Whether it may be given work: not avoided, or due for a trial. */
	get isUsable(): boolean {
		if (this.consecutiveFailures === 0) {
			return true;
		}

		return this.clock.monotonic() >= this.avoidedUntil && this.ownInFlight < trialRequests;
	}

	/** Takes a report. What was dispatched before it is in it, but for the lag: half is kept. */
	takeReport(report: LoadReport): void {
		this.report = report;
		this.dispatchedSinceReport = Math.floor(this.dispatchedSinceReport / 2);
	}

	/** Notes that a request goes there. */
	begin(): void {
		this.ownInFlight++;
		this.dispatchedSinceReport++;
	}

	/** Notes that a request has ended there, whatever its outcome. */
	end(): void {
		this.ownInFlight--;
		this.dispatchedSinceReport = Math.max(0, this.dispatchedSinceReport - 1);
	}

	/**
	 * Notes a first token or an answer.
	 *
	 * @param milliseconds - Since the request was sent.
	 */
	noteFirstToken(milliseconds: number): void {
		this.firstTokenTime = (this.firstTokenTime * (1 - meanWeight)) + (milliseconds * meanWeight);
		this.consecutiveFailures = 0;
	}

	/**
	 * Notes that a request succeeded.
	 *
	 * @param milliseconds - How long it took.
	 */
	noteSuccess(milliseconds: number): void {
		this.serviceTime = (this.serviceTime * (1 - meanWeight)) + (milliseconds * meanWeight);
		this.consecutiveFailures = 0;
	}

	/** @returns Whether the upstream is avoided from now on because of this failure. */
	noteFailure(): boolean {
		this.consecutiveFailures++;
		const pause = Math.min(longestAvoidance, firstAvoidance * (2 ** (this.consecutiveFailures - 1)));
		this.avoidedUntil = this.clock.monotonic() + (pause * (0.75 + (Math.random() / 2)));
		return this.consecutiveFailures === 1;
	}
}
