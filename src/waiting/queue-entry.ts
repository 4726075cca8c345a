/**
 * A request in the queue, with the state of its decisions.
 */
import type {AccountPosition} from './account-order.js';
import {maxFillInGoals} from './fill-level.js';
import type {QueueRefusalReason, WaitingRequest} from './waiting-request.js';

/** Identifies a request that joined the queue. */
export type Ticket = {
	readonly request: WaitingRequest;
	/** Position in the order of arrival; increases with each request. */
	readonly number: number;
};

/** Facts with which a request joins. */
export type EntryFacts = Ticket & {
	/** Whether its client was refused before and returns at the time that it was given. */
	readonly isReturning: boolean;
	/** The position of its client account in a shortage. */
	readonly account: AccountPosition;
	/** Monotonic milliseconds. */
	readonly joinedAt: number;
};

/** Whether a request waits, or how it left the queue. */
export type EntryState = 'waiting' | 'placed' | 'left' | 'refused';

/** A request that joined the queue. */
export class QueueEntry implements Ticket {
	/**
	 * @param facts - Facts of the request.
	 * @returns A waiting entry.
	 */
	static create(facts: EntryFacts): QueueEntry {
		return new QueueEntry(facts);
	}

	readonly request: WaitingRequest;
	readonly number: number;
	readonly isReturning: boolean;
	readonly account: AccountPosition;
	/** Milliseconds from arrival to goal. */
	readonly goal: number;
	/** Milliseconds of work at a replica; zero if the expectation is not a positive number. */
	readonly work: number;
	/**
	 * Monotonic milliseconds after which its goal can no longer be met at a replica that is filled to the greatest level. With less reserve,
	 * the earliest goal first serves nearly all requests just too late in a shortage, since costs and remaining work are estimates.
	 */
	readonly lateAt: number;
	/** Monotonic milliseconds of the last decision, or of joining. */
	examinedAt: number;
	/** Whether a replica had room at the last decision; `undefined` before the first one. */
	hasRoom: boolean | undefined;
	state: EntryState = 'waiting';
	/** Why it is refused at its next decision. */
	refusal: QueueRefusalReason | undefined;
	private lastExamination = 0;
	/** Number of the decision since which each one found room. */
	private roomSince = Number.POSITIVE_INFINITY;

	private constructor(facts: EntryFacts) {
		this.request = facts.request;
		this.number = facts.number;
		this.isReturning = facts.isReturning;
		this.account = facts.account;
		this.examinedAt = facts.joinedAt;
		this.goal = facts.request.goalAt - facts.request.arrivedAt;
		const {reading} = facts.request.cost;
		this.work = Number.isFinite(reading) ? Math.max(0, reading) : 0;
		this.lateAt = facts.request.goalAt - this.work - (this.goal * maxFillInGoals);
	}

	/**
	 * @param now - Monotonic milliseconds.
	 * @returns Whether its goal can no longer be met.
	 */
	isLate(now: number): boolean {
		return now > this.lateAt;
	}

	/**
	 * @param now - Monotonic milliseconds.
	 * @param number - Number of the decision; increases with each decision of the service.
	 * @param hasRoom - Whether a replica that may serve it has room.
	 */
	examine(now: number, number: number, hasRoom: boolean): void {
		this.examinedAt = now;
		this.lastExamination = number;
		this.hasRoom = hasRoom;
		this.roomSince = hasRoom ? Math.min(this.roomSince, number) : Number.POSITIVE_INFINITY;
	}

	/**
	 * @param other - A request behind this one, which was just examined.
	 * @returns Whether this one was examined since the other found room, and found none: its replicas are others.
	 */
	hasDeclinedRoomOf(other: QueueEntry): boolean {
		return this.hasRoom === false && this.lastExamination > other.roomSince;
	}
}
