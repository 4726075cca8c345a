/**
 * Counts of the queue, for metrics.
 */
import {getOrCreate} from '../base/get-or-create.js';
import type {QueueEntry} from './queue-entry.js';
import type {QueueRefusalReason} from './waiting-request.js';

/** Requests of one service and urgency that wait. */
export type WaitingCount = {readonly service: string; readonly urgency: number; readonly requests: number; readonly bytes: number};
/** Refusals of one service by one reason since the start. */
export type RefusalCount = {readonly service: string; readonly reason: QueueRefusalReason; readonly refusals: number};
/** Milliseconds that the last request of a service and urgency that was placed had waited. */
export type LastWait = {readonly service: string; readonly urgency: number; readonly wait: number};

/** Figures of the queue that the caller turns into metrics. */
export type QueueMetrics = {
	readonly waiting: readonly WaitingCount[];
	readonly refusals: readonly RefusalCount[];
	readonly lastWaits: readonly LastWait[];
};

/** Collects the figures. */
export class QueueCounts {
	private readonly refusals = new Map<string, Map<QueueRefusalReason, number>>();
	private readonly waits = new Map<string, Map<number, number>>();

	/**
	 * @param service - Name of the service.
	 * @param reason - Why a request was refused.
	 */
	recordRefusal(service: string, reason: QueueRefusalReason): void {
		const counts = getOrCreate(this.refusals, service, () => new Map<QueueRefusalReason, number>());
		counts.set(reason, (counts.get(reason) ?? 0) + 1);
	}

	/**
	 * @param entry - A request that is placed now.
	 * @param wait - Milliseconds since it arrived.
	 */
	recordWait({request: {service, urgency}}: QueueEntry, wait: number): void {
		getOrCreate(this.waits, service, () => new Map<number, number>()).set(urgency, wait);
	}

	/**
	 * @param waiting - The waiting requests.
	 * @returns The figures at this time.
	 */
	metrics(waiting: readonly QueueEntry[]): QueueMetrics {
		return {
			waiting: countWaiting(waiting),
			refusals: [...this.refusals].flatMap(([service, counts]) => [...counts].map(([reason, refusals]) => ({service, reason, refusals}))),
			lastWaits: [...this.waits].flatMap(([service, waits]) => [...waits].map(([urgency, wait]) => ({service, urgency, wait}))),
		};
	}
}

function countWaiting(waiting: readonly QueueEntry[]): readonly WaitingCount[] {
	const counts = new Map<string, WaitingCount>();
	for (const {request: {service, urgency, bodyBytes}} of waiting) {
		const key = JSON.stringify([service, urgency]);
		const {requests, bytes} = counts.get(key) ?? {requests: 0, bytes: 0};
		counts.set(key, {
			service, urgency, requests: requests + 1, bytes: bytes + bodyBytes,
		});
	}

	return [...counts.values()];
}
