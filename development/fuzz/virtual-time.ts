/**
 * Time that tests move: timers of the whole process, and a clock for each box.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Clock} from '../../src/base/clock.js';

type Timer = {
	readonly callback: () => void;
	readonly interval: number | undefined;
	at: number;
};

/** What the process's own timers return, as far as anybody uses it. */
class Handle {
	constructor(readonly timer: Timer) {}

	ref(): this {
		return this;
	}

	unref(): this {
		return this;
	}
}

/** Moves the timers of this process, from one that is due to the next. Use one at a time, and stop it. */
export class VirtualTime {
	/** @returns Time that stands still until it is moved. */
	static start(): VirtualTime {
		const time = new VirtualTime();
		Object.assign(globalThis, {
			setTimeout: (callback: () => void, milliseconds?: number) => time.add(callback, milliseconds, undefined),
			setInterval: (callback: () => void, milliseconds?: number) => time.add(callback, milliseconds, milliseconds),
			clearTimeout(handle: unknown) {
				time.remove(handle);
			},
			clearInterval(handle: unknown) {
				time.remove(handle);
			},
		});
		return time;
	}

	private elapsed = 0;
	private readonly timers = new Set<Timer>();
	private readonly own = {
		setTimeout: globalThis.setTimeout,
		setInterval: globalThis.setInterval,
		clearTimeout: globalThis.clearTimeout,
		clearInterval: globalThis.clearInterval,
	};

	private constructor() {
		// Made by start().
	}

	/** Milliseconds since the start. */
	get now(): number {
		return this.elapsed;
	}

	/**
	 * Moves time on, and lets everything run that is due on the way.
	 *
	 * @param milliseconds - By how much.
	 */
	async advance(milliseconds: number): Promise<void> {
		const endsAt = this.elapsed + milliseconds;
		await this.settle();
		for (;;) {
			const due = this.nextDue(endsAt);
			if (!due) {
				break;
			}

			this.elapsed = Math.max(this.elapsed, due.at);
			if (due.interval === undefined) {
				this.timers.delete(due);
			} else {
				due.at += Math.max(1, due.interval);
			}

			due.callback();
			await this.settle();
		}

		this.elapsed = endsAt;
	}

	/** Lets everything run that is due now. */
	async settle(): Promise<void> {
		await nextTurn();
		await nextTurn();
	}

	/** Gives the process its own timers back. */
	stop(): void {
		this.timers.clear();
		Object.assign(globalThis, this.own);
	}

	private nextDue(endsAt: number): Timer | undefined {
		let next: Timer | undefined;
		for (const timer of this.timers) {
			if (timer.at <= endsAt && (!next || timer.at < next.at)) {
				next = timer;
			}
		}

		return next;
	}

	private add(callback: () => void, milliseconds: number | undefined, interval: number | undefined): Handle {
		const timer: Timer = {callback, interval, at: this.elapsed + Math.max(1, milliseconds ?? 1)};
		this.timers.add(timer);
		return new Handle(timer);
	}

	private remove(handle: unknown): void {
		if (handle instanceof Handle) {
			this.timers.delete(handle.timer);
		}
	}
}

/** The clock of one box over {@link VirtualTime}; its wall clock may be stepped. */
export class VirtualClock extends Clock {
	/**
	 * @param time - The time.
	 * @param offset - Milliseconds by which the monotonic clock of this box differs.
	 * @returns The clock.
	 */
	static create(time: {readonly now: number}, offset = 0): VirtualClock {
		return new VirtualClock(time, offset);
	}

	/** Milliseconds by which the wall clock was stepped. */
	wallStep = 0;

	private constructor(private readonly time: {readonly now: number}, private readonly offset: number) {
		super();
	}

	override monotonic(): number {
		return this.time.now + this.offset;
	}

	override lastResumedAt(): number {
		return Number.NEGATIVE_INFINITY;
	}

	override wall(): number {
		return this.time.now + this.wallStep;
	}
}
