/**
 * Estimates the demand for a service at this box from the arriving requests. The length of the queue is no measure:
 * if replicas are short, it grows without bound and does not tell how many replicas would suffice.
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import {RateMeter} from '../base/rate-meter.js';
import {ReadRateEstimate} from './read-rate-estimate.js';

/** Milliseconds over which arrivals are averaged: longer than bursts of requests, shorter than waves of load. */
const arrivalWindow = 4000;
/** Prompt tokens below which the network dominates the time to the first event, so that it gives no read rate. */
const minTokens = 1000;
/** Read rates of the last requests that a message includes: more than a box of a large fleet measures between two messages. */
const maxReadsSent = 4;
/** Boxes whose number of merged read rates is kept; the oldest are evicted. */
const maxMergedBoxes = 1024;
/** Weight of one request in the means of arrivals; low, so that rare long prompts do not distort them. */
const arrivalWeight = 0.002;
/** Weight of one request in the mean duration; averages over a few hundred requests, within which queues build up and drain. */
const durationWeight = 0.004;
const millisecondsPerSecond = 1000;

/** Milliseconds over which the rates of timely and late responses are averaged. */
const outcomeWindow = 2000;

/** The demand for one service at one box. */
export type Demand = {
	/** Mean number of requests in progress if enough replicas are available. */
	readonly requests: number;
	/** Prompt tokens a second that the replicas have to read. */
	readonly reading: number;
	/** Prompt tokens that a replica reads in a second beside its other work; zero without enough samples. */
	readonly readRate: number;
	/** Mean of the milliseconds within which responses have to begin; zero before the first request. */
	readonly goal: number;
	/** Mean number of prompt tokens that a replica has to read for a request, and the mean of their squares. */
	readonly meanTokens: number;
	readonly meanSquare: number;
	/** Requests a second whose responses begin in time. */
	readonly met: number;
	/** Requests a second whose responses begin late, or that are rejected for lack of replica capacity. */
	readonly missed: number;
};

/** Read rates that a box measured. */
export type ReadSamples = {
	readonly service: string;
	/** Number of samples since the box started, so that a receiver knows which of them are new to it. */
	readonly count: number;
	/** The last samples, in prompt tokens a second, oldest first. */
	readonly rates: readonly number[];
};

/** The demand for one service at this box. */
export class ServiceDemand {
	/**
	 * @param clock - Measures rates.
	 * @returns The demand, without samples.
	 */
	static create(clock: Clock): ServiceDemand {
		return new ServiceDemand(clock);
	}

	private readonly arrivals: RateMeter;
	private readonly clientRequests: RateMeter;
	private readonly unread: RateMeter;
	private readonly met: RateMeter;
	private readonly missed: RateMeter;
	private arrivalSamples = 0;
	private meanTokens = 0;
	private meanSquare = 0;
	private meanGoal = 0;
	private meanDuration = 0;
	private durationSamples = 0;
	private readonly reads = ReadRateEstimate.create();
	private readCount = 0;
	private recentReads: readonly number[] = [];
	/** Number of read rates that each other box had measured at its last message, by process of the box. */
	private readonly mergedReads = new Map<string, number>();

	private constructor(clock: Clock) {
		this.arrivals = RateMeter.create(clock, arrivalWindow);
		this.clientRequests = RateMeter.create(clock, arrivalWindow);
		this.unread = RateMeter.create(clock, arrivalWindow);
		this.met = RateMeter.create(clock, outcomeWindow);
		this.missed = RateMeter.create(clock, outcomeWindow);
	}

	/** Current demand. By Little's law, the requests in progress are the arrival rate times the mean duration. */
	get current(): Demand {
		const {meanTokens, meanSquare, readRate, goal} = this;
		return {
			requests: this.arrivals.rate * this.meanDuration / millisecondsPerSecond, reading: this.unread.rate,
			readRate, goal, meanTokens, meanSquare, met: this.met.rate, missed: this.missed.rate,
		};
	}

	/** Requests a second that clients send to this box, including those that are forwarded through other boxes. */
	get clientRate(): number {
		return this.clientRequests.rate;
	}

	/** Prompt tokens that a replica reads in a second beside its other work; zero without enough samples. */
	get readRate(): number {
		return this.reads.rate;
	}

	/** Read rates that this box measured, to be sent to other boxes. */
	get readSamples(): Omit<ReadSamples, 'service'> {
		return {count: this.readCount, rates: this.recentReads.map(rate => Math.round(rate))};
	}

	/** Mean milliseconds that a request spends at a replica without queueing; zero before the first. */
	get duration(): number {
		return this.meanDuration;
	}

	/**
	 * @param goal - Milliseconds within which the response has to begin.
	 * @returns Expected milliseconds that a request spends at a replica without queueing; the goal before the first.
	 */
	expectedDuration(goal: number): number {
		return this.durationSamples === 0 ? goal : this.meanDuration;
	}

	/** Mean of the milliseconds within which responses have to begin. */
	get goal(): number {
		return this.meanGoal;
	}

	/** Records a request that a client sent to this box. */
	recordClientRequest(): void {
		this.clientRequests.addSample(1);
	}

	/**
	 * Records an arriving request.
	 *
	 * @param unreadTokens - Prompt tokens that a replica has to read.
	 * @param goal - Milliseconds within which the response has to begin.
	 */
	recordArrival(unreadTokens: number, goal: number): void {
		this.arrivals.addSample(1);
		this.unread.addSample(unreadTokens);
		this.arrivalSamples++;
		const weight = Math.max(arrivalWeight, 1 / this.arrivalSamples);
		this.meanTokens += (unreadTokens - this.meanTokens) * weight;
		this.meanSquare += ((unreadTokens ** 2) - this.meanSquare) * weight;
		this.meanGoal += (goal - this.meanGoal) * weight;
	}

	/** Records a request that was rejected without a replica; it counts as demand nevertheless. */
	recordRejected(): void {
		this.arrivals.addSample(1);
		this.unread.addSample(this.meanTokens);
		this.missed.addSample(1);
	}

	/** @param isInTime - Whether the response to a request began within its goal. */
	recordOutcome(isInTime: boolean): void {
		(isInTime ? this.met : this.missed).addSample(1);
	}

	/** @param duration - Milliseconds that a request spent at a replica without queueing. */
	recordDuration(duration: number): void {
		this.durationSamples++;
		this.meanDuration += (duration - this.meanDuration) * Math.max(durationWeight, 1 / this.durationSamples);
	}

	/**
	 * @param tokens - Prompt tokens that the replica did not have in its cache.
	 * @param duration - Milliseconds from sending the request to the first event of the response.
	 */
	recordRead(tokens: number, duration: number): void {
		if (tokens < minTokens || duration <= 0) {
			return;
		}

		const rate = tokens / duration * millisecondsPerSecond;
		this.readCount++;
		this.recentReads = [...this.recentReads, rate].slice(-maxReadsSent);
		this.reads.addSample(rate);
	}

	/**
	 * Adds the read rates that another box measured; those of an earlier message are not added again.
	 *
	 * @param box - Process of the box.
	 * @param samples - Its read rates.
	 */
	mergeReads(box: string, {count, rates}: Omit<ReadSamples, 'service'>): void {
		const unmerged = Math.min(rates.length, count - (this.mergedReads.get(box) ?? 0));
		this.mergedReads.delete(box);
		this.mergedReads.set(box, count);
		evictOldest(this.mergedReads, maxMergedBoxes);
		for (const rate of unmerged > 0 ? rates.slice(-unmerged) : []) {
			this.reads.addSample(rate);
		}
	}

	/** @param rate - Read rate in prompt tokens a second that a box estimated from the samples of all boxes. */
	adoptReadRate(rate: number): void {
		this.reads.adopt(rate);
	}
}

/** The demand for each service at this box. */
export class ServiceDemands {
	/**
	 * @param clock - Measures rates.
	 * @returns A registry without samples.
	 */
	static create(clock: Clock): ServiceDemands {
		return new ServiceDemands(clock);
	}

	private readonly demands = new Map<string, ServiceDemand>();

	private constructor(private readonly clock: Clock) {}

	/** Rounded demand for each service, to be sent to other boxes. */
	get snapshots(): ReadonlyArray<Demand & {readonly service: string}> {
		return [...this.demands].map(([service, {current}]) => ({
			service,
			requests: roundTo(current.requests, 100),
			reading: Math.round(current.reading),
			readRate: Math.round(current.readRate),
			goal: Math.round(current.goal),
			meanTokens: Math.round(current.meanTokens),
			meanSquare: Math.round(current.meanSquare),
			met: roundTo(current.met, 10),
			missed: roundTo(current.missed, 10),
		}));
	}

	/** Read rates that this box measured, to be sent to other boxes. */
	get readSamples(): readonly ReadSamples[] {
		return [...this.demands].map(([service, {readSamples}]) => ({service, ...readSamples})).filter(({count}) => count > 0);
	}

	/** Names of the services that had requests. */
	get services(): readonly string[] {
		return [...this.demands.keys()];
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
