/**
 * Simulates outages of the store as one box observes them, for tests.
 */
import type {Clock} from '../../src/base/clock.js';
import {StoreAvailability} from '../../src/follow/store-availability.js';
import {lapseTime} from '../../src/node/replica-role.js';
import type {ManualClock} from './manual-clock.js';

/** Milliseconds between two heartbeat writes of a replica. */
const heartbeat = 1200;

/**
 * @param clock - Clock of the box.
 * @returns Dependencies of a role that follows replicas: a store without an outage so far, and the time limit for a drain in milliseconds.
 */
export const createAvailability = (clock: Clock) => ({availability: StoreAvailability.create(clock, () => lapseTime(heartbeat)), drain: () => 2000});

/**
 * Simulates an outage that lasts long enough for entries to lapse.
 *
 * @param availability - Store availability of the box.
 * @param clock - Clock of the box; advanced by the length of the outage.
 */
export function simulateOutage(availability: StoreAvailability, clock: ManualClock): void {
	availability.recordOwnAnswer();
	clock.now += lapseTime(heartbeat);
	availability.recordOwnAnswer();
}
