/**
 * Decides which changes are worth a message to the other boxes, so that the messages of all boxes together stay within a rate.
 *
 * @remarks
 * Each box predicts the backlog of each replica by the same rule, and tells the others only when its own knowledge differs from what they can
 * predict (dead reckoning, as in distributed simulations: IEEE Std 1278). The threshold rises with the rate of the messages, so that a larger fleet costs a box
 * no more: only larger changes are told then.
 */
import type {Clock} from '../base/clock.js';
import {RateMeter} from '../base/rate-meter.js';

/** Milliseconds over which the rate of messages is averaged. */
const rateWindow = 1000;
/** Milliseconds between two changes of the threshold. */
const adaptationInterval = 250;
/** Factor of one change of the threshold. */
const adaptationFactor = 1.2;
/** Bounds of the threshold in milliseconds of reading: below, a change delays nobody noticeably; above, a change is longer than most goals. */
const thresholds = {least: 60, first: 120, most: 1500} as const;

/** The budget of one box for messages about backlogs. */
export class UpdateBudget {
	/**
	 * @param clock - Measures rates.
	 * @param rate - Updates a second of all boxes together.
	 * @returns A budget.
	 */
	static create(clock: Clock, rate: number): UpdateBudget {
		return new UpdateBudget(clock, rate);
	}

	private current: number = thresholds.first;
	private adaptedAt: number;
	private readonly messages: RateMeter;

	private constructor(private readonly clock: Clock, private readonly rate: number) {
		this.messages = RateMeter.create(clock, rateWindow);
		this.adaptedAt = clock.monotonic();
	}

	/** Milliseconds of reading from which on a change is told. */
	get threshold(): number {
		this.adapt();
		return this.current;
	}

	/** Counts a message that this box sent to all others, or received from one of them. */
	recordMessage(): void {
		this.messages.addSample(1);
	}

	private adapt(): void {
		const now = this.clock.monotonic();
		if (now - this.adaptedAt < adaptationInterval) {
			return;
		}

		this.adaptedAt = now;
		const wanted = this.messages.rate > this.rate ? this.current * adaptationFactor : this.current / adaptationFactor;
		this.current = Math.min(thresholds.most, Math.max(thresholds.least, wanted));
	}
}
