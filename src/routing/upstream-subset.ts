/**
 * Which upstreams a box keeps links to, when there are too many for all of them. Each upstream picks, by
 * rendezvous hash, as many boxes as it needs; so all upstreams are used alike, and the coming or going of one
 * box or upstream changes few links.
 */
import type {BoxId} from '../base/identifiers.js';
import {hashText, mixHashes} from '../base/rendezvous.js';

/** Upstreams of a pool that a box keeps links to, about; up to this many it keeps them all. */
export const targetLinks = 32;
/** Boxes at least that keep a link to an upstream. */
const fewestBoxes = 3;

/** What the choice rests on; the same on every box but for `self`. */
export type SubsetFacts = {
	readonly self: BoxId;
	/** All entry boxes, this one too. */
	readonly boxes: readonly BoxId[];
	/** Upstreams of one pool that may get new work. */
	readonly upstreams: readonly BoxId[];
	/** See {@link targetLinks}. */
	readonly target: number;
};

/**
 * @param facts - What the choice rests on.
 * @returns The upstreams that this box keeps links to.
 */
export function chooseSubset({self, boxes, upstreams, target}: SubsetFacts): ReadonlySet<BoxId> {
	if (upstreams.length <= target) {
		return new Set(upstreams);
	}

	const others = boxes.filter(box => box !== self).map(box => hashText(box));
	const own = hashText(self);
	const boxesEach = Math.max(fewestBoxes, Math.ceil(target * (others.length + 1) / upstreams.length));
	return new Set(upstreams.filter(upstream => {
		const hash = hashText(upstream);
		const score = mixHashes(own, hash);
		return others.filter(other => mixHashes(other, hash) > score).length < boxesEach;
	}));
}
