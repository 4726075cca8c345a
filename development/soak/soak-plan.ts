/**
 * The schedule of faults of one soak test, determined by the seed alone. Faults overlap.
 */

import {createRandom} from '../harness/seeded-random.js';
import {seededBy} from './seeded-by.js';

/** A scheduled fault: its target and duration. */
export type SoakFault = {
	/** Milliseconds from the start of the load. */
	readonly at: number;
	readonly kind: SoakFaultKind;
	/** Selects the relay or replica: an index, taken modulo the number of targets. */
	readonly target: number;
	/** Milliseconds. */
	readonly duration: number;
};

const relayKinds = ['relay-killed', 'relay-stopped', 'relay-frozen', 'relay-reloaded'] as const;
/** Faults of boxes, the store, replicas, and the data written to the store. */
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
/** Faults in the streams of a replica. */
const streamKinds = ['stream-breaks', 'stream-misfits', 'stream-stalls'] as const;
/** Faults of clocks, of datagrams between boxes, of the store towards a single box, and of settings files. */
const boxKinds = ['clock-ahead', 'clock-behind', 'datagrams-lost', 'datagrams-late', 'datagrams-one-way', 'store-turns-away', 'settings-series'] as const;
/** A box that is isolated from the store and the other boxes for longer than a revoked key may be used. */
const cutOffKinds = ['box-cut-off'] as const;
/** Replicas that announce a request rate limit, in requests per second over all boxes. */
const limitKinds = ['limit-named', 'limit-changing'] as const;
/** Replicas that announce in their answers that they are leaving, or ask for a pause without requests. */
const statementKinds = ['says-leaving', 'says-pause'] as const;
/** A store that is restored from a backup. */
const restoreKinds = ['store-restored'] as const;
/** A relay that is partitioned from all replicas, with connections refused or hanging. */
const networkKinds = ['network-refused', 'network-hangs'] as const;
/** All kinds of faults. */
export const soakFaultKinds = [...generalKinds, ...streamKinds, ...boxKinds, ...cutOffKinds, ...limitKinds, ...statementKinds, ...restoreKinds, ...networkKinds] as const;
export type SoakFaultKind = typeof soakFaultKinds[number];

/** Minimum duration of a fault, in milliseconds. */
const minFaultDuration = 300;
/** Maximum duration of a fault, in milliseconds. */
const maxFaultDuration = 2500;
/** Mean milliseconds between two faults of the general group. */
const generalPause = 350;
/** Mean milliseconds between two faults in the streams of a replica. */
const streamPause = 500;
/** Mean milliseconds between two faults of clocks, datagrams, the store towards a single box, or settings files. */
const boxPause = 600;
/** Mean milliseconds between two isolations of a box. */
const cutOffPause = 8000;
/** Mean milliseconds between two limits that replicas announce. */
const limitPause = 3000;
/** Mean milliseconds between two announcements that a replica is leaving or asks for a pause. */
const statementPause = 1500;
/** Mean milliseconds between two restores of the store. */
const restorePause = 4000;
/** Mean milliseconds between two partitions of a relay from the replicas. */
const networkPause = 2500;
/** Default number of relays. */
const defaultRelays = 4;
/** Mean milliseconds between two extra faults of relays and boxes for each relay beyond the default number. */
const extraBoxPause = 4000;

/**
 * @param seed - Seed of all random draws.
 * @param length - Milliseconds during which new faults start.
 * @param relays - Number of relays.
 * @returns The faults, in order of their start.
 */
export function planSoak(seed: number, length: number, relays = defaultRelays): readonly SoakFault[] {
	// Each group has its own generator, so that a kind added to one group does not change the faults of the others.
	return [
		...drawFaults(createRandom(seed), length, generalKinds, generalPause),
		...drawFaults(seededBy(seed, 'streams'), length, streamKinds, streamPause),
		...drawFaults(seededBy(seed, 'boxes'), length, boxKinds, boxPause),
		...drawFaults(seededBy(seed, 'cut-offs'), length, cutOffKinds, cutOffPause),
		...drawFaults(seededBy(seed, 'limits'), length, limitKinds, limitPause),
		...drawFaults(seededBy(seed, 'statements'), length, statementKinds, statementPause),
		...drawFaults(seededBy(seed, 'networks'), length, networkKinds, networkPause),
		...drawFaults(seededBy(seed, 'restores'), length, restoreKinds, restorePause),
		...(relays > defaultRelays ? drawFaults(seededBy(seed, 'crowd'), length, [...relayKinds, ...boxKinds], extraBoxPause / (relays - defaultRelays)) : []),
	].sort((left, right) => left.at - right.at);
}

function drawFaults(random: () => number, length: number, kinds: readonly SoakFaultKind[], meanPause: number): readonly SoakFault[] {
	return Array.from({length: Math.round(length / meanPause)}, (): SoakFault => ({
		at: Math.round(random() * length),
		kind: kinds[Math.floor(random() * kinds.length)]!,
		target: Math.floor(random() * 1000),
		duration: Math.round(minFaultDuration + (random() * (maxFaultDuration - minFaultDuration))),
	}));
}
