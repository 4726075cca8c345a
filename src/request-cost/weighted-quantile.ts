/**
 * Quantiles of weighted samples.
 */
import {sumOf} from '../base/sum.js';

/** A value with its weight as evidence. */
export type WeightedValue = {
	readonly value: number;
	readonly weight: number;
};

/**
 * @param samples - Samples in any order.
 * @param share - Share of the weight at or below the quantile, from 0 to 1.
 * @returns The quantile; zero without samples.
 */
export function quantileOf(samples: readonly WeightedValue[], share: number): number {
	const sorted = [...samples].sort((left, right) => left.value - right.value);
	let left = sumOf(sorted.map(({weight}) => weight)) * share;
	const found = sorted.find(({weight}) => {
		left -= weight;
		return left <= 0;
	});
	return (found ?? sorted.at(-1))?.value ?? 0;
}

/**
 * @param values - Estimates with their weights.
 * @returns Their mean by weight, and the sum of the weights; a mean of zero without weight.
 */
export function pooledValue(values: readonly WeightedValue[]): WeightedValue {
	const weight = sumOf(values.map(one => one.weight));
	return {value: weight > 0 ? sumOf(values.map(one => one.value * one.weight)) / weight : 0, weight};
}
