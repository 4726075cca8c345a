/**
 * What is asked of a service at all boxes together. In a large fleet one box sees a request or two a second: what it
 * alone makes of them says little, and two boxes differ.
 */
import {medianOf} from '../base/median.js';
import {sumOf} from '../base/sum.js';
import type {Demand} from './service-demand.js';

/** What is asked of a service at all boxes together. */
export type FleetDemand = Pick<Demand, 'requests' | 'reading' | 'readRate' | 'goal'> & {
	/** Milliseconds that a replica still reads when a request finds it reading, on average; zero where too little was seen. */
	readonly residualReading: number;
	/** Requests a second that come, answered in time or not. */
	readonly rate: number;
	/** Part of the requests whose answers begin late, or that replicas are too short to serve; zero where none came. */
	readonly missedPart: number;
	/** Boxes whose word it is. */
	readonly boxes: number;
};

/** Requests a second below which the part that is missed says nothing. */
const leastOutcomes = 2;
const millisecondsPerSecond = 1000;

/**
 * @param told - What each box tells of one service.
 * @returns What is asked of it.
 */
export function pooledDemand(told: readonly Demand[]): FleetDemand {
	const total = (valueOf: (demand: Demand) => number): number => sumOf(told.map(demand => valueOf(demand)));
	// A box that saw only prompts that others had read before says too much.
	const readRate = medianOf(told.map(demand => demand.readRate).filter(rate => rate > 0));
	const active = told.filter(({goal}) => goal > 0);
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
		missedPart: outcomes < leastOutcomes ? 0 : total(({missed}) => missed) / outcomes,
		boxes: told.length,
	};
}
