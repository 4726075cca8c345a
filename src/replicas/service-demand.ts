/**
 * What is asked of a service at this box, measured by what comes and not by what waits: where replicas are short, what waits
 * grows without bound and says little of how many would do.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import {RateMeter} from '../base/rate-meter.js';

/** Milliseconds over which arrivals are measured: clumps of requests are shorter, waves longer. */
const arrivalTime = 4000;
/** Tokens of a prompt below which its time says more of the way than of the reading. */
const leastTokens = 1000;
/** The rate of reading that this part of the samples stays below counts: the others waited beside other work. */
const quantile = 0.95;
/** Part of the rate by which one sample moves it at most: the first ones more, since the very first may have waited. */
const leastStep = 0.03;
const largestStep = 0.08;
/** Samples from which on a rate of reading is told. */
const leastSamples = 20;
/** Weight of one request in the means of what comes: rare long prompts must not sway them. */
const arrivalWeight = 0.002;
/** Weight of one request in the mean duration: queues come and go within some hundred requests. */
const durationWeight = 0.004;
const millisecondsPerSecond = 1000;

/** Milliseconds over which it is measured how many answers begin in time. */
const outcomeTime = 2000;

/** The demand for one service at one box. */
export type Demand = {
	/** Requests that are in progress on average where replicas are not short. */
	readonly requests: number;
	/** Prompt tokens a second that replicas have to read. */
	readonly reading: number;
	/** Prompt tokens that a replica reads in a second beside its other work; zero where too little was seen. */
	readonly readRate: number;
	/** Milliseconds within which answers are to begin, on average; zero before any. */
	readonly goal: number;
	/** Tokens of a prompt that a replica has to read, on average, and the mean of their squares. */
	readonly meanTokens: number;
	readonly meanSquare: number;
	/** Requests a second whose answers begin in time. */
	readonly met: number;
	/** Requests a second whose answers begin late, or that replicas are too short to serve. */
	readonly missed: number;
};

/** The demand for one service at this box. */
export class ServiceDemand {
	/**
	 * @param clock - For rates.
	 * @returns A demand of which nothing was seen.
	 */
	static create(clock: Clock): ServiceDemand {
		return new ServiceDemand(clock);
	}

	private readonly arrivals: RateMeter;
	private readonly unread: RateMeter;
	private readonly met: RateMeter;
	private readonly missed: RateMeter;
	private arrived = 0;
	private meanTokens = 0;
	private meanSquare = 0;
	private meanGoal = 0;
	private meanDuration = 0;
	private ended = 0;
	private readingRate = 0;
	private samples = 0;

	private constructor(clock: Clock) {
		this.arrivals = RateMeter.create(clock, arrivalTime);
		this.unread = RateMeter.create(clock, arrivalTime);
		this.met = RateMeter.create(clock, outcomeTime);
		this.missed = RateMeter.create(clock, outcomeTime);
	}

	/** What is asked now; by Little's law requests in progress are those that come, times how long they take. */
	get now(): Demand {
		const {meanTokens, meanSquare, readRate, goal} = this;
		return {
			requests: this.arrivals.rate * this.meanDuration / millisecondsPerSecond, reading: this.unread.rate,
			readRate, goal, meanTokens, meanSquare, met: this.met.rate, missed: this.missed.rate,
		};
	}

	/** Prompt tokens that a replica reads in a second beside its other work; zero where too little was seen. */
	get readRate(): number {
		return this.samples < leastSamples ? 0 : this.readingRate * millisecondsPerSecond;
	}

	/** Milliseconds for which a request is at a replica that does not let it wait, on average; zero before any. */
	get duration(): number {
		return this.meanDuration;
	}

	/** Milliseconds within which an answer is to begin, on average. */
	get goal(): number {
		return this.meanGoal;
	}

	/**
	 * Notes a request that comes.
	 *
	 * @param unreadTokens - Tokens of its prompt that a replica has to read.
	 * @param goal - Milliseconds within which its answer is to begin.
	 */
	noteArrival(unreadTokens: number, goal: number): void {
		this.arrivals.note(1);
		this.unread.note(unreadTokens);
		this.arrived++;
		const weight = Math.max(arrivalWeight, 1 / this.arrived);
		this.meanTokens += (unreadTokens - this.meanTokens) * weight;
		this.meanSquare += ((unreadTokens ** 2) - this.meanSquare) * weight;
		this.meanGoal += (goal - this.meanGoal) * weight;
	}

	/** Notes a request that no replica could be given: it is asked for all the same. */
	noteTurnedAway(): void {
		this.arrivals.note(1);
		this.unread.note(this.meanTokens);
		this.missed.note(1);
	}

	/** @param isInTime - Whether the answer to a request began within its goal. */
	noteOutcome(isInTime: boolean): void {
		(isInTime ? this.met : this.missed).note(1);
	}

	/** @param duration - Milliseconds for which a request was at a replica that did not let it wait. */
	noteEnd(duration: number): void {
		this.ended++;
		this.meanDuration += (duration - this.meanDuration) * Math.max(durationWeight, 1 / this.ended);
	}

	/**
	 * @param tokens - Tokens of a prompt that its replica did not keep.
	 * @param duration - Milliseconds from the sending to the first event.
	 */
	noteRead(tokens: number, duration: number): void {
		if (tokens < leastTokens || duration <= 0) {
			return;
		}

		const sample = tokens / duration;
		this.samples++;
		const step = Math.min(largestStep, Math.max(leastStep, 1 / this.samples));
		this.readingRate = this.readingRate === 0 ? sample : this.readingRate * (1 + (step * (sample > this.readingRate ? quantile : quantile - 1)));
	}
}

/** The demand for each service at this box. */
export class ServiceDemands {
	/**
	 * @param clock - For rates.
	 * @returns Demands of which nothing was seen.
	 */
	static create(clock: Clock): ServiceDemands {
		return new ServiceDemands(clock);
	}

	private readonly demands = new Map<string, ServiceDemand>();

	private constructor(private readonly clock: Clock) {}

	/** What is asked of each service. */
	get told(): ReadonlyArray<Demand & {readonly service: string}> {
		return [...this.demands].map(([service, {now}]) => ({
			service,
			requests: roundTo(now.requests, 100),
			reading: Math.round(now.reading),
			readRate: Math.round(now.readRate),
			goal: Math.round(now.goal),
			meanTokens: Math.round(now.meanTokens),
			meanSquare: Math.round(now.meanSquare),
			met: roundTo(now.met, 10),
			missed: roundTo(now.missed, 10),
		}));
	}

	/**
	 * @param service - Name of a service.
	 * @returns Its demand.
	 */
	of(service: string): ServiceDemand {
		return getOrCreate(this.demands, service, () => ServiceDemand.create(this.clock));
	}
}

const roundTo = (value: number, parts: number): number => Math.round(value * parts) / parts;
