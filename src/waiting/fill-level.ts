/**
 * The remaining work of a replica below which it is given another request.
 *
 * @remarks
 * The load pattern: steady load, with knowledge of the replicas that is some time old. A replica that runs out of work before the queue is
 * examined again is idle while requests wait; one that holds more work than needed makes urgent requests wait that arrive later, as replicas
 * read prompts in order of arrival.
 */
import type {Room} from './waiting-request.js';

/** Bounds, in milliseconds, of the time until a waiting request is examined again. */
export const examinationInterval = {min: 5, max: 50} as const;
/** Least fill level in milliseconds: events and timers of a busy box are up to some tens of milliseconds late. */
const minFillLevel = 30;
/** Greatest fill level, as a fraction of the goal; the rest of the goal remains for waiting and reading. */
export const maxFillInGoals = 0.25;

/**
 * @param goal - Milliseconds from the arrival of a request to its goal.
 * @param age - Age of the knowledge of the replicas, in milliseconds.
 * @returns Milliseconds of remaining work below which a replica is given the request.
 */
export function fillLevel(goal: number, age: number): number {
	return Math.max(minFillLevel, Math.min(examinationInterval.max + age, goal * maxFillInGoals));
}

/**
 * @param room - Room at the replicas that may serve a request.
 * @param level - Fill level in milliseconds.
 * @returns Whether a replica has less remaining work than the level; a figure that is not a number means no room.
 */
export function hasRoomBelow({leastWork}: Room, level: number): boolean {
	return leastWork < level;
}
