/**
 * Bounds of the waiting requests of a box.
 *
 * @remarks
 * The load pattern: a service loses its replicas, or many large bodies arrive at once. The bounds keep the memory of the box and the
 * duration of a decision; the requests that are least urgent and have most time to return are refused.
 */
import {sumOf} from '../base/sum.js';
import type {QueueEntry} from './queue-entry.js';

/** Bounds of the requests that wait in a box. */
export const queueBounds = {requests: 256, bytes: 16 * 1024 * 1024} as const;

/** The bounds of a queue. */
export type QueueBounds = {
	readonly requests: number;
	/** Bytes of bodies. */
	readonly bytes: number;
};

/**
 * @param waiting - The waiting requests of all services.
 * @param newcomer - A request that is to join them.
 * @param bounds - The bounds.
 * @returns The requests to refuse so that the others keep the bounds: the least urgent with the latest goals. Only the new one if it is
 * among them, since it then takes no place.
 */
export function excessRequests(waiting: readonly QueueEntry[], newcomer: QueueEntry, bounds: QueueBounds): readonly QueueEntry[] {
	const all = [...waiting, newcomer];
	let bytes = sumOf(all.map(({request}) => request.bodyBytes));
	let count = all.length;
	if (count <= bounds.requests && bytes <= bounds.bytes) {
		return [];
	}

	const excess: QueueEntry[] = [];
	for (const entry of all.sort(compareForRefusal)) {
		if (count <= bounds.requests && bytes <= bounds.bytes) {
			break;
		}

		excess.push(entry);
		bytes -= entry.request.bodyBytes;
		count--;
	}

	return excess.includes(newcomer) ? [newcomer] : excess;
}

/** The least urgent first, of these the latest goal, of these the newest. */
function compareForRefusal(left: QueueEntry, right: QueueEntry): number {
	return (right.request.urgency - left.request.urgency) || (right.request.goalAt - left.request.goalAt) || (right.number - left.number);
}
