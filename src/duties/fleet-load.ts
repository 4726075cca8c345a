/**
 * How many replicas the load of a service needs, measured while it runs.
 *
 * @remarks Source: docs/DECISIONS.md, "The fleet by measured load".
 */
import type {Clock} from '../base/clock.js';

/** Part of the places of a replica that is taken on average where requests hardly wait for each other. */
const targetOccupancy = 0.36;
/** Part of its time for which a replica reads prompts on average where requests hardly wait for each other. */
const targetReading = 0.42;
/** Milliseconds for which a peak counts, so that less is ordered only after the trough of a wave. */
const peakLifetime = 25_000;
/** Milliseconds for which a peak counts where replicas are dear. */
const recentPeakLifetime = 8000;
/** Milliseconds with load that must have been seen before less is ordered than stands. */
const leastObservation = 20_000;
/** Milliseconds between two samples beyond which nothing is known of the time between them. */
const longestGap = 2000;

/** The load of one service at one moment, all boxes together. */
export type LoadSample = {
	/** Requests in progress. */
	readonly requests: number;
	/** Places of one replica. */
	readonly slots: number;
	/** Replicas that would do nothing but read prompts. */
	readonly reading: number;
};

type Peak = {readonly replicas: number; readonly at: number};

/** The load of one service. */
export class FleetLoad {
	/**
	 * @param clock - For ages.
	 * @returns A load of which nothing was seen.
	 */
	static create(clock: Clock): FleetLoad {
		return new FleetLoad(clock);
	}

	/** The last sample. */
	last: LoadSample = {requests: 0, slots: 1, reading: 0};
	private sampledAt = Number.NEGATIVE_INFINITY;
	private observedFor = 0;
	/** Falling from the first to the last: what is followed by something greater no longer counts. */
	private peaks: readonly Peak[] = [];

	private constructor(private readonly clock: Clock) {}

	/** Replicas that carry the load of the last while with headroom; zero before any. */
	get needed(): number {
		return this.peaks[0]?.replicas ?? 0;
	}

	/** The same for the last seconds. */
	get neededNow(): number {
		const since = this.clock.monotonic() - recentPeakLifetime;
		return this.peaks.find(({at}) => at >= since)?.replicas ?? 0;
	}

	/** Whether enough was seen to order less than stands. */
	get isObserved(): boolean {
		return this.observedFor >= leastObservation;
	}

	/** Whether enough was seen to tell what is needed now. */
	get isObservedBriefly(): boolean {
		return this.observedFor >= recentPeakLifetime;
	}

	/** @param sample - The load now. */
	note(sample: LoadSample): void {
		const now = this.clock.monotonic();
		const elapsed = now - this.sampledAt;
		const {requests, slots, reading} = sample;
		this.last = sample;
		this.sampledAt = now;
		this.observedFor += requests > 0 && elapsed <= longestGap ? elapsed : 0;
		const replicas = Math.max(requests / (Math.max(1, slots) * targetOccupancy), reading / targetReading);
		const lasting = this.peaks.filter(peak => peak.replicas > replicas && now - peak.at < peakLifetime);
		this.peaks = [...lasting, {replicas, at: now}];
	}
}
