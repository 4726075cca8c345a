/**
 * Holds requests of a pool back while its upstreams are full, and refuses at once what would only wait to
 * fail. Priorities are strict but for a small floor; within one, rows share by weight.
 *
 * @remarks Sources: start-time fair queueing (Goyal, Vin and Cheng, 1996); additive increase and
 * multiplicative decrease of concurrency, as in TCP.
 */
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import {Refusal} from '../base/verdict.js';
import {type Row, rowName} from '../table/table.js';

/** Requests a box starts with for each upstream of a pool. */
const firstLimitPerUpstream = 8;
/** Part of the limit that is kept when upstreams queue. */
const decrease = 0.85;
const increase = 0.1;
/** Requests an upstream may queue before the gate narrows. */
const allowedQueue = 1;
/** Milliseconds a request waits at most for its turn. */
const patience = 1500;
/** Every so many requests, one that is last in line goes first. */
const floorEvery = 20;
const rateWeight = 0.3;

/** What the gate asks of a pool. */
export type PoolLoad = {
	/** Upstreams that may get work. */
	readonly upstreams: number;
	/** Requests that wait at them, in the mean. */
	readonly queued: number;
};

type Waiter = {
	readonly row: Row;
	readonly finishTag: number;
	readonly enteredAt: number;
	readonly admitted: Deferred.Deferred<void, Refusal>;
	isAdmitted: boolean;
};

/** One pool's gate on one box. */
export class PoolGate {
	/**
	 * @param load - Asks how full the pool is.
	 * @param clock - For waiting times.
	 * @returns An open gate.
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
	/** Requests a second that leave. */
	private drainRate = 10;
	private leftSinceTick = 0;
	private tickedAt: number;

	private constructor(private readonly load: () => PoolLoad, private readonly clock: Clock) {
		this.tickedAt = clock.monotonic();
	}

	/** Requests that wait. */
	get waitingCount(): number {
		return this.waiting.length;
	}

	/** Requests that are inside. */
	get insideCount(): number {
		return this.inside;
	}

	/**
	 * Runs a request when its turn has come.
	 *
	 * @param row - The row that governs the request.
	 * @param cost - Units, against the row's share.
	 * @param use - Runs the request.
	 * @returns What `use` returns; refused at once when the turn would come too late.
	 */
	pass<Answer, Failure>(row: Row, cost: number, use: Effect.Effect<Answer, Failure>): Effect.Effect<Answer, Failure | Refusal> {
		return Effect.uninterruptibleMask(restore => restore(this.enter(row, cost)).pipe(Effect.flatMap(() => restore(use).pipe(Effect.ensuring(Effect.sync(() => {
			this.leave();
		}))))));
	}

	/** Looks at the pool again; to be called a few times a second. */
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

	/** A request that entered has ended. */
	private leave(): void {
		this.inside--;
		this.leftSinceTick++;
		this.admitNext();
	}

	private currentLimit(): number {
		// Looked at with each tick: asking all upstreams for each request would cost more than the request.
		this.pool ??= this.load();
		const {upstreams} = this.pool;
		if (this.limit === 0 && upstreams > 0) {
			this.limit = upstreams * firstLimitPerUpstream;
		}

		// Never closed: an upstream that is unknown to be free has to be tried.
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

	/** Refuses, from the end of the line, whoever would wait longer than is any use. */
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
