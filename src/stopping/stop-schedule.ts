/**
 * The schedule of a planned stop: until when a process takes requests, when it answers those that are not answered yet, and when it exits. All times
 * follow from the grace period, after which the platform kills the process.
 *
 * @remarks Source: docs/DESIGN.md, "Planned stops".
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import {timerDelay} from '../base/timer-delay.js';

/** Fraction of the grace period after which new requests are refused: they might not finish in time. */
const closingFraction = 0.35;
/**
 * Milliseconds after which no stream is begun that may outlast the process, also if new requests are refused later: the load balancer sends no more of them
 * after 3 s, and a busy process handles its signal some hundred milliseconds late.
 */
const maxUncertainTime = 2500;
/** Fraction of the grace period before its end at which the process exits with streams in progress. */
const exitMarginFraction = 0.1125;
/** Bounds of that margin in milliseconds: an exit takes some time on a busy machine, and more than some seconds are of no use. */
const exitMarginBounds = {least: 500, most: 2500} as const;
/** Maximum fraction of the grace period: a request that a replica works on at the end is not given up earlier than that. */
const maxExitMarginFraction = 1 / 6;
/** Multiple of the margin at which each request without an answer gets a refusal, which its client has to receive before the process exits. */
const answersDueFactor = 1.2;
/** Multiple at which the process exits even if it was held up and has not sent all refusals. */
const lastExitFactor = 0.4;

/** A request that is to be passed on. */
export type PendingRequest = {
	/** Expected milliseconds until it is answered. */
	readonly duration: number;
	/** Monotonic milliseconds at which it is answered at the latest. */
	readonly deadlineAt: number;
	/** Whether that begins an answer which is cut when the process exits. Other answers begin when they are complete, and until then a refusal can be sent. */
	readonly isCutAtExit: boolean;
	/** Whether another box forwarded it, which can choose a third one at once. */
	readonly wasForwarded: boolean;
};

/** Runs when less than some time is left for answers. */
type Deadline = {
	/** @returns Milliseconds before answers are due; called once the stop has begun. */
	readonly lead: () => number;
	readonly listener: () => void;
	timer: NodeJS.Timeout | undefined;
};

/** The schedule of the stop of one process, which may never come. */
export class StopSchedule {
	/**
	 * @param clock - Measures the grace period.
	 * @returns A schedule that has not begun.
	 */
	static create(clock: Clock): StopSchedule {
		return new StopSchedule(clock);
	}

	private readonly deadlines = new Set<Deadline>();
	private begun: {readonly at: number; readonly grace: number} | undefined;

	private constructor(private readonly clock: Clock) {}

	/** Whether the process has been asked to stop. */
	get isStopping(): boolean {
		return this.begun !== undefined;
	}

	/** Whether new requests are refused. */
	get isClosing(): boolean {
		return this.elapsed > this.closingTime;
	}

	/**
	 * @param unanswered - Number of requests without an answer.
	 * @returns Whether the process exits now, with answers in progress.
	 */
	isOver(unanswered: number): boolean {
		return this.timeUntil(unanswered === 0 ? 1 : lastExitFactor) < 0;
	}

	/** Milliseconds until the process exits with streams in progress; infinite before the stop begins. */
	get untilExit(): number {
		return this.timeUntil(1);
	}

	/** Milliseconds until the process exits in any case; infinite before the stop begins. */
	get untilLastExit(): number {
		return this.timeUntil(lastExitFactor);
	}

	/** Milliseconds since the stop began; zero before. */
	get elapsed(): number {
		return this.begun === undefined ? 0 : this.clock.monotonic() - this.begun.at;
	}

	/** Milliseconds until each request must have its answer; infinite before the stop begins. */
	get timeLeft(): number {
		return this.timeUntil(answersDueFactor);
	}

	/**
	 * Begins the stop. A second call changes nothing, since the platform counts from its first signal.
	 *
	 * @param grace - Milliseconds from the stop signal until the platform kills the process.
	 * @param elapsed - Milliseconds since the stop signal.
	 */
	begin(grace: number, elapsed = 0): void {
		if (this.begun === undefined) {
			this.begun = {at: this.clock.monotonic() - elapsed, grace};
			for (const deadline of this.deadlines) {
				this.schedule(deadline);
			}
		}
	}

	/**
	 * @param request - A request.
	 * @returns Whether it may be passed on: it is expected to be answered before answers are due. The answer of one that would be cut must be certain to end by
	 * then if another box forwarded it, and once other boxes get the new requests: it can go to another box at once.
	 */
	mayServe(request: PendingRequest): boolean {
		if (!this.isStopping || this.endsInTime(request)) {
			return true;
		}

		return request.duration <= this.timeLeft && !(request.isCutAtExit && this.elapsed >= this.uncertainUntil(request));
	}

	/**
	 * @param request - A request that can't be passed on yet.
	 * @param listener - Called once, as soon as it may no longer be passed on.
	 * @returns Cancels the call.
	 */
	onceUnservable(request: PendingRequest, listener: () => void): () => void {
		const {duration, isCutAtExit} = request;
		return this.addDeadline(() => isCutAtExit && !this.endsInTime(request)
			? Math.max(duration, this.timeLeft + this.elapsed - this.uncertainUntil(request))
			: duration, listener);
	}

	/**
	 * @param lead - Milliseconds before answers are due.
	 * @returns Completes when no more than this is left until then; never if the process does not stop.
	 */
	untilLeft(lead: number): Effect.Effect<void> {
		return Effect.callback<void>(resume => {
			const cancel = this.onceLeft(lead, () => {
				resume(Effect.void);
			});
			return Effect.sync(cancel);
		});
	}

	/**
	 * @param lead - Milliseconds before answers are due.
	 * @param listener - Called once, when no more than this is left until then.
	 * @returns Cancels the call.
	 */
	onceLeft(lead: number, listener: () => void): () => void {
		return this.addDeadline(() => lead, listener);
	}

	private addDeadline(lead: () => number, listener: () => void): () => void {
		const deadline: Deadline = {lead, listener, timer: undefined};
		this.deadlines.add(deadline);
		if (this.isStopping) {
			this.schedule(deadline);
		}

		return () => {
			clearTimeout(deadline.timer);
			this.deadlines.delete(deadline);
		};
	}

	private schedule(deadline: Deadline): void {
		deadline.timer = setTimeout(() => {
			this.deadlines.delete(deadline);
			deadline.listener();
		}, timerDelay(this.timeLeft - deadline.lead()));
	}

	private endsInTime({deadlineAt}: PendingRequest): boolean {
		return deadlineAt - this.clock.monotonic() <= this.timeLeft;
	}

	/** Milliseconds after the beginning of the stop from which new requests are refused; infinite before. */
	private get closingTime(): number {
		return this.begun === undefined ? Number.POSITIVE_INFINITY : this.begun.grace * closingFraction;
	}

	/** Milliseconds after the beginning of the stop until which a stream is begun that may outlast the process. */
	private uncertainUntil({wasForwarded}: PendingRequest): number {
		return wasForwarded ? 0 : Math.min(this.closingTime, maxUncertainTime);
	}

	/** @param factor - Multiple of the exit margin. */
	private timeUntil(factor: number): number {
		if (this.begun === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const {grace} = this.begun;
		return grace - (exitMarginOf(grace) * factor) - this.elapsed;
	}
}

function exitMarginOf(grace: number): number {
	const {least, most} = exitMarginBounds;
	return Math.min(most, Math.max(least, grace * exitMarginFraction), grace * maxExitMarginFraction);
}
