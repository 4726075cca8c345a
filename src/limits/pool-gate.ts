/**
 * Admission control of a pool: queues requests while its upstreams are full, and refuses a request at once when it would time out in
 * the queue. Priorities are strict except for a small minimum for the lowest; within a priority, rows are served by their shares.
 *
 * @remarks Sources: start-time fair queueing (Goyal, Vin and Cheng, 1996); additive increase and
 * multiplicative decrease of concurrency, as in TCP.
 */
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import {Refusal} from '../base/verdict.js';
import {type Row, rowName} from '../table/table.js';

/** Initial concurrency limit of a box, for each upstream of a pool. */
const initialLimitPerUpstream = 8;
/** Factor on the running requests that gives the new limit when upstreams queue requests. */
const limitDecrease = 0.85;
/** Fraction of the limit that is added when the limit is nearly reached and upstreams do not queue requests. */
const limitIncrease = 0.1;
/** Mean number of requests queued at an upstream above which the limit is lowered. */
const maxMeanQueue = 1;
/** Max. expected wait of a request, in milliseconds; its total wait may be twice as long. */
const maxExpectedWait = 1500;
/** One in this many admissions goes to the last request of the queue, so that low priorities are not starved. */
const antiStarvationInterval = 20;
/** Weight of the latest tick in the moving average of the drain rate. */
const drainRateWeight = 0.3;

/** Load of a pool. */
export type PoolLoad = {
	/** Number of upstreams that accept requests. */
	readonly upstreams: number;
	/** Mean number of requests queued at an upstream. */
	readonly queued: number;
};

type Waiter = {
	readonly row: Row;
	readonly finishTag: number;
	readonly enteredAt: number;
	readonly admitted: Deferred.Deferred<void, Refusal>;
	isAdmitted: boolean;
};

/** Admission control of one pool on one box. */
export class PoolGate {
	/**
	 * @param load - Returns the load of the pool.
	 * @param clock - For waiting times.
	 * @returns A gate without requests.
	 */
	static create(load: () => PoolLoad, clock: Clock): PoolGate {
		return new PoolGate(load, clock);
	}

	private limit = 0;
	private pool: PoolLoad | undefined;
	private running = 0;
	private queue: readonly Waiter[] = [];
	private virtualTime = 0;
	private readonly lastFinishTags = new Map<string, number>();
	private admissions = 0;
	/** Moving average of the requests a second that finish. */
	private drainRate = 10;
	private finishedSinceTick = 0;
	private tickedAt: number;

	private constructor(private readonly load: () => PoolLoad, private readonly clock: Clock) {
		this.tickedAt = clock.monotonic();
	}

	/** Number of queued requests. */
	get waitingCount(): number {
		return this.queue.length;
	}

	/** Number of admitted requests that have not finished. */
	get runningCount(): number {
		return this.running;
	}

	/**
	 * Runs a request once it is admitted.
	 *
	 * @param row - The row that governs the request.
	 * @param cost - Units, against the row's share.
	 * @param use - Runs the request.
	 * @returns The result of `use`; fails with a refusal at once when the expected wait is too long.
	 */
	run<Answer, Failure>(row: Row, cost: number, use: Effect.Effect<Answer, Failure>): Effect.Effect<Answer, Failure | Refusal> {
		return Effect.uninterruptibleMask(restore => restore(this.admit(row, cost)).pipe(Effect.flatMap(() => restore(use).pipe(Effect.ensuring(Effect.sync(() => {
			this.finish();
		}))))));
	}

	/** Updates load, limit and queue; to be called a few times a second. */
	tick(): void {
		const now = this.clock.monotonic();
		const seconds = Math.max(0.001, (now - this.tickedAt) / 1000);
		this.tickedAt = now;
		if (this.running > 0) {
			this.drainRate = (this.drainRate * (1 - drainRateWeight)) + (this.finishedSinceTick / seconds * drainRateWeight);
		}

		this.finishedSinceTick = 0;
		this.pool = this.load();
		this.adjustLimit();
		this.admitNext();
		this.refuseExcess();
	}

	private admit(row: Row, cost: number): Effect.Effect<void, Refusal> {
		return Effect.suspend(() => {
			if (this.queue.length === 0 && this.running < this.currentLimit()) {
				this.running++;
				return Effect.void;
			}

			const waiter = this.enqueue(row, cost);
			this.refuseExcess();
			return Deferred.await(waiter.admitted).pipe(Effect.onInterrupt(() => Effect.sync(() => {
				this.removeFromQueue(waiter);
				if (waiter.isAdmitted) {
					this.finish();
				}
			})));
		});
	}

	/** Called when an admitted request has finished. */
	private finish(): void {
		this.running--;
		this.finishedSinceTick++;
		this.admitNext();
	}

	private currentLimit(): number {
		// The load is cached until the next tick, since computing it over all upstreams for each request is too expensive.
		this.pool ??= this.load();
		const {upstreams} = this.pool;
		if (this.limit === 0 && upstreams > 0) {
			this.limit = upstreams * initialLimitPerUpstream;
		}

		// At least one request for each upstream: an upstream whose load is unknown has to be tried.
		return Math.max(1, upstreams, this.limit);
	}

	private adjustLimit(): void {
		const limit = this.currentLimit();
		const {upstreams, queued} = this.pool!;
		if (queued > maxMeanQueue) {
			this.limit = Math.max(upstreams, this.running * limitDecrease);
		} else if (this.running >= limit * 0.8) {
			this.limit = limit + Math.max(1, limit * limitIncrease);
		}
	}

	private enqueue(row: Row, cost: number): Waiter {
		const name = rowName(row);
		const start = Math.max(this.virtualTime, this.lastFinishTags.get(name) ?? 0);
		const finishTag = start + (cost / row.share);
		this.lastFinishTags.set(name, finishTag);
		const waiter: Waiter = {
			row, finishTag, enteredAt: this.clock.monotonic(), admitted: Deferred.makeUnsafe<void, Refusal>(), isAdmitted: false,
		};
		this.queue = [...this.queue, waiter].sort((left, right) => left.row.priority - right.row.priority || left.finishTag - right.finishTag);
		return waiter;
	}

	private admitNext(): void {
		while (this.queue.length > 0 && this.running < this.currentLimit()) {
			this.admissions++;
			const waiter = this.queue.at(this.admissions % antiStarvationInterval === 0 ? -1 : 0)!;
			this.removeFromQueue(waiter);
			this.virtualTime = Math.max(this.virtualTime, waiter.finishTag);
			this.running++;
			waiter.isAdmitted = true;
			Deferred.doneUnsafe(waiter.admitted, Effect.void);
		}

		if (this.queue.length === 0 && this.lastFinishTags.size > 1000) {
			this.lastFinishTags.clear();
		}
	}

	/** Refuses the queued requests whose total or expected wait is too long. */
	private refuseExcess(): void {
		const now = this.clock.monotonic();
		const excess = this.queue.filter((waiter, index) => {
			const expected = (index + 1) / Math.max(0.1, this.drainRate) * 1000;
			return (now - waiter.enteredAt) + Math.min(expected, maxExpectedWait * 2) > maxExpectedWait * 2 || expected > maxExpectedWait;
		});
		for (const waiter of excess) {
			const index = this.queue.indexOf(waiter);
			this.removeFromQueue(waiter);
			Deferred.doneUnsafe(waiter.admitted, Effect.fail(Refusal.create(
				'capacity-short',
				'Every upstream of the pool is full, and requests of this priority would wait too long. Come back later.',
				{retryAfter: Math.max(1, Math.ceil((index + 1) / Math.max(0.1, this.drainRate)))},
			)));
		}
	}

	private removeFromQueue(waiter: Waiter): void {
		this.queue = this.queue.filter(other => other !== waiter);
	}
}
