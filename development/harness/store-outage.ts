/**
 * Outages of the store as one box sees them, for tests.
 */
import type {Clock} from '../../src/base/clock.js';
import {StoreAvailability} from '../../src/follow/store-availability.js';
import {lapseTime} from '../../src/node/replica-role.js';
import type {MovedClock} from './moved-clock.js';

/** Milliseconds between two writes of a replica. */
const heartbeat = 1200;

/**
 * @param clock - For ages.
 * @returns What a role that follows replicas needs besides: a store without an outage so far, and the bound on a departure.
 */
export const usualAvailability = (clock: Clock) => ({availability: StoreAvailability.create(clock, () => lapseTime(heartbeat)), drain: () => 2000});

/**
 * Lets an outage pass in which entries may have lapsed.
 *
 * @param availability - Of a box that the store had answered.
 * @param clock - Moved on.
 */
export function passOutage(availability: StoreAvailability, clock: MovedClock): void {
	availability.noteOwnAnswer();
	clock.now += lapseTime(heartbeat);
	availability.noteOwnAnswer();
}
