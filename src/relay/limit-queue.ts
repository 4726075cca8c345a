/**
 * Requests of one box that wait since all replicas of their service have named limits and none has room: the more urgent go first, and who cannot be
 * served in time is told when to come back.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';

/** A request that waits. */
export type QueuedRequest = {
	readonly service: string;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Rises with each that comes. */
	readonly number: number;
};

/** What the time to come back rests on. */
export type Shortage = {
	readonly service: string;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Milliseconds until the next of those that wait here could be sent. */
	readonly untilRoom: number;
	/** Requests a second that this box may send to replicas of the service. */
	readonly rate: number;
};

/** Milliseconds for which somebody is told to stay away at most: limits end, and other boxes have room. */
const longestAbsence = 8000;
/** By how much of itself the time to come back varies: those that are refused at once would else come at once. */
const spread = 0.5;
const millisecondsPerSecond = 1000;

/** The requests of all services that wait. */
export class LimitQueue {
	/**
	 * @param clock - For the times to come back.
	 * @param random - Gives a number from 0 to 1.
	 * @returns A queue in which nobody waits.
	 */
	static create(clock: Clock, random: () => number = Math.random): LimitQueue {
		return new LimitQueue(clock, random);
	}

	private readonly waiting = new Set<QueuedRequest>();
	private joined = 0;
	/** Monotonic milliseconds up to which this box's room is promised to those who were refused, by service and urgency. */
	private readonly promised = new Map<string, Map<number, number>>();

	private constructor(private readonly clock: Clock, private readonly random: () => number) {}

	/**
	 * @param service - Name of a service.
	 * @param urgency - Zero is the most urgent.
	 * @returns The request that waits; it must leave again.
	 */
	join(service: string, urgency: number): QueuedRequest {
		this.joined++;
		const request = {service, urgency, number: this.joined};
		this.waiting.add(request);
		return request;
	}

	/** @param request - One that waits no longer. */
	leave(request: QueuedRequest): void {
		this.waiting.delete(request);
	}

	/**
	 * @param request - One that waits.
	 * @returns How many of its service go before it.
	 */
	placeOf(request: QueuedRequest): number {
		return [...this.waiting].filter(other => isBefore(other, request)).length;
	}

	/**
	 * @param request - One that waits, or that has just come.
	 * @returns Whether another of its service goes before it.
	 */
	hasBefore(request: QueuedRequest): boolean {
		return this.waiting.size > 0 && this.placeOf(request) > 0;
	}

	/**
	 * Gives each that is refused its own part of the room that this box will have; the less urgent come after all more urgent ones.
	 *
	 * @param shortage - What it rests on.
	 * @returns Milliseconds after which to come back.
	 */
	comeBackAfter({service, urgency, untilRoom, rate}: Shortage): number {
		const now = this.clock.monotonic();
		const promises = getOrCreate(this.promised, service, () => new Map<number, number>());
		const before = [...promises].filter(([other]) => other <= urgency).map(([, until]) => until);
		const earliest = Math.max(now + Math.min(untilRoom, longestAbsence), ...before);
		const wait = Math.min(longestAbsence, earliest - now + (rate > 0 ? millisecondsPerSecond / rate : longestAbsence));
		promises.set(urgency, now + wait);
		return wait * (1 + (spread * (this.random() - 0.5)));
	}
}

function isBefore(left: QueuedRequest, right: QueuedRequest): boolean {
	return left.service === right.service && (left.urgency < right.urgency || (left.urgency === right.urgency && left.number < right.number));
}
