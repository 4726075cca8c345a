/**
 * How much of a service's fleet is missing since replicas have named limits: one that takes one request a second is no whole replica.
 */
import type {Clock} from '../base/clock.js';
import {sumOf} from '../base/sum.js';

/**
 * Milliseconds for which what was missing counts on: limits come and go, and a replica that was ordered for one is hardly there when it ends. What it
 * would have read of prompts is lost with it.
 */
const memory = 10_000;

/** What is missing in the fleets of all services. */
export class LostCapacity {
	/**
	 * @param clock - For ages.
	 * @returns Fleets in which nothing is missing.
	 */
	static create(clock: Clock): LostCapacity {
		return new LostCapacity(clock);
	}

	private readonly peaks = new Map<string, {readonly replicas: number; readonly at: number}>();

	private constructor(private readonly clock: Clock) {}

	/**
	 * @param service - Name of a service.
	 * @param limits - Requests a second that each of its replicas takes; without end where it has named no limit.
	 * @param rate - Requests a second for it at all boxes.
	 * @returns Replicas that have to come to those that it has, for these to be worth as many as they are; a part of one counts.
	 */
	of(service: string, limits: readonly number[], rate: number): number {
		const now = this.clock.monotonic();
		const lost = lostReplicas(limits, rate);
		const peak = this.peaks.get(service);
		if (!peak || lost >= peak.replicas || now - peak.at > memory) {
			this.peaks.set(service, {replicas: lost, at: now});
			return lost;
		}

		return peak.replicas;
	}
}

/** Measured by the part of all requests that each would get: who takes that much is whole, whatever it names. */
function lostReplicas(limits: readonly number[], rate: number): number {
	const part = rate / Math.max(1, limits.length);
	return part === 0 ? 0 : sumOf(limits.map(limit => 1 - Math.min(1, limit / part)));
}
