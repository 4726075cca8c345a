/**
 * Queue of requests on one box that wait because all replicas of their service announced a rate limit and have no capacity left. More urgent
 * requests go first; a request that cannot be served in time is refused with a retry delay.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';

/** A waiting request. */
export type QueuedRequest = {
	readonly service: string;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Position in the order of arrival; increases with each request. */
	readonly number: number;
};

/** Input for a retry delay. */
export type Shortage = {
	readonly service: string;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Milliseconds until the request could be sent. */
	readonly untilCapacity: number;
	/** Requests per second that this box may send to replicas of the service. */
	readonly rate: number;
};

/** Longest retry delay in milliseconds, before jitter; limits end, and other boxes may have capacity. */
const maxRetryDelay = 8000;
/** Width of the jitter as a share of the retry delay; without it, clients that are refused together would return together. */
const jitterShare = 0.5;
const millisecondsPerSecond = 1000;

/** Waiting requests of all services. */
export class LimitQueue {
	/**
	 * @param clock - For the retry delays.
	 * @param random - Returns a number from 0 to 1.
	 * @returns An empty queue.
	 */
	static create(clock: Clock, random: () => number = Math.random): LimitQueue {
		return new LimitQueue(clock, random);
	}

	private readonly waiting = new Set<QueuedRequest>();
	private lastNumber = 0;
	/** Monotonic milliseconds until which this box's capacity is reserved for refused clients that will retry, by service and urgency. */
	private readonly reservedUntil = new Map<string, Map<number, number>>();

	private constructor(private readonly clock: Clock, private readonly random: () => number) {}

	/**
	 * @param service - Name of a service.
	 * @param urgency - Zero is the most urgent.
	 * @returns The waiting request; the caller must pass it to {@link leave}.
	 */
	join(service: string, urgency: number): QueuedRequest {
		this.lastNumber++;
		const request = {service, urgency, number: this.lastNumber};
		this.waiting.add(request);
		return request;
	}

	/** @param request - A request that no longer waits. */
	leave(request: QueuedRequest): void {
		this.waiting.delete(request);
	}

	/**
	 * @param request - A waiting request.
	 * @returns Number of requests of its service ahead of it.
	 */
	positionOf(request: QueuedRequest): number {
		return [...this.waiting].filter(other => isAheadOf(other, request)).length;
	}

	/**
	 * @param request - A waiting request, or one that has just arrived.
	 * @returns Whether another request of its service is ahead of it.
	 */
	hasRequestAhead(request: QueuedRequest): boolean {
		return this.waiting.size > 0 && this.positionOf(request) > 0;
	}

	/**
	 * Reserves a share of this box's future capacity for a refused request, after all reservations of the same or a higher urgency.
	 *
	 * @param shortage - The refused request and the available rate.
	 * @returns Milliseconds after which the client should retry.
	 */
	reserveRetryDelay({service, urgency, untilCapacity, rate}: Shortage): number {
		const now = this.clock.monotonic();
		const reservations = getOrCreate(this.reservedUntil, service, () => new Map<number, number>());
		const before = [...reservations].filter(([other]) => other <= urgency).map(([, until]) => until);
		const earliest = Math.max(now + Math.min(untilCapacity, maxRetryDelay), ...before);
		const wait = Math.min(maxRetryDelay, earliest - now + (rate > 0 ? millisecondsPerSecond / rate : maxRetryDelay));
		reservations.set(urgency, now + wait);
		return wait * (1 + (jitterShare * (this.random() - 0.5)));
	}
}

function isAheadOf(left: QueuedRequest, right: QueuedRequest): boolean {
	return left.service === right.service && (left.urgency < right.urgency || (left.urgency === right.urgency && left.number < right.number));
}
