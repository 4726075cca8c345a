/**
 * What goes wrong in one soak, and when: drawn from a seed alone. Faults overlap.
 */

import {randomOf} from '../harness/seeded-random.js';
import {seededBy} from './seeded-by.js';

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

const relayKinds = ['relay-killed', 'relay-stopped', 'relay-frozen', 'relay-reloaded'] as const;
/** Faults of boxes, store, replicas and what is written to them. */
const generalKinds = [
	...relayKinds,
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
/** Faults of the streams of a replica. */
const streamKinds = ['stream-breaks', 'stream-misfits', 'stream-stalls'] as const;
/** Faults of clocks, of datagrams between boxes, and of what single boxes are told. */
const boxKinds = ['clock-ahead', 'clock-behind', 'datagrams-lost', 'datagrams-late', 'datagrams-one-way', 'store-turns-away', 'settings-series'] as const;
/** A box that is cut off from store and boxes for longer than a key that is taken away may be used. */
const cutOffKinds = ['box-cut-off'] as const;
/** Replicas that name how many requests a second they take of all boxes. */
const limitKinds = ['limit-named', 'limit-changing'] as const;
/** Replicas that say of themselves that they leave, or want no requests for a time. */
const statementKinds = ['says-leaving', 'says-pause'] as const;
/** A store that comes back from a copy. */
const restoreKinds = ['store-restored'] as const;
/** Every sort of fault. */
export const soakFaultKinds = [...generalKinds, ...streamKinds, ...boxKinds, ...cutOffKinds, ...limitKinds, ...statementKinds, ...restoreKinds] as const;
export type SoakFaultKind = typeof soakFaultKinds[number];

const shortestFault = 300;
const longestFault = 2500;
/** Milliseconds between two faults of a group, on average. */
const generalPause = 350;
const streamPause = 500;
const boxPause = 600;
const cutOffPause = 8000;
const limitPause = 3000;
const statementPause = 1500;
const restorePause = 4000;
/** Relays of a usual soak; for each one more, faults of relays come that often. */
const usualRelays = 4;
const crowdPause = 4000;

/**
 * @param seed - Draws everything.
 * @param length - Milliseconds in which faults begin.
 * @param relays - How many relays there are.
 * @returns The faults, in order.
 */
export function planSoak(seed: number, length: number, relays = usualRelays): readonly SoakFault[] {
	// A generator for each group: a sort that is added to one leaves the faults of the others as they were.
	return [
		...drawFaults(randomOf(seed), length, generalKinds, generalPause),
		...drawFaults(seededBy(seed, 'streams'), length, streamKinds, streamPause),
		...drawFaults(seededBy(seed, 'boxes'), length, boxKinds, boxPause),
		...drawFaults(seededBy(seed, 'cut-offs'), length, cutOffKinds, cutOffPause),
		...drawFaults(seededBy(seed, 'limits'), length, limitKinds, limitPause),
		...drawFaults(seededBy(seed, 'statements'), length, statementKinds, statementPause),
		...drawFaults(seededBy(seed, 'restores'), length, restoreKinds, restorePause),
		...(relays > usualRelays ? drawFaults(seededBy(seed, 'crowd'), length, [...relayKinds, ...boxKinds], crowdPause / (relays - usualRelays)) : []),
	].sort((left, right) => left.at - right.at);
}

function drawFaults(random: () => number, length: number, kinds: readonly SoakFaultKind[], meanPause: number): readonly SoakFault[] {
	return Array.from({length: Math.round(length / meanPause)}, (): SoakFault => ({
		at: Math.round(random() * length),
		kind: kinds[Math.floor(random() * kinds.length)]!,
		target: Math.floor(random() * 1000),
		duration: Math.round(shortestFault + (random() * (longestFault - shortestFault))),
	}));
}
