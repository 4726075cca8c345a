/**
 * Measures a rate as an exponentially decaying sum, without storing windows or lists of events.
 */
import type {Clock} from './clock.js';

/** Milliseconds. */
const defaultTimeConstantMs = 1000;
const millisecondsPerSecond = 1000;

/** Measures the rate of one kind of event. */
export class RateMeter {
	/**
	 * @param clock - Clock for the decay.
	 * @param timeConstant - Milliseconds after which the weight of an event falls to 1/e, about a third.
	 * @returns A meter with a rate of zero.
	 */
	static create(clock: Clock, timeConstant = defaultTimeConstantMs): RateMeter {
		return new RateMeter(clock, timeConstant);
	}

	private sum = 0;
	private updatedAt: number;

	private constructor(private readonly clock: Clock, private readonly timeConstant: number) {
		this.updatedAt = clock.monotonic();
	}

	/** Units a second, weighted towards the recent past by the time constant. */
	get rate(): number {
		return this.decayedSum() * millisecondsPerSecond / this.timeConstant;
	}

	/** @param units - Units to add at the current time. */
	addSample(units: number): void {
		this.sum = this.decayedSum() + units;
		this.updatedAt = this.clock.monotonic();
	}

	private decayedSum(): number {
		return this.sum * Math.exp((this.updatedAt - this.clock.monotonic()) / this.timeConstant);
	}
}
