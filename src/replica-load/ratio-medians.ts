/**
 * Medians of the replicas' ratios of observed to predicted duration, by service.
 */
import {evictOldest} from '../base/evict-oldest.js';
import {medianOf} from '../base/median.js';
import type {ReplicaReport} from './replica-report.js';

/** Milliseconds for which a median is cached, since each choice of a replica asks for it many times. */
const cacheLifetime = 100;
/** Least median, so that ratios can be divided by it. */
const minMedian = 1e-6;
/** Maximum services whose medians are cached. */
const maxServices = 256;

type CachedMedian = {readonly median: number | undefined; readonly at: number};

/** Medians by service. */
export class RatioMedians {
	/**
	 * @param reports - Returns the replicas of a service whose reports are in use.
	 * @returns Medians without a cached value.
	 */
	static create(reports: (service: string) => readonly ReplicaReport[]): RatioMedians {
		return new RatioMedians(reports);
	}

	private readonly cache = new Map<string, CachedMedian>();

	private constructor(private readonly reports: (service: string) => readonly ReplicaReport[]) {}

	/**
	 * @param service - Name of a service.
	 * @param now - Monotonic milliseconds.
	 * @returns The median, or the lesser of the two middle values, so that one of two replicas can be found to be slower; `undefined` without ratios.
	 */
	of(service: string, now: number): number | undefined {
		const cached = this.cache.get(service);
		if (cached && now - cached.at < cacheLifetime) {
			return cached.median;
		}

		const ratios = this.reports(service).map(({ratio}) => ratio).filter(ratio => ratio !== undefined);
		const median = ratios.length === 0 ? undefined : Math.max(minMedian, -medianOf(ratios.map(ratio => -ratio)));
		this.cache.delete(service);
		this.cache.set(service, {median, at: now});
		evictOldest(this.cache, maxServices);
		return median;
	}
}
