/**
 * Bounds how many requests are sent again, so that a brown-out of replicas is not made worse. The bound holds for all
 * boxes together: each keeps to a part of its own requests and to its part of the slack.
 */
import type {Clock} from '../base/clock.js';

/** The bound for all boxes together. */
export type RepeatBound = {
	/** Repeats for each request. */
	readonly ratio: number;
	/** Repeats that are allowed whatever is asked for. */
	readonly slack: number;
	/** Milliseconds over which both count. */
	readonly window: number;
};

/** Part of the bound that is used: windows of boxes do not begin together, and boxes start anew. */
const usedPart = 0.7;
/** Part of the slack, which a box that starts anew has again. */
const usedSlack = 0.5;

/** The budget of one service on one box. */
export class RepeatBudget {
	/**
	 * @param bound - The bound for all boxes.
	 * @param boxes - How many there are.
	 * @param clock - For the window.
	 * @returns A budget of which nothing is used.
	 */
	static create(bound: () => RepeatBound, boxes: () => number, clock: Clock): RepeatBudget {
		return new RepeatBudget(bound, boxes, clock);
	}

	private firsts: readonly number[] = [];
	private repeats: readonly number[] = [];

	private constructor(
		private readonly bound: () => RepeatBound,
		private readonly boxes: () => number,
		private readonly clock: Clock,
	) {}

	/** Notes a request. */
	noteRequest(): void {
		this.firsts = [...this.recent(this.firsts), this.clock.monotonic()];
	}

	/** @returns Whether a request may be sent again; it is then paid for. */
	withdraw(): boolean {
		const {ratio, slack} = this.bound();
		const repeats = this.recent(this.repeats);
		const allowed = (this.recent(this.firsts).length * ratio * usedPart) + (slack * usedSlack / Math.max(1, this.boxes()));
		this.repeats = repeats;
		if (repeats.length + 1 > allowed) {
			return false;
		}

		this.repeats = [...repeats, this.clock.monotonic()];
		return true;
	}

	private recent(times: readonly number[]): readonly number[] {
		const since = this.clock.monotonic() - this.bound().window;
		const first = times.findIndex(time => time >= since);
		return first <= 0 ? (first === 0 ? times : []) : times.slice(first);
	}
}
