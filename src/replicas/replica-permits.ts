/**
 * Divides the places at a replica among boxes: each place belongs to one box, which may have as many requests in progress there as it owns places.
 *
 * @remarks Source: docs/DESIGN.md, "Brittle replicas".
 */
import {hashFraction} from '../base/rendezvous.js';
import type {RingRange} from './limit-slots.js';

/** Distance between the positions of consecutive places; the golden ratio spreads the places of any range of the ring evenly over the replicas. */
const positionStep = (Math.sqrt(5) - 1) / 2;
/** Part of a replica's slots that is used: a box may learn late that another has ended a request, or that a place has changed its owner. */
const usablePart = 0.9;

/**
 * @param start - Incarnation of the replica.
 * @param slots - Requests that the replica runs at once.
 * @param ranges - Ranges of the ring of length one that the box owned recently; a place counts only if all of them contain it.
 * @returns Number of places that belong to the box.
 */
export function permitsOf(start: string, slots: number, ranges: readonly RingRange[]): number {
	const phase = hashFraction(`places\n${start}`);
	const places = Array.from({length: Math.ceil(slots * usablePart)}, (_, place) => fractionOf(phase + (place * positionStep)));
	return places.filter(position => ranges.length > 0 && ranges.every(({from, length}) => fractionOf(position - from) < length)).length;
}

const fractionOf = (value: number): number => value - Math.floor(value);
