/**
 * How many replicas the load of a service needs, measured while it runs.
 *
 * @remarks Source: docs/DECISIONS.md, "The fleet by measured load".
 */
import type {Clock} from '../base/clock.js';

/** How much is left to spare. */
type Comfort = {
	/** Part of the goal that requests wait for the reading of others, on average: its inverse. */
	readonly waitPart: number;
	/** Standard deviations of the number of requests at a replica that its places have room for. */
	readonly deviations: number;
};

/** Where replicas are cheap: requests hardly wait. */
const ample: Comfort = {waitPart: 3, deviations: 4};
/** Where they are dear. */
const sparse: Comfort = {waitPart: 2, deviations: 2};
/** Milliseconds for which a peak counts, so that less is ordered only after the trough of a wave. */
const peakLifetime = 25_000;
/** Milliseconds for which a peak counts where replicas are dear. */
const recentPeakLifetime = 8000;
/** Milliseconds with load that must have been seen before less is ordered than stands. */
const leastObservation = 20_000;
/** Milliseconds between two samples beyond which nothing is known of the time between them. */
const longestGap = 2000;
/** Part of the requests that may miss their goal where replicas are enough: the longest prompts do so by themselves. */
const mostMissed = 0.2;

/** The load of one service at one moment, all boxes together. */
export type LoadSample = {
	/** Requests in progress. */
	readonly requests: number;
	/** Places of one replica. */
	readonly slots: number;
	/** Replicas that would do nothing but read prompts. */
	readonly reading: number;
	/** Milliseconds within which answers are to begin, as a multiple of what a replica still reads that is found reading. */
	readonly waits: number;
	/** Part of the requests whose answers begin late, or that replicas are too short to serve. */
	readonly missedPart: number;
};

type Peak = {readonly value: number; readonly at: number};

/** The greatest value of the last while. */
class PeakHold {
	/** Falling from the first to the last: what is followed by something greater no longer counts. */
	private peaks: readonly Peak[] = [];

	constructor(private readonly lifetime: number) {}

	get value(): number {
		return this.peaks[0]?.value ?? 0;
	}

	note(value: number, now: number): void {
		const lasting = this.peaks.filter(peak => peak.value > value && now - peak.at < this.lifetime);
		this.peaks = [...lasting, {value, at: now}];
	}
}

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
	last: LoadSample = {
		requests: 0, slots: 1, reading: 0, waits: 0, missedPart: 0,
	};

	private sampledAt = Number.NEGATIVE_INFINITY;
	private observedFor = 0;
	/** Monotonic milliseconds at which goals were last missed, and last kept; both begin anew where nothing was seen for a while. */
	private missedAt: number;
	private keptAt: number;
	private readonly ample = new PeakHold(peakLifetime);
	private readonly sparse = new PeakHold(recentPeakLifetime);

	private constructor(private readonly clock: Clock) {
		this.missedAt = clock.monotonic();
		this.keptAt = clock.monotonic();
	}

	/** Milliseconds for which goals have been kept. */
	get keptFor(): number {
		return this.clock.monotonic() - this.missedAt;
	}

	/** Milliseconds for which goals have been missed; zero where they are kept. */
	get missedFor(): number {
		return Math.max(0, this.sampledAt - this.keptAt);
	}

	/** Replicas that carry the load of the last while with headroom; zero before any. */
	get needed(): number {
		return this.ample.value;
	}

	/** Replicas that carry the load of the last seconds with little to spare. */
	get leastNow(): number {
		return this.sparse.value;
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
		this.last = sample;
		this.sampledAt = now;
		if (elapsed > longestGap) {
			this.missedAt = now;
			this.keptAt = now;
		}

		this.observedFor += sample.requests > 0 && elapsed <= longestGap ? elapsed : 0;
		if (sample.missedPart > mostMissed) {
			this.missedAt = now;
		} else {
			this.keptAt = now;
		}

		this.ample.note(replicasFor(sample, ample), now);
		this.sparse.note(replicasFor(sample, sparse), now);
	}
}

/** Whichever asks for more: places for requests in progress, or time to read prompts. */
function replicasFor({requests, slots, reading, waits}: LoadSample, {waitPart, deviations}: Comfort): number {
	return Math.max(requests / meanTaken(slots, deviations), reading === 0 ? 0 : reading / busyPart(waits / waitPart));
}

/**
 * The number of requests at a replica varies as its square root: the mean, and some of that, fill its places.
 *
 * @remarks Square-root staffing, as for servers of a queue.
 */
function meanTaken(slots: number, deviations: number): number {
	const root = (Math.sqrt((deviations ** 2) + (4 * Math.max(1, slots))) - deviations) / 2;
	return root ** 2;
}

/** A replica that reads for a part b of its time lets requests wait b / (1 - b) times what it still reads, on average. */
function busyPart(waits: number): number {
	return waits / (1 + waits);
}
