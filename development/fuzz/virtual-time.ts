/**
 * Virtual time controlled by tests: replaces the timers of the process, and provides a clock for each box.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Clock} from '../../src/base/clock.js';

type Timer = {
	readonly callback: () => void;
	readonly interval: number | undefined;
	at: number;
};

/** Replacement for `NodeJS.Timeout`, with the methods that the program uses. */
class Handle {
	constructor(readonly timer: Timer) {}

	ref(): this {
		return this;
	}

	unref(): this {
		return this;
	}
}

/** Replaces the timers of the process, and fires them in the order of their due times. Only one instance may be active; stop it after use. */
export class VirtualTime {
	/** @returns Virtual time that passes only when it is advanced. */
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
		// Instances are created by start().
	}

	/** Milliseconds since the start. */
	get now(): number {
		return this.elapsed;
	}

	/**
	 * Advances the time, and fires all timers that become due.
	 *
	 * @param milliseconds - Milliseconds to advance by.
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

	/** Waits until pending promise callbacks have run; the time does not advance. */
	async settle(): Promise<void> {
		await nextTurn();
		await nextTurn();
	}

	/** Restores the original timers of the process. */
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

/** Clock of one box, based on {@link VirtualTime}; its wall clock may be stepped. */
export class VirtualClock extends Clock {
	/**
	 * @param time - Source of the time in milliseconds.
	 * @param offset - Offset of the monotonic clock of this box in milliseconds.
	 * @returns A clock without a wall clock step.
	 */
	static create(time: {readonly now: number}, offset = 0): VirtualClock {
		return new VirtualClock(time, offset);
	}

	/** Offset of the wall clock in milliseconds. */
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
