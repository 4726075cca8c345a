/**
 * Computes how much capacity of a service's fleet is lost to limits that replicas have announced. For example, a replica
 * that accepts one request per second does not count as a full replica.
 */
import type {Clock} from '../base/clock.js';
import {sumOf} from '../base/sum.js';

/**
 * Milliseconds for which lost capacity still counts. Limits come and go: a replacement would otherwise be removed soon
 * after it has booted, and its prompt cache would be lost.
 */
const peakLifetime = 10_000;

/** The lost capacity of all services. */
export class LostCapacity {
	/**
	 * @param clock - Measures the age of the peaks.
	 * @returns An instance without lost capacity.
	 */
	static create(clock: Clock): LostCapacity {
		return new LostCapacity(clock);
	}

	private readonly peaks = new Map<string, {readonly replicas: number; readonly at: number}>();

	private constructor(private readonly clock: Clock) {}

	/**
	 * @param service - Name of a service.
	 * @param limits - Requests per second that each of its replicas accepts; infinite without a limit.
	 * @param rate - Requests per second for the service at all boxes.
	 * @returns Additional replicas that make up for the lost capacity; may be fractional.
	 */
	of(service: string, limits: readonly number[], rate: number): number {
		const now = this.clock.monotonic();
		const lost = lostReplicas(limits, rate);
		const peak = this.peaks.get(service);
		if (!peak || lost >= peak.replicas || now - peak.at > peakLifetime) {
			this.peaks.set(service, {replicas: lost, at: now});
			return lost;
		}

		return peak.replicas;
	}
}

/** Compares each limit with an equal share of all requests: a replica that accepts its share loses no capacity. */
function lostReplicas(limits: readonly number[], rate: number): number {
	const part = rate / Math.max(1, limits.length);
	return part === 0 ? 0 : sumOf(limits.map(limit => 1 - Math.min(1, limit / part)));
}
