/**
 * Weights by which boxes divide the places at brittle replicas: the demand at a box relative to the mean of all boxes, as a power of two. A place
 * that changes its owner is unused for a while, so a weight does not change with the random variation of the demand. Each box computes its own
 * weight and sends it to the others, so that all boxes divide the places by the same weights.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';

/** Dependencies of the weights. */
export type DemandWeightServices = {
	readonly clock: Clock;
	/** @returns Requests a second for a service that clients send to this box. */
	readonly ownRate: (service: string) => number;
	/** @returns The mean over all boxes; zero if unknown. */
	readonly meanRate: (service: string) => number;
};

/** A weight as boxes send it to each other; a box that sends none has the weight one. */
export type DemandWeight = {readonly service: string; readonly weight: number};

type WeightState = {
	/** Demand relative to the mean, averaged over {@link averagingTime}. */
	ratio: number;
	/** Monotonic milliseconds of the last sample. */
	sampledAt: number;
	weight: number;
};

/** Milliseconds after which a sample of the demand counts for 1/e of its weight. */
const averagingTime = 16_000;
/** Factor by which the demand differs from the weight before the weight changes. */
const maxDeviation = 2;
/** Least weight: a box without demand may get requests in the next second. */
const minWeight = 0.25;
const maxWeight = 8;
/** Mean requests a second below which the demand at one box says little. */
const minMeanRate = 0.5;

/** The weights of one box, by service. */
export class DemandWeights {
	/**
	 * @param services - Its dependencies.
	 * @returns Weights without samples.
	 */
	static create(services: DemandWeightServices): DemandWeights {
		return new DemandWeights(services);
	}

	private readonly states = new Map<string, WeightState>();

	private constructor(private readonly services: DemandWeightServices) {}

	/**
	 * @param service - Name of a service.
	 * @returns The weight of this box; one for a box with the mean demand.
	 */
	of(service: string): number {
		return this.states.get(service)?.weight ?? 1;
	}

	/**
	 * Samples the demand. To be called in each round of the exchange, so that the weights are known when replicas become brittle.
	 *
	 * @param services - Names of the services that had requests.
	 */
	sample(services: readonly string[]): void {
		for (const service of services) {
			this.sampleService(service);
		}
	}

	/**
	 * @param services - Names of services.
	 * @returns The weights to send to other boxes.
	 */
	updates(services: ReadonlySet<string>): readonly DemandWeight[] {
		return [...services].map(service => ({service, weight: this.of(service)})).filter(({weight}) => weight !== 1);
	}

	private sampleService(service: string): void {
		const now = this.services.clock.monotonic();
		const state = getOrCreate(this.states, service, () => ({ratio: 1, sampledAt: now, weight: 1}));
		const part = 1 - Math.exp((state.sampledAt - now) / averagingTime);
		state.ratio += (this.currentRatio(service) - state.ratio) * part;
		state.sampledAt = now;
		if (state.ratio * maxDeviation < state.weight || state.ratio > state.weight * maxDeviation) {
			state.weight = nearestWeight(state.ratio);
		}
	}

	private currentRatio(service: string): number {
		const mean = this.services.meanRate(service);
		return mean < minMeanRate ? 1 : clampWeight(this.services.ownRate(service) / mean);
	}
}

/**
 * @param weight - A weight, also one that another box sent.
 * @returns The nearest weight that a box may have.
 */
export const clampWeight = (weight: number): number => Math.min(maxWeight, Math.max(minWeight, weight));

const nearestWeight = (ratio: number): number => clampWeight(2 ** Math.round(Math.log2(ratio)));
