/**
 * The requests in progress on this box, so that a shutdown can wait for them.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Metrics} from '../base/metrics.js';
import type {RequestRecord} from '../records/request-record.js';

/** Starts, stops and counts runs. */
export class RunRegistry {
	/**
	 * @param metrics - Receive the number of requests in progress.
	 * @returns A registry without runs.
	 */
	static create(metrics: Metrics): RunRegistry {
		return new RunRegistry(metrics);
	}

	private readonly fibers = new Map<RequestRecord, Fiber.Fiber<void>>();
	private readonly idleListeners = new Set<() => void>();
	private count = 0;

	private constructor(private readonly metrics: Metrics) {}

	/** Requests in progress. */
	get inProgress(): number {
		return this.count;
	}

	/**
	 * Starts the run of a record. The run does not end with the connection of the caller.
	 *
	 * @param record - The record of the request.
	 * @param run - Completes when the record has ended.
	 */
	start(record: RequestRecord, run: Effect.Effect<void>): void {
		const fiber = Effect.runFork(this.track(run));
		this.fibers.set(record, fiber);
		fiber.addObserver(() => {
			if (this.fibers.get(record) === fiber) {
				this.fibers.delete(record);
			}
		});
	}

	/**
	 * Stops a run: pauses its record immediately and cancels its request at the upstream.
	 *
	 * @param record - The record of the request.
	 * @returns Completes when the run has stopped.
	 */
	stop(record: RequestRecord): Effect.Effect<void> {
		return Effect.suspend(() => {
			const fiber = this.fibers.get(record);
			record.pause();
			return fiber ? Fiber.interrupt(fiber) : Effect.void;
		});
	}

	/**
	 * Counts a run as in progress; the caller of this method executes it.
	 *
	 * @param run - The run.
	 * @returns The same run, counted.
	 */
	track<Answer, Failure>(run: Effect.Effect<Answer, Failure>): Effect.Effect<Answer, Failure> {
		return Effect.suspend(() => {
			this.change(1);
			return run;
		}).pipe(Effect.ensuring(Effect.sync(() => {
			this.change(-1);
		})));
	}

	/** @returns Completes when no run is in progress. */
	whenIdle(): Effect.Effect<void> {
		return Effect.callback<void>(resume => {
			if (this.count === 0) {
				resume(Effect.void);
				return;
			}

			const listener = () => {
				resume(Effect.void);
			};

			this.idleListeners.add(listener);
			return Effect.sync(() => {
				this.idleListeners.delete(listener);
			});
		});
	}

	private change(by: 1 | -1): void {
		this.count += by;
		this.metrics.inProgress.set(this.count);
		if (this.count > 0) {
			return;
		}

		for (const listener of this.idleListeners) {
			listener();
		}

		this.idleListeners.clear();
	}
}
