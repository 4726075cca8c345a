/**
 * The runs of this box: what is in progress, so that a stop can wait for it.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Metrics} from '../base/metrics.js';
import type {RequestRecord} from '../records/request-record.js';

/** Holds the runs. */
export class RunRegistry {
	/**
	 * @param metrics - Where runs in progress are shown.
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
	 * Starts the run of a record; it outlives the connection it came by.
	 *
	 * @param record - What runs.
	 * @param run - Ends with the record.
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
	 * Stops a run: its record is paused at once, and its request is cancelled at the upstream.
	 *
	 * @param record - What runs.
	 * @returns Ends when it has stopped.
	 */
	stop(record: RequestRecord): Effect.Effect<void> {
		return Effect.suspend(() => {
			const fiber = this.fibers.get(record);
			record.pause();
			return fiber ? Fiber.interrupt(fiber) : Effect.void;
		});
	}

	/**
	 * Counts a run that somebody else waits for.
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

	/** @returns Ends when nothing is in progress. */
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
