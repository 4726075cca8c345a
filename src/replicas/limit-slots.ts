/**
 * Who may send the next request to a replica that takes few: time is cut into slots, one for each request that the limit allows, and each slot belongs to
 * one box. All boxes work that out from their common time and their shares of the demand, without a word between them.
 *
 * @remarks Source: docs/DESIGN.md, "Limits that replicas name".
 */
import {shareOf} from '../base/rendezvous.js';
import {sumOf} from '../base/sum.js';

/** The part of all slots that belongs to one box: those whose place is on this stretch of a line of length one, which closes in a ring. */
export type Stretch = {
	/** From 0 to 1. */
	readonly from: number;
	/** From 0 to 1. */
	readonly length: number;
};

/** The slots of one replica, as one box sees them. */
export type SlotPlan = {
	/** Names the start of the replica: the slots of different replicas begin at different times, and go to the boxes in another order. */
	readonly start: string;
	/** Requests a second; above zero. */
	readonly limit: number;
	readonly stretch: Stretch;
};

/** A slot of this box. */
export type Slot = {
	/** Milliseconds of the boxes' common time at which it begins. */
	readonly at: number;
	/** Requests that may be sent in it. */
	readonly requests: number;
};

/** Slots a second at most; a greater limit has more requests in each. */
const mostSlots = 64;
/** Places follow each other by the golden section: any stretch then gets its slots as evenly as can be, however few there are. */
const placeStep = (Math.sqrt(5) - 1) / 2;
/** Slots after which places are counted anew, so that their fractions keep their digits. */
const placesCounted = 2 ** 20;
/** Milliseconds for which a slot may be used at least: a box has to have a request by then. */
const leastLifetime = 1000;
const millisecondsPerSecond = 1000;

/**
 * @param limit - Requests a second; above zero.
 * @returns Milliseconds for which a slot may be used.
 */
export function slotLifetime(limit: number): number {
	return Math.max(leastLifetime, millisecondsPerSecond / limit);
}

/**
 * @param plan - The slots.
 * @param after - Milliseconds of the common time.
 * @param until - The same; not before `after`.
 * @returns The slots of this box that begin later than `after`, up to `until`.
 */
export function ownSlots({start, limit, stretch}: SlotPlan, after: number, until: number): readonly Slot[] {
	const requests = Math.ceil(limit / mostSlots);
	const interval = millisecondsPerSecond / (limit / requests);
	const phase = shareOf(start);
	const first = Math.floor((after / interval) - phase) + 1;
	const count = Math.max(0, Math.floor((until / interval) - phase) - first + 1);
	const owns = (number: number): boolean => fractionOf(phase + ((number % placesCounted) * placeStep) - stretch.from) < stretch.length;
	return Array.from({length: count}, (_, index) => first + index)
		.filter(number => owns(number))
		.map(number => ({at: (number + phase) * interval, requests}))
		// A number worked out from the beginning of a slot may be that slot's again, by the last digit: it would be used without end.
		.filter(({at}) => at > after);
}

/**
 * Divides the line among boxes.
 *
 * @param weights - What is asked for at each box, by name.
 * @returns The stretch of each box, side by side; the same wherever the same is known.
 */
export function divideLine(weights: ReadonlyMap<string, number>): ReadonlyMap<string, Stretch> {
	const total = sumOf([...weights.values()]);
	let from = 0;
	return new Map([...weights.keys()].sort().map(name => {
		const length = total > 0 ? weights.get(name)! / total : 0;
		const stretch = {from, length};
		from += length;
		return [name, stretch];
	}));
}

const fractionOf = (value: number): number => value - Math.floor(value);
