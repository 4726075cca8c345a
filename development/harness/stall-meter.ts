/**
 * Measures how late this process is with its timers. Development only.
 */
import {sumOf} from '../../src/base/sum.js';

type Stall = {readonly endedAt: number; readonly duration: number};

/** Milliseconds between two ticks. */
const interval = 5;
/** Milliseconds of the shortest delay that is recorded. */
const minStall = 5;

/** A timer that records its delays. */
export class StallMeter {
	/** @returns A meter that runs until {@link stop}. */
	static start(): StallMeter {
		return new StallMeter();
	}

	private readonly stalls: Stall[] = [];
	private lastTick = performance.now();
	private readonly timer = setInterval(() => {
		this.stalls.push(...this.currentStall);
		this.lastTick = performance.now();
	}, interval);

	private constructor() {
		// Use start().
	}

	/**
	 * @param from - Monotonic milliseconds.
	 * @param to - Monotonic milliseconds.
	 * @returns Milliseconds in between by which ticks were late.
	 */
	during(from: number, to: number): number {
		return sumOf([...this.stalls, ...this.currentStall].map(({endedAt, duration}) => Math.max(0, Math.min(to, endedAt) - Math.max(from, endedAt - duration))));
	}

	/** Ends the measurement. */
	stop(): void {
		clearInterval(this.timer);
	}

	/** The delay of the next tick, if it is late already. */
	private get currentStall(): readonly Stall[] {
		const now = performance.now();
		const duration = now - this.lastTick - interval;
		return duration > minStall ? [{endedAt: now, duration}] : [];
	}
}
