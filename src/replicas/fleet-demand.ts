/**
 * Pools the demand for a service over all boxes. In a large fleet, one box receives only one or two requests a
 * second: its own estimates are noisy and differ from those of other boxes.
 */
import {medianOf} from '../base/median.js';
import {sumOf} from '../base/sum.js';
import type {Demand} from './service-demand.js';

/** Demand for a service, pooled over all boxes. */
export type FleetDemand = Pick<Demand, 'requests' | 'reading' | 'readRate' | 'goal'> & {
	/** Mean time in milliseconds until a busy replica has read the prompt that a new request finds in progress; zero without enough samples. */
	readonly residualReading: number;
	/** Requests a second that arrive, whether or not they are answered in time. */
	readonly rate: number;
	/** Fraction of requests that are answered late or rejected for lack of replica capacity; zero without enough requests. */
	readonly missedPart: number;
	/** Number of boxes whose demand is included. */
	readonly boxes: number;
};

/** Load of all boxes on a service. */
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

/** Requests a second below which the missed fraction is too noisy to use. */
const minOutcomeRate = 2;
const millisecondsPerSecond = 1000;

/**
 * @param demands - Demand for one service at each box.
 * @param measuredReadRate - Read rate that was estimated from the samples of these boxes, in prompt tokens a second; zero if unknown.
 * @returns The pooled demand.
 */
export function pooledDemand(demands: readonly Demand[], measuredReadRate = 0): FleetDemand {
	const total = (valueOf: (demand: Demand) => number): number => sumOf(demands.map(demand => valueOf(demand)));
	// The median excludes outliers: a box whose prompts were already cached by the replicas overestimates the read rate.
	const readRate = measuredReadRate > 0 ? measuredReadRate : medianOf(demands.map(demand => demand.readRate).filter(rate => rate > 0));
	const active = demands.filter(({goal}) => goal > 0);
	const meanTokens = total(demand => demand.meanTokens);
	const outcomes = total(({met, missed}) => met + missed);
	return {
		requests: total(({requests}) => requests),
		reading: total(({reading}) => reading),
		readRate,
		goal: active.length === 0 ? 0 : sumOf(active.map(({goal}) => goal)) / active.length,
		residualReading: readRate === 0 || meanTokens === 0
			? 0
			: total(({meanSquare}) => meanSquare) / (2 * meanTokens) / readRate * millisecondsPerSecond,
		rate: outcomes,
		missedPart: outcomes < minOutcomeRate ? 0 : total(({missed}) => missed) / outcomes,
		boxes: demands.length,
	};
}

/**
 * @param demand - Pooled demand for a service.
 * @returns Its rates; `undefined` where no request has been counted.
 */
export function ratesOf({rate, reading, readRate, requests}: FleetDemand): ServiceRates | undefined {
	return rate > 0
		? {
			requests: rate, tokens: reading / rate, readRate, duration: requests / rate * millisecondsPerSecond,
		}
		: undefined;
}
