/**
 * Measures for how long the process last stood still: stopped by a signal, suspended with its machine, or with a blocked event loop.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from './clock.js';

/** Milliseconds between two samples. */
const sampleInterval = 50;
/** Minimum milliseconds between two samples that count as a suspension: shorter delays are common on a busy machine. */
const minGap = 300;

/** A time in which the process did not run. */
export type Suspension = {
	/** Milliseconds by the monotonic clock, which stands still while the machine is suspended. */
	readonly steady: number;
	/** Milliseconds by the wall clock, which may have been set meanwhile. */
	readonly wall: number;
	/** Monotonic milliseconds at which the process ran again. */
	readonly endedAt: number;
};

/** Dependencies of the meter. */
export type SuspensionMeterServices = {
	readonly clock: Clock;
	/** Called with each suspension. */
	readonly onSuspension: (suspension: Suspension) => void;
};

/** Remembers the last suspension of the process. */
export class SuspensionMeter {
	/**
	 * @param services - Its dependencies.
	 * @returns A meter; it sees only suspensions between two reads until it is run.
	 */
	static create(services: SuspensionMeterServices): SuspensionMeter {
		return new SuspensionMeter(services);
	}

	private sampledAt: {readonly monotonic: number; readonly wall: number};
	private lastSuspension: Suspension | undefined;

	private constructor(private readonly services: SuspensionMeterServices) {
		this.sampledAt = this.now;
	}

	/** The last suspension, also one that has just ended; `undefined` if there was none. */
	get last(): Suspension | undefined {
		this.sample();
		return this.lastSuspension;
	}

	/**
	 * @param within - Milliseconds.
	 * @returns Monotonic milliseconds at which the process ran last before a suspension that ended in that time; now if there was none.
	 */
	ranUntil(within: number): number {
		const {last} = this;
		const now = this.services.clock.monotonic();
		return last && now - last.endedAt <= within ? last.endedAt - last.steady : now;
	}

	/** @returns An effect that samples the clocks until interrupted. */
	run(): Effect.Effect<never> {
		return Effect.forever(Effect.sync(() => {
			this.sample();
		}).pipe(Effect.andThen(Effect.sleep(sampleInterval))));
	}

	private get now(): {readonly monotonic: number; readonly wall: number} {
		const {clock} = this.services;
		return {monotonic: clock.monotonic(), wall: clock.wall()};
	}

	private sample(): void {
		const {now, sampledAt} = this;
		const [steady, wall] = [now.monotonic - sampledAt.monotonic, now.wall - sampledAt.wall];
		this.sampledAt = now;
		if (Math.max(steady, wall) > minGap) {
			this.lastSuspension = {steady, wall, endedAt: now.monotonic};
			this.services.onSuspension(this.lastSuspension);
		}
	}
}
