/**
 * Estimates the number of replicas that a service needs from its measured load.
 *
 * @remarks Source: docs/DECISIONS.md, "The fleet by measured load".
 */
import type {Clock} from '../base/clock.js';

/** Spare capacity to plan for. */
type Headroom = {
	/** Ratio of the latency goal to the mean time a request waits while its replica reads other prompts. */
	readonly waitPart: number;
	/** Standard deviations of a replica's request count that its slots hold above the mean. */
	readonly deviations: number;
};

/** For inexpensive replicas: requests hardly wait. */
const ample: Headroom = {waitPart: 3, deviations: 4};
/** For expensive replicas. */
const tight: Headroom = {waitPart: 2, deviations: 2};
/** Milliseconds for which a peak counts, long enough to span the trough of a load wave. */
const peakLifetime = 25_000;
/** Milliseconds for which a peak counts for expensive replicas. */
const recentPeakLifetime = 8000;
/** Milliseconds of load that must be observed before an order is decreased. */
const minObservation = 20_000;
/** Milliseconds between two samples above which the time between them counts as unobserved. */
const maxSampleGap = 2000;
/** Fraction of the requests that may miss their latency goal with enough replicas: the longest prompts always miss it. */
const maxMissedPart = 0.2;

/** The load of one service at one moment, summed over all boxes. */
export type LoadSample = {
	/** Requests in progress. */
	readonly requests: number;
	/** Mean number of slots (concurrent requests) of a replica. */
	readonly slots: number;
	/** Prompt reading, expressed as the number of fully occupied replicas. */
	readonly reading: number;
	/** Latency goal for the first token, as a multiple of the mean residual reading time of a replica that is reading. */
	readonly waits: number;
	/** Fraction of the requests whose answers begin late or that are refused for lack of capacity. */
	readonly missedPart: number;
};

type Peak = {readonly value: number; readonly at: number};

/** Maximum over a sliding time window. */
class PeakHold {
	/** In decreasing order of value: a greater later value removes the smaller ones before it. */
	private peaks: readonly Peak[] = [];

	constructor(private readonly lifetime: number) {}

	get value(): number {
		return this.peaks[0]?.value ?? 0;
	}

	add(value: number, now: number): void {
		const lasting = this.peaks.filter(peak => peak.value > value && now - peak.at < this.lifetime);
		this.peaks = [...lasting, {value, at: now}];
	}
}

/** The measured load of one service. */
export class FleetLoad {
	/**
	 * @param clock - Measures the age of samples.
	 * @returns A load without samples.
	 */
	static create(clock: Clock): FleetLoad {
		return new FleetLoad(clock);
	}

	/** The last sample. */
	last: LoadSample = {
		requests: 0, slots: 1, reading: 0, waits: 0, missedPart: 0,
	};

	private sampledAt = Number.NEGATIVE_INFINITY;
	private observedFor = 0;
	/** Monotonic milliseconds at which goals were last missed and last met; both are reset after a gap in the samples. */
	private goalsMissedAt: number;
	private goalsMetAt: number;
	private readonly ample = new PeakHold(peakLifetime);
	private readonly tight = new PeakHold(recentPeakLifetime);

	private constructor(private readonly clock: Clock) {
		this.goalsMissedAt = clock.monotonic();
		this.goalsMetAt = clock.monotonic();
	}

	/** Milliseconds for which goals have been met. */
	get goalsMetFor(): number {
		return this.clock.monotonic() - this.goalsMissedAt;
	}

	/** Milliseconds for which goals have been missed; zero while they are met. */
	get goalsMissedFor(): number {
		return Math.max(0, this.sampledAt - this.goalsMetAt);
	}

	/** Replicas for the peak load of the last 25 s with ample headroom; zero before any load. */
	get needed(): number {
		return this.ample.value;
	}

	/** Replicas for the peak load of the last 8 s with little headroom. */
	get leastNow(): number {
		return this.tight.value;
	}

	/** Whether the load was observed for long enough to decrease an order. */
	get isObserved(): boolean {
		return this.observedFor >= minObservation;
	}

	/** Whether the load was observed for long enough to rely on `leastNow`. */
	get isRecentPeakObserved(): boolean {
		return this.observedFor >= recentPeakLifetime;
	}

	/** @param sample - The current load. */
	addSample(sample: LoadSample): void {
		const now = this.clock.monotonic();
		const elapsed = now - this.sampledAt;
		this.last = sample;
		this.sampledAt = now;
		if (elapsed > maxSampleGap) {
			this.goalsMissedAt = now;
			this.goalsMetAt = now;
		}

		this.observedFor += sample.requests > 0 && elapsed <= maxSampleGap ? elapsed : 0;
		if (sample.missedPart > maxMissedPart) {
			this.goalsMissedAt = now;
		} else {
			this.goalsMetAt = now;
		}

		this.ample.add(replicasFor(sample, ample), now);
		this.tight.add(replicasFor(sample, tight), now);
	}
}

/** The larger of the replicas needed for slots and the replicas needed for reading prompts. */
function replicasFor({requests, slots, reading, waits}: LoadSample, {waitPart, deviations}: Headroom): number {
	return Math.max(requests / meanRequests(slots, deviations), reading === 0 ? 0 : reading / maxUtilisation(waits / waitPart));
}

/**
 * The standard deviation of a replica's request count is the square root of its mean m. Solves m + deviations * sqrt(m) =
 * slots for m.
 *
 * @remarks Square-root staffing of queueing theory.
 */
function meanRequests(slots: number, deviations: number): number {
	const root = (Math.sqrt((deviations ** 2) + (4 * Math.max(1, slots))) - deviations) / 2;
	return root ** 2;
}

/** At utilisation b, requests wait on average b / (1 - b) times the residual reading time. Solves this for b. */
function maxUtilisation(waits: number): number {
	return waits / (1 + waits);
}
