/**
 * How long a request is expected to wait, and how long it can.
 *
 * @remarks
 * The load pattern: a shortage that lasts. Requests that will not be served in time take room in the queue and the time of their clients,
 * who could have asked elsewhere. They are refused at once, the less urgent ones when the goal is out of reach and the most urgent ones
 * only when the deadline is.
 */
import type {QueueEntry} from './queue-entry.js';
import type {Ahead} from './service-queue.js';
import type {QueueRefusalReason, Room} from './waiting-request.js';

/**
 * Least part of the rate that counts as left by more urgent requests. They are measured over a second, in which a burst may take all the
 * room although it is no shortage.
 */
const minRateLeft = 0.1;
const millisecondsPerSecond = 1000;

/** The wait of a request. */
export type ExpectedWait = {
	/** Milliseconds until it can be placed. */
	readonly untilPlaced: number;
	/** Milliseconds until the replica begins to read it. */
	readonly untilRead: number;
};

/** The time that a request has for waiting. */
export type WaitLimit = {
	/** Milliseconds from now. */
	readonly time: number;
	/** The reason of a refusal when the expected wait exceeds it. */
	readonly reason: QueueRefusalReason;
};

/**
 * A request that is expected to be late before it can be placed is given the wait of a late one: otherwise it would be held until it is late,
 * and refused only then.
 *
 * @param room - Room at the replicas that may serve the request.
 * @param ahead - What is ahead of it.
 * @param untilLate - Milliseconds until its goal can no longer be met.
 * @returns Its expected wait; infinite without room.
 */
export function expectedWait(room: Room, ahead: Ahead, untilLate: number): ExpectedWait {
	const leastWork = Number.isNaN(room.leastWork) ? Number.POSITIVE_INFINITY : Math.max(0, room.leastWork);
	const untilRoom = Math.max(0, leastWork - ahead.level);
	const inTime = untilRoom + timeFor(ahead.work, rateLeft(room, ahead.takenBefore));
	const untilPlaced = inTime <= untilLate ? inTime : untilRoom + timeFor(ahead.work, rateLeft(room, ahead.takenBeforeLate));
	return {untilPlaced, untilRead: untilPlaced + Math.min(leastWork, ahead.level)};
}

function rateLeft({rate}: Room, taken: number): number {
	return Math.max(rate - taken, rate * minRateLeft);
}

/**
 * @param work - Milliseconds of work.
 * @param rate - Milliseconds of work a second for which room appears.
 * @returns Milliseconds until room for all the work has appeared; infinite if none appears.
 */
export function timeFor(work: number, rate: number): number {
	if (work <= 0) {
		return 0;
	}

	return rate > 0 ? work / rate * millisecondsPerSecond : Number.POSITIVE_INFINITY;
}

/**
 * The time for reading counts only for the deadline, after which a response is worth nothing. One that is late by its own reading is still
 * served where there is room: it is behind those that can be in time, so that its expected wait is long in a shortage.
 *
 * @param entry - A waiting request.
 * @param now - Monotonic milliseconds.
 * @returns How long it can wait: until its goal if it was never sent and is not of the most urgent kind, otherwise until its deadline.
 */
export function waitLimit({request, work}: QueueEntry, now: number): WaitLimit {
	const isPatient = request.wasSent || request.urgency <= request.leastUrgency;
	const untilDeadline = request.deadlineAt - now;
	return isPatient
		? {time: untilDeadline - (request.arrivedAt + work < request.deadlineAt ? work : 0), reason: 'deadline-out-of-reach'}
		: {time: Math.min(request.goalAt - now, untilDeadline), reason: 'goal-out-of-reach'};
}
