/**
 * The waiting requests of one service, in their order.
 *
 * @remarks
 * The load pattern: more requests arrive than replicas serve, of several urgencies and goals. The earliest goal first serves the most
 * requests in time as long as all goals can be met; beyond that it would serve each request just too late, so that requests whose goal can
 * no longer be met go behind all others of their urgency. The order changes with time and with the work given to accounts. It is therefore
 * compared anew in each decision, in one pass over the requests, rather than kept.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import {RateMeter} from '../base/rate-meter.js';
import {sumOf} from '../base/sum.js';
import {AccountOrder} from './account-order.js';
import {fillLevel} from './fill-level.js';
import type {QueueEntry} from './queue-entry.js';

/**
 * Milliseconds without a decision after which a request no longer blocks those behind it: its caller has stopped asking. Decisions are at
 * most 50 ms apart; the remainder covers pauses of the process.
 */
const maxSilence = 1000;

/** What is ahead of a request in the queue. */
export type Ahead = {
	/** Milliseconds of expected work of the requests before it. */
	readonly work: number;
	/** Remaining work, in milliseconds, below which a replica has room for it and for all requests before it. */
	readonly level: number;
	/** Milliseconds of work a second that requests which arrive later take before it. */
	readonly takenBefore: number;
	/** The same once its goal can no longer be met. */
	readonly takenBeforeLate: number;
};

type OrderFacts = {readonly now: number; readonly isShort: boolean; readonly isLate: boolean};

/** The waiting requests of one service. */
export class ServiceQueue {
	/**
	 * @param clock - For goals, silence and rates.
	 * @returns An empty queue.
	 */
	static create(clock: Clock): ServiceQueue {
		return new ServiceQueue(clock);
	}

	/** Client accounts in a shortage. */
	readonly accounts: AccountOrder;
	private readonly entries = new Set<QueueEntry>();
	/** Rate of the work placed in time, by urgency. */
	private readonly placed = new Map<number, RateMeter>();
	/** The part of it of clients that returned at their time. */
	private readonly placedReturns = new Map<number, RateMeter>();

	private constructor(private readonly clock: Clock) {
		this.accounts = AccountOrder.create(clock);
	}

	/** The waiting requests in the order of arrival. */
	get waiting(): readonly QueueEntry[] {
		return [...this.entries];
	}

	/** @param entry - A request that waits from now on. */
	add(entry: QueueEntry): void {
		this.entries.add(entry);
	}

	/** @param entry - A request that no longer waits. */
	delete(entry: QueueEntry): void {
		this.entries.delete(entry);
	}

	/** @param entry - A request that is placed now. */
	recordPlacement({request: {urgency}, work, isReturning, lateAt}: QueueEntry): void {
		if (this.clock.monotonic() > lateAt) {
			return;
		}

		for (const meters of isReturning ? [this.placed, this.placedReturns] : [this.placed]) {
			getOrCreate(meters, urgency, () => RateMeter.create(this.clock)).addSample(work);
		}
	}

	/**
	 * @param entry - A request.
	 * @returns The waiting requests before it, in no order.
	 */
	before(entry: QueueEntry): readonly QueueEntry[] {
		const now = this.clock.monotonic();
		const facts = {now, isShort: this.accounts.isShort, isLate: entry.isLate(now)};
		const before: QueueEntry[] = [];
		for (const other of this.entries) {
			if (other !== entry && this.compare(other, entry, facts) < 0) {
				before.push(other);
			}
		}

		return before;
	}

	/**
	 * The level is the least of the request and of those before it: with the higher level of a longer goal, less urgent requests would keep
	 * all replicas above the level of more urgent ones.
	 *
	 * @param entry - A request.
	 * @param before - The requests before it.
	 * @param age - Age of the knowledge of the replicas, in milliseconds.
	 * @returns What is ahead of it.
	 */
	aheadOf(entry: QueueEntry, before: readonly QueueEntry[], age: number): Ahead {
		let work = 0;
		let {goal} = entry;
		for (const other of before) {
			work += other.work;
			goal = Math.min(goal, other.goal);
		}

		const takenBeforeLate = this.takenBeforeLate(entry);
		return {
			work, level: fillLevel(goal, age), takenBeforeLate, takenBefore: entry.isLate(this.clock.monotonic()) ? takenBeforeLate : this.takenBefore(entry),
		};
	}

	/**
	 * @param entry - A request that was just examined and found room.
	 * @param before - The requests before it.
	 * @returns Whether one of those before it may take the room. One that found no room since this request found it uses other replicas.
	 */
	isBlocked(entry: QueueEntry, before: readonly QueueEntry[]): boolean {
		const now = this.clock.monotonic();
		return before.some(other => now - other.examinedAt < maxSilence && !other.hasDeclinedRoomOf(entry));
	}

	/**
	 * Requests that arrive later go before a waiting one if they are more urgent, or if their clients return at their time. This is measured
	 * by what was placed rather than by what arrives: refused clients that return at once arrive many times.
	 */
	private takenBefore({request: {urgency}, isReturning}: QueueEntry): number {
		return sumOf([...this.placed].filter(([other]) => other < urgency).map(([, {rate}]) => rate))
			+ (isReturning ? 0 : this.placedReturns.get(urgency)?.rate ?? 0);
	}

	/** All requests of the same urgency whose goals can be met go before a late one. */
	private takenBeforeLate({request: {urgency}}: QueueEntry): number {
		return sumOf([...this.placed].filter(([other]) => other <= urgency).map(([, {rate}]) => rate));
	}

	/** Negative if the left request goes first; the facts are those of the right one. */
	private compare(left: QueueEntry, right: QueueEntry, {isShort, isLate, now}: OrderFacts): number {
		return (left.request.urgency - right.request.urgency)
			|| (Number(now > left.lateAt) - Number(isLate))
			|| (Number(right.isReturning) - Number(left.isReturning))
			|| (isShort ? left.account.virtualTime - right.account.virtualTime : 0)
			|| (left.request.goalAt - right.request.goalAt)
			|| (left.number - right.number);
	}
}
