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
const firstLimitPerUpstream = 8;
/** Factor on the running requests that gives the new limit when upstreams queue requests. */
const decrease = 0.85;
/** Fraction of the limit that is added when the limit is nearly reached and upstreams do not queue requests. */
const increase = 0.1;
/** Mean number of requests queued at an upstream above which the limit is lowered. */
const allowedQueue = 1;
/** Max. expected wait of a request, in milliseconds; its total wait may be twice as long. */
const patience = 1500;
/** One in this many admissions goes to the last request of the queue, so that low priorities are not starved. */
const floorEvery = 20;
/** Weight of the latest tick in the moving average of the drain rate. */
const rateWeight = 0.3;

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
	private inside = 0;
	private waiting: readonly Waiter[] = [];
	private virtualTime = 0;
	private readonly lastTags = new Map<string, number>();
	private admissions = 0;
	/** Moving average of the requests a second that finish. */
	private drainRate = 10;
	private leftSinceTick = 0;
	private tickedAt: number;

	private constructor(private readonly load: () => PoolLoad, private readonly clock: Clock) {
		this.tickedAt = clock.monotonic();
	}

	/** Number of queued requests. */
	get waitingCount(): number {
		return this.waiting.length;
	}

	/** Number of admitted requests that have not finished. */
	get insideCount(): number {
		return this.inside;
	}

	/**
	 * Runs a request once it is admitted.
	 *
	 * @param row - The row that governs the request.
	 * @param cost - Units, against the row's share.
	 * @param use - Runs the request.
	 * @returns The result of `use`; fails with a refusal at once when the expected wait is too long.
	 */
	pass<Answer, Failure>(row: Row, cost: number, use: Effect.Effect<Answer, Failure>): Effect.Effect<Answer, Failure | Refusal> {
		return Effect.uninterruptibleMask(restore => restore(this.enter(row, cost)).pipe(Effect.flatMap(() => restore(use).pipe(Effect.ensuring(Effect.sync(() => {
			this.leave();
		}))))));
	}

	/** Updates load, limit and queue; to be called a few times a second. */
	tick(): void {
		const now = this.clock.monotonic();
		const seconds = Math.max(0.001, (now - this.tickedAt) / 1000);
		this.tickedAt = now;
		if (this.inside > 0) {
			this.drainRate = (this.drainRate * (1 - rateWeight)) + (this.leftSinceTick / seconds * rateWeight);
		}

		this.leftSinceTick = 0;
		this.pool = this.load();
		this.adjustLimit();
		this.admitNext();
		this.refuseHopeless();
	}

	private enter(row: Row, cost: number): Effect.Effect<void, Refusal> {
		return Effect.suspend(() => {
			if (this.waiting.length === 0 && this.inside < this.currentLimit()) {
				this.inside++;
				return Effect.void;
			}

			const waiter = this.enqueue(row, cost);
			this.refuseHopeless();
			return Deferred.await(waiter.admitted).pipe(Effect.onInterrupt(() => Effect.sync(() => {
				this.abandon(waiter);
				if (waiter.isAdmitted) {
					this.leave();
				}
			})));
		});
	}

	/** Called when an admitted request has finished. */
	private leave(): void {
		this.inside--;
		this.leftSinceTick++;
		this.admitNext();
	}

	private currentLimit(): number {
		// The load is cached until the next tick, since computing it over all upstreams for each request is too expensive.
		this.pool ??= this.load();
		const {upstreams} = this.pool;
		if (this.limit === 0 && upstreams > 0) {
			this.limit = upstreams * firstLimitPerUpstream;
		}

		// At least one request for each upstream: an upstream whose load is unknown has to be tried.
		return Math.max(1, upstreams, this.limit);
	}

	private adjustLimit(): void {
		const limit = this.currentLimit();
		const {upstreams, queued} = this.pool!;
		if (queued > allowedQueue) {
			this.limit = Math.max(upstreams, this.inside * decrease);
		} else if (this.inside >= limit * 0.8) {
			this.limit = limit + Math.max(1, limit * increase);
		}
	}

	private enqueue(row: Row, cost: number): Waiter {
		const name = rowName(row);
		const start = Math.max(this.virtualTime, this.lastTags.get(name) ?? 0);
		const finishTag = start + (cost / row.share);
		this.lastTags.set(name, finishTag);
		const waiter: Waiter = {
			row, finishTag, enteredAt: this.clock.monotonic(), admitted: Deferred.makeUnsafe<void, Refusal>(), isAdmitted: false,
		};
		this.waiting = [...this.waiting, waiter].sort((left, right) => left.row.priority - right.row.priority || left.finishTag - right.finishTag);
		return waiter;
	}

	private admitNext(): void {
		while (this.waiting.length > 0 && this.inside < this.currentLimit()) {
			this.admissions++;
			const waiter = this.waiting.at(this.admissions % floorEvery === 0 ? -1 : 0)!;
			this.abandon(waiter);
			this.virtualTime = Math.max(this.virtualTime, waiter.finishTag);
			this.inside++;
			waiter.isAdmitted = true;
			Deferred.doneUnsafe(waiter.admitted, Effect.void);
		}

		if (this.waiting.length === 0 && this.lastTags.size > 1000) {
			this.lastTags.clear();
		}
	}

	/** Refuses the queued requests whose total or expected wait is too long. */
	private refuseHopeless(): void {
		const now = this.clock.monotonic();
		const hopeless = this.waiting.filter((waiter, index) => {
			const expected = (index + 1) / Math.max(0.1, this.drainRate) * 1000;
			return (now - waiter.enteredAt) + Math.min(expected, patience * 2) > patience * 2 || expected > patience;
		});
		for (const waiter of hopeless) {
			const index = this.waiting.indexOf(waiter);
			this.abandon(waiter);
			Deferred.doneUnsafe(waiter.admitted, Effect.fail(Refusal.create(
				'capacity-short',
				'Every upstream of the pool is full, and requests of this priority would wait too long. Come back later.',
				{retryAfter: Math.max(1, Math.ceil((index + 1) / Math.max(0.1, this.drainRate)))},
			)));
		}
	}

	private abandon(waiter: Waiter): void {
		this.waiting = this.waiting.filter(other => other !== waiter);
	}
}
