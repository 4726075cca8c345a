/**
 * Measures a rate as a decaying sum, so that neither windows nor lists of events are kept.
 */
import type {Clock} from './clock.js';

const usualTimeConstant = 1000;
const millisecondsPerSecond = 1000;

/** Measures the rate of one thing. */
export class RateMeter {
	/**
	 * @param clock - For decay.
	 * @param timeConstant - Milliseconds after which an event counts for about a third.
	 * @returns A meter that has seen nothing.
	 */
	static create(clock: Clock, timeConstant = usualTimeConstant): RateMeter {
		return new RateMeter(clock, timeConstant);
	}

	private sum = 0;
	private notedAt: number;

	private constructor(private readonly clock: Clock, private readonly timeConstant: number) {
		this.notedAt = clock.monotonic();
	}

	/** Units a second lately. */
	get rate(): number {
		return this.decayed() * millisecondsPerSecond / this.timeConstant;
	}

	/** @param units - What happened now. */
	note(units: number): void {
		this.sum = this.decayed() + units;
		this.notedAt = this.clock.monotonic();
	}

	private decayed(): number {
		return this.sum * Math.exp((this.notedAt - this.clock.monotonic()) / this.timeConstant);
	}
}
