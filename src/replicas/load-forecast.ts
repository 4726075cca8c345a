/**
 * Predicts the present load of replicas from reports that are older than the time in which the load changes.
 *
 * @remarks
 * The load pattern: hundreds of boxes learn each other's requests about a second late, while each replica receives and completes several
 * requests in that time. If all boxes send to the replicas whose reported load is lowest, these are overloaded before the next reports
 * arrive, while others run empty. A box therefore predicts what has been completed since, assumes that the requests of the other boxes
 * since then have filled the least loaded replicas up to a common level, and draws a replica in proportion to what is missing to that
 * level, so that the boxes together bring about what each of them assumes. Without other requests since the reports, the level is that of
 * the least loaded replica, which is then always chosen. Source: M. Dahlin, "Interpreting stale load information", IEEE Transactions on
 * Parallel and Distributed Systems, 2000.
 */
import {sumOf} from '../base/sum.js';
import type {ReplicaWork} from './replica.js';

/** Load of all boxes on a service, as pooled by boxes that receive the state of all others. */
export type ServiceRates = {
	/** Requests a second that arrive at all boxes. */
	readonly requests: number;
	/** Mean prompt tokens of a request that its replica has to read. */
	readonly tokens: number;
	/** Prompt tokens that a replica reads in a second. */
	readonly readRate: number;
	/** Mean milliseconds that a request occupies a slot. */
	readonly duration: number;
};

/** What is known of one replica. */
export type ReportedLoad = {
	/** Work of the other boxes, when they reported it. */
	readonly others: ReplicaWork;
	/** Work of this box, now. */
	readonly own: ReplicaWork;
	readonly slots: number;
	/** Milliseconds by which the replica is worse than others, whatever its load. */
	readonly penalty: number;
};

/** Load of all boxes on a service, and the age of what is known of their requests at replicas. */
export type StaleLoad = {
	readonly rates: ServiceRates;
	/** Mean milliseconds since the requests of the other boxes were counted. */
	readonly age: number;
};

/** A prediction for all replicas of a service. */
export type LoadForecast = {
	/** Predicted milliseconds that a new request waits at each replica, with its penalty, in the order of the input. */
	readonly waits: readonly number[];
	/** Milliseconds of wait up to which the other boxes' requests have filled the replicas. */
	readonly level: number;
	/** Predicted work at each replica, with that of the other boxes' requests, in the order of the input. */
	readonly work: readonly ReplicaWork[];
};

const millisecondsPerSecond = 1000;

/**
 * @param loads - The replicas of the service; at least one.
 * @param stale - The load of all boxes.
 * @returns The prediction.
 */
export function forecastLoad(loads: readonly ReportedLoad[], {rates, age}: StaleLoad): LoadForecast {
	const waits = loads.map(load => waitAt(load, rates, age));
	const arrivals = rates.requests * age / millisecondsPerSecond;
	const perRequest = waitPerRequest(rates, loads[0]!.slots);
	const level = filledLevel(waits, arrivals * perRequest);
	const work = loads.map((load, index) => workAt(load, {rates, age, added: perRequest === 0 ? 0 : Math.max(0, level - waits[index]!) / perRequest}));
	return {waits, level, work};
}

/**
 * @param forecast - The prediction.
 * @param random - A number from 0 to 1, exclusive.
 * @returns Index of the replica for the next request.
 */
export function drawReplica({waits, level}: LoadForecast, random: number): number {
	const missing = waits.map(wait => Math.max(0, level - wait));
	const total = sumOf(missing);
	if (total === 0) {
		const least = Math.min(...waits);
		const best = [...waits.keys()].filter(index => waits[index] === least);
		return best[Math.floor(random * best.length)]!;
	}

	let left = random * total;
	const drawn = missing.findIndex(part => {
		left -= part;
		return left < 0;
	});
	return drawn === -1 ? missing.indexOf(Math.max(...missing)) : drawn;
}

/** Milliseconds that one request adds to the wait at a replica: its reading, and its part of the time of all slots. */
function waitPerRequest({tokens, readRate, duration}: ServiceRates, slots: number): number {
	return readingTime(tokens, readRate) + (duration / slots);
}

/** The wait for a slot counts from the first request on: the next request meets a replica that is the nearer to full the more it runs. */
function waitAt({others, own, slots, penalty}: ReportedLoad, {readRate, duration}: ServiceRates, age: number): number {
	const requests = own.requests + (others.requests * remainingPart(duration, age));
	const reading = readingTime(own.unreadTokens, readRate) + Math.max(0, readingTime(others.unreadTokens, readRate) - age);
	return reading + (requests / slots * duration) + penalty;
}

/** Requests that were added since the reports have partly been completed, and replicas have read prompts all the time. */
function workAt({others, own}: ReportedLoad, {rates, age, added}: {readonly rates: ServiceRates; readonly age: number; readonly added: number}): ReplicaWork {
	const {duration, readRate, tokens} = rates;
	const remaining = remainingPart(duration, age);
	const addedRemaining = age === 0 ? added : added * (1 - remaining) * duration / age;
	const unread = others.unreadTokens + (added * tokens) - (readRate * age / millisecondsPerSecond);
	return {requests: own.requests + (others.requests * remaining) + addedRemaining, unreadTokens: own.unreadTokens + Math.max(0, unread)};
}

/** Part of the requests that are still in progress after `age` milliseconds. */
function remainingPart(duration: number, age: number): number {
	return duration === 0 ? 0 : Math.exp(-age / duration);
}

/**
 * @param tokens - Prompt tokens.
 * @param readRate - Prompt tokens that a replica reads in a second; zero if not measured yet.
 * @returns Milliseconds that a replica needs to read them; zero if not measured yet.
 */
export function readingTime(tokens: number, readRate: number): number {
	return readRate === 0 ? 0 : tokens / readRate * millisecondsPerSecond;
}

/** Level up to which `amount` fills the lowest waits. */
function filledLevel(waits: readonly number[], amount: number): number {
	const sorted = [...waits].sort((left, right) => left - right);
	let sum = 0;
	const levels = sorted.map((wait, index) => {
		sum += wait;
		return (amount + sum) / (index + 1);
	});
	// The level counts for as many replicas as lie below it.
	return levels.find((level, index) => index + 1 === sorted.length || level <= sorted[index + 1]!)!;
}
