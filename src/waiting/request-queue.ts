/**
 * Decides which requests wait in a box, in which order, when one is placed at a replica, and when one is refused.
 *
 * @remarks
 * The load pattern: replicas read prompts in order of arrival, so that an urgent request waits behind all that boxes have sent before it.
 * Requests therefore wait in the box, in their own order, while all replicas have enough work (docs/design/scheduling.md, part 4). Each
 * request asks for its next step in a loop of its own.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import {expectedWait, waitLimit} from './expected-wait.js';
import {examinationInterval, hasRoomBelow} from './fill-level.js';
import {excessRequests, queueBounds, type QueueBounds} from './queue-bounds.js';
import {QueueCounts, type QueueMetrics} from './queue-counts.js';
import {QueueEntry, type Ticket} from './queue-entry.js';
import {ReturnTimes} from './return-times.js';
import {ServiceQueue} from './service-queue.js';
import type {
	QueueDecision, QueueRefusal, QueueRefusalReason, Room, WaitingRequest,
} from './waiting-request.js';

/** Dependencies of the queue. */
export type RequestQueueParts = {
	readonly clock: Clock;
	/** @returns A number from 0 to 1. */
	readonly random: () => number;
	/** Bounds of what waits. */
	readonly bounds?: QueueBounds;
};

/** A waiting request, for operators. Durations are in milliseconds. */
export type WaitingState = {
	readonly service: string;
	readonly clientAccount: string | undefined;
	readonly urgency: number;
	/** Time since the box received it. */
	readonly waited: number;
	/** Time to its goal; negative once that has passed. */
	readonly timeToGoal: number;
	/** Expected time that a replica reads it. */
	readonly expectedCost: number;
	/** What it waits for; `undefined` before its first decision. */
	readonly waitsFor: 'room' | 'requests-before-it' | undefined;
};

/** The requests that wait in a box. */
export class RequestQueue {
	/**
	 * @param parts - Its dependencies.
	 * @returns An empty queue.
	 */
	static create(parts: RequestQueueParts): RequestQueue {
		return new RequestQueue(parts);
	}

	private readonly services = new Map<string, ServiceQueue>();
	private readonly returnTimes = new Map<string, ReturnTimes>();
	private readonly counts = new QueueCounts();
	private lastNumber = 0;
	private lastDecision = 0;
	/** Monotonic milliseconds until which waiting requests are placed when the box stops; `undefined` while it runs. */
	private placesUntil: number | undefined;

	private constructor(private readonly parts: RequestQueueParts) {}

	/**
	 * Beyond the bounds, the request that is least urgent and has the latest goal is refused at its next decision; that may be this one.
	 *
	 * @param request - A request that is to be placed at a replica. One that was placed and has to be sent again joins again.
	 * @returns Its ticket, which the caller must pass to {@link leave} when the request ends.
	 */
	join(request: WaitingRequest): Ticket {
		this.lastNumber++;
		const queue = this.queueOf(request.service);
		const entry = QueueEntry.create({
			request,
			number: this.lastNumber,
			isReturning: this.returnTimesOf(request.service).redeem(request.returnKey),
			account: queue.accounts.positionOf(request.clientAccount),
			joinedAt: this.parts.clock.monotonic(),
		});
		const excess = excessRequests(this.waiting, entry, this.parts.bounds ?? queueBounds);
		queue.add(entry);
		this.refuseNext(excess, 'queue-full');
		if (this.placesUntil !== undefined) {
			this.refuseNext([entry], 'box-stopping');
		}

		return entry;
	}

	/**
	 * @param ticket - Ticket of a request that waits, or was refused since its last decision.
	 * @param room - Room at the replicas that may serve it.
	 * @returns Its next step. A request that is placed or refused does not wait any longer.
	 * @throws Error for a ticket that was placed, refused or left before: the queue does not know whether its request ran.
	 */
	decide(ticket: Ticket, room: Room): QueueDecision {
		const entry = entryOf(ticket);
		if (entry.state === 'refused' && entry.refusal !== undefined) {
			return this.refuse(entry, room, entry.refusal);
		}

		if (entry.state !== 'waiting') {
			throw new Error(`The request does not wait: ${entry.state}.`);
		}

		return this.decideWaiting(entry, room);
	}

	/** @param ticket - Ticket of a request that has ended, for whatever reason; it may have left before. */
	leave(ticket: Ticket): void {
		const entry = entryOf(ticket);
		if (entry.state === 'waiting') {
			this.remove(entry, 'left');
		} else if (entry.state === 'refused') {
			entry.state = 'left';
		}
	}

	/**
	 * Stops the queue, with the box. Requests that wait are placed while that is expected to be possible in the time; all others, and those
	 * that join later, are refused with a retry delay of zero, since other boxes can serve them at once.
	 *
	 * @param time - Milliseconds for which the box still places requests.
	 */
	stop(time: number): void {
		this.placesUntil = Math.min(this.placesUntil ?? Number.POSITIVE_INFINITY, this.parts.clock.monotonic() + time);
	}

	/**
	 * Refuses all requests that wait for a service now, at their next decision.
	 *
	 * @param service - Name of the service.
	 * @returns Number of requests that are refused.
	 */
	drain(service: string): number {
		const waiting = this.services.get(service)?.waiting ?? [];
		this.refuseNext(waiting, 'drained');
		return waiting.length;
	}

	/** @returns The waiting requests, in the order of arrival within a service. */
	snapshot(): readonly WaitingState[] {
		const now = this.parts.clock.monotonic();
		return this.waiting.map(({request, work, hasRoom}) => ({
			service: request.service,
			clientAccount: request.clientAccount,
			urgency: request.urgency,
			waited: now - request.arrivedAt,
			timeToGoal: request.goalAt - now,
			expectedCost: work,
			waitsFor: describeWait(hasRoom),
		}));
	}

	/** @returns Figures for metrics. */
	metrics(): QueueMetrics {
		return this.counts.metrics(this.waiting);
	}

	/** Placement comes before refusal: a request for which there is room is not refused because its expected wait was long. */
	private decideWaiting(entry: QueueEntry, room: Room): QueueDecision {
		const {request: {service, clientAccount}} = entry;
		const queue = this.queueOf(service);
		const now = this.parts.clock.monotonic();
		queue.accounts.record(clientAccount, room.share);
		const before = queue.before(entry);
		const ahead = queue.aheadOf(entry, before, room.age);
		const hasRoom = hasRoomBelow(room, ahead.level);
		this.lastDecision++;
		entry.examine(now, this.lastDecision, hasRoom);
		if (now >= Math.min(entry.request.deadlineAt, this.placesUntil ?? Number.POSITIVE_INFINITY)) {
			return this.refuse(entry, room, now >= entry.request.deadlineAt ? 'deadline-out-of-reach' : 'box-stopping');
		}

		if (hasRoom && !queue.isBlocked(entry, before)) {
			return this.place(entry, queue);
		}

		// A box that stops gets no more requests that would go before this one.
		const arrivals = this.placesUntil === undefined ? ahead : {...ahead, takenBefore: 0, takenBeforeLate: 0};
		const {untilPlaced, untilRead} = expectedWait(room, arrivals, entry.lateAt - now);
		const {time, reason} = waitLimit(entry, now);
		if (untilRead > time || now + examinationInterval.min > entry.request.deadlineAt) {
			return this.refuse(entry, room, reason, untilPlaced);
		}

		if (this.placesUntil !== undefined && Math.max(examinationInterval.min, untilPlaced) > this.placesUntil - now) {
			return this.refuse(entry, room, 'box-stopping');
		}

		return {kind: 'wait', wait: Math.max(examinationInterval.min, Math.min(time, waitUntilExamined(before.length, untilPlaced)))};
	}

	private place(entry: QueueEntry, queue: ServiceQueue): QueueDecision {
		queue.recordPlacement(entry);
		this.counts.recordWait(entry, this.parts.clock.monotonic() - entry.request.arrivedAt);
		this.remove(entry, 'placed');
		return {kind: 'place'};
	}

	private refuse(entry: QueueEntry, room: Room, reason: QueueRefusalReason, untilRoom = 0): QueueRefusal {
		const {request, work} = entry;
		this.remove(entry, 'left');
		this.counts.recordRefusal(request.service, reason);
		const client = {
			urgency: request.urgency, work, rate: room.rate, untilRoom, timeLeft: request.deadlineAt - this.parts.clock.monotonic(), key: request.returnKey,
		};
		const retryDelay = reason === 'box-stopping' ? 0 : this.returnTimesOf(request.service).reserve(client);
		return {kind: 'refuse', reason, retryDelay};
	}

	/** Requests that are to be refused at their next decision do not count as waiting until then. */
	private refuseNext(entries: readonly QueueEntry[], reason: QueueRefusalReason): void {
		for (const entry of entries) {
			this.remove(entry, 'refused');
			entry.refusal ??= reason;
		}
	}

	private remove(entry: QueueEntry, state: 'placed' | 'left' | 'refused'): void {
		this.services.get(entry.request.service)?.delete(entry);
		entry.state = state;
	}

	private get waiting(): readonly QueueEntry[] {
		return [...this.services.values()].flatMap(({waiting}) => waiting);
	}

	private queueOf(service: string): ServiceQueue {
		return getOrCreate(this.services, service, () => ServiceQueue.create(this.parts.clock));
	}

	private returnTimesOf(service: string): ReturnTimes {
		return getOrCreate(this.returnTimes, service, () => ReturnTimes.create(this.parts.clock, this.parts.random));
	}
}

/**
 * The first in the order are examined most often, as only they can be placed: a report may show room earlier than expected, at several
 * replicas at once.
 */
function waitUntilExamined(position: number, untilPlaced: number): number {
	const {min, max} = examinationInterval;
	return Math.min(max, min * (position + 1), Math.max(min, untilPlaced));
}

function describeWait(hasRoom: boolean | undefined): WaitingState['waitsFor'] {
	if (hasRoom === undefined) {
		return undefined;
	}

	return hasRoom
		? 'requests-before-it'
		: 'room';
}

function entryOf(ticket: Ticket): QueueEntry {
	if (ticket instanceof QueueEntry) {
		return ticket;
	}

	throw new TypeError('The ticket is not one of this queue.');
}
