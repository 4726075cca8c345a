/**
 * What boxes tell each other of the cost of requests.
 */
import {sumOf} from '../base/sum.js';
import {pooledLengths, type LengthEvidence} from './output-lengths.js';
import {pooledTimes, type PlainEvidence} from './plain-times.js';
import {scaled, type ReadingEvidence} from './reading-model.js';
import {pooledValue, type WeightedValue} from './weighted-quantile.js';

/** Evidence of the cost of requests of one service and software version. */
export type CostEvidence = {
	readonly service: string;
	readonly software: string;
	/** Milliseconds since the last request that it is based on. */
	readonly age: number;
	readonly reading: ReadingEvidence;
	/** Milliseconds for each generated token. */
	readonly tokenTime: WeightedValue;
	/** Output tokens, by route. */
	readonly lengths: ReadonlyMap<string, LengthEvidence>;
	/** Durations of plain calls, by route. */
	readonly plain: ReadonlyMap<string, PlainEvidence>;
};

/**
 * @param evidence - Evidence of several boxes on the same service and version; at least one.
 * @returns Their mean by weight, with the age of the newest.
 */
export function pooledEvidence(evidence: readonly CostEvidence[]): CostEvidence {
	const {service, software, reading} = evidence[0]!;
	return {
		service,
		software,
		age: Math.min(...evidence.map(({age}) => age)),
		reading: reading.map((_, index) => pooledValue(evidence.map(one => one.reading[index]!))),
		tokenTime: pooledValue(evidence.map(({tokenTime}) => tokenTime)),
		lengths: pooledMaps(evidence.map(({lengths}) => lengths), pooledLengths),
		plain: pooledMaps(evidence.map(({plain}) => plain), pooledTimes),
	};
}

/**
 * @param evidence - Evidence.
 * @param factor - Factor from 0 to 1.
 * @returns The same evidence with its weights times the factor.
 */
export function weakened(evidence: CostEvidence, factor: number): CostEvidence {
	const weaken = <Item extends {readonly weight: number}>(item: Item): Item => ({...item, weight: item.weight * factor});
	return {
		...evidence,
		reading: scaled(evidence.reading, factor),
		tokenTime: weaken(evidence.tokenTime),
		lengths: new Map([...evidence.lengths].map(([route, item]) => [route, weaken(item)])),
		plain: new Map([...evidence.plain].map(([route, item]) => [route, weaken(item)])),
	};
}

/**
 * @param evidence - Evidence.
 * @returns Sum of its weights.
 */
export function weightOf({reading, plain}: CostEvidence): number {
	return sumOf([...reading, ...plain.values()].map(({weight}) => weight));
}

function pooledMaps<Item>(maps: ReadonlyArray<ReadonlyMap<string, Item>>, pool: (items: readonly Item[]) => Item): ReadonlyMap<string, Item> {
	const routes = new Set(maps.flatMap(map => [...map.keys()]));
	return new Map([...routes].map(route => [route, pool(maps.flatMap(map => {
		const item = map.get(route);
		return item === undefined ? [] : [item];
	}))]));
}
