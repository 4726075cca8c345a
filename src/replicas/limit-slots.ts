/**
 * Divides the request limit of a replica among boxes. Time is cut into slots, one for each request that the limit allows, and each slot belongs to one
 * box. Every box computes its own slots from the common time and the boxes' shares of the demand, without coordination.
 *
 * @remarks Source: docs/DESIGN.md, "Limits that replicas name".
 */
import {hashFraction} from '../base/rendezvous.js';
import {sumOf} from '../base/sum.js';

/** Range of a ring of length one that belongs to one box: the box owns each slot whose position lies in the range. */
export type RingRange = {
	/** From 0 to 1. */
	readonly from: number;
	/** From 0 to 1. */
	readonly length: number;
};

/** Input for computing the slots of one box at one replica. */
export type SlotPlan = {
	/** Incarnation of the replica. It offsets the slots in time and permutes their owners, so that the slots of different replicas do not coincide. */
	readonly start: string;
	/** Requests a second that the replica accepts from all boxes; above zero. */
	readonly limit: number;
	readonly range: RingRange;
};

/** A slot of this box. */
export type Slot = {
	/** Milliseconds of the boxes' common time at which the slot begins. */
	readonly at: number;
	/** Requests that may be sent in the slot. */
	readonly requests: number;
};

/** Slots a second, at most; a higher limit puts several requests into each slot. */
const maxSlotsPerSecond = 64;
/** Distance between the positions of consecutive slots. The golden ratio spreads the slots of any range of the ring evenly over time. */
const positionStep = (Math.sqrt(5) - 1) / 2;
/** Slots after which positions repeat; limits the loss of floating-point precision. */
const positionPeriod = 2 ** 20;
/** Milliseconds for which a slot may be used, at least: a box without a waiting request needs time to receive one. */
const minSlotLifetime = 1000;
const millisecondsPerSecond = 1000;

/**
 * @param limit - Requests a second; above zero.
 * @returns Milliseconds after its beginning for which a slot may be used.
 */
export function slotLifetime(limit: number): number {
	return Math.max(minSlotLifetime, millisecondsPerSecond / limit);
}

/**
 * @param plan - The replica, its limit and this box's range of the ring.
 * @param after - Milliseconds of the common time, exclusive.
 * @param until - Milliseconds of the common time, inclusive; not before `after`.
 * @returns This box's slots that begin later than `after` and not later than `until`.
 */
export function ownSlots({start, limit, range}: SlotPlan, after: number, until: number): readonly Slot[] {
	const requests = Math.ceil(limit / maxSlotsPerSecond);
	const interval = millisecondsPerSecond / (limit / requests);
	const phase = hashFraction(start);
	const first = Math.floor((after / interval) - phase) + 1;
	const count = Math.max(0, Math.floor((until / interval) - phase) - first + 1);
	const owns = (number: number): boolean => fractionOf(phase + ((number % positionPeriod) * positionStep) - range.from) < range.length;
	return Array.from({length: count}, (_, index) => first + index)
		.filter(number => owns(number))
		.map(number => ({at: (number + phase) * interval, requests}))
		// Rounding can yield the slot that begins at `after` once more; returning it would allow its reuse without limit.
		.filter(({at}) => at > after);
}

/**
 * Divides the ring among boxes in proportion to their weights.
 *
 * @param weights - Demand at each box, by box name.
 * @returns The range of each box, adjacent in the order of the names; the same on every box that knows the same weights.
 */
export function divideRing(weights: ReadonlyMap<string, number>): ReadonlyMap<string, RingRange> {
	const total = sumOf([...weights.values()]);
	let from = 0;
	return new Map([...weights.keys()].sort().map(name => {
		const length = total > 0 ? weights.get(name)! / total : 0;
		const range = {from, length};
		from += length;
		return [name, range];
	}));
}

const fractionOf = (value: number): number => value - Math.floor(value);
