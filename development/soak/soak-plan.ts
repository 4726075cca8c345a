/**
 * What goes wrong in one soak, and when: drawn from a seed alone. Faults overlap.
 */

import {randomOf} from '../harness/seeded-random.js';

/** A fault, whom it strikes, and for how long. */
export type SoakFault = {
	/** Milliseconds from the start of the load. */
	readonly at: number;
	readonly kind: SoakFaultKind;
	/** Which relay or replica, counted among those that there are. */
	readonly target: number;
	/** Milliseconds. */
	readonly duration: number;
};

/** Every sort of fault. */
export const soakFaultKinds = [
	'relay-killed',
	'relay-stopped',
	'relay-frozen',
	'relay-reloaded',
	'store-cut',
	'store-frozen',
	'store-delayed',
	'store-busy',
	'store-loses-answers',
	'store-forgets',
	'replica-ends',
	'replica-drains',
	'replica-errs',
	'replica-cuts',
	'replica-mute',
	'replica-refuses',
	'replica-garbles',
	'entry-odd',
	'entry-spoilt',
	'configuration-changes',
	'configuration-bad',
	'key-taken',
	'poison',
] as const;
export type SoakFaultKind = typeof soakFaultKinds[number];

const shortestFault = 300;
const longestFault = 2500;
/** Milliseconds between two faults, on average. */
const faultPause = 350;

/**
 * @param seed - Draws everything.
 * @param length - Milliseconds in which faults begin.
 * @returns The faults, in order.
 */
export function planSoak(seed: number, length: number): readonly SoakFault[] {
	const random = randomOf(seed);
	const count = Math.round(length / faultPause);
	return Array.from({length: count}, (): SoakFault => ({
		at: Math.round(random() * length),
		kind: soakFaultKinds[Math.floor(random() * soakFaultKinds.length)]!,
		target: Math.floor(random() * 1000),
		duration: Math.round(shortestFault + (random() * (longestFault - shortestFault))),
	})).sort((left, right) => left.at - right.at);
}
