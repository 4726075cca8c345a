/**
 * Chooses the upstreams that a box keeps links to when there are too many to link to all. Each upstream is assigned the same number of
 * boxes by rendezvous hash, so all upstreams get a similar load, and adding or removing a box or an upstream changes few links.
 */
import type {BoxId} from '../base/identifiers.js';
import {hashText, mixHashes} from '../base/rendezvous.js';

/** Approximate number of upstreams of a pool that a box keeps links to; a pool of at most this size is linked completely. */
export const targetLinks = 32;
/** Minimum number of boxes that keep a link to an upstream. */
const minBoxesPerUpstream = 3;

/** Input of the choice; the same on every box except for `self`. */
export type SubsetFacts = {
	readonly self: BoxId;
	/** All entry boxes, including this one. */
	readonly boxes: readonly BoxId[];
	/** Upstreams of one pool that may get new requests. */
	readonly upstreams: readonly BoxId[];
	/** Approximate number of links for each box; see {@link targetLinks}. */
	readonly target: number;
};

/**
 * @param facts - Input of the choice.
 * @returns The upstreams that this box keeps links to.
 */
export function chooseSubset({self, boxes, upstreams, target}: SubsetFacts): ReadonlySet<BoxId> {
	if (upstreams.length <= target) {
		return new Set(upstreams);
	}

	const others = boxes.filter(box => box !== self).map(box => hashText(box));
	const own = hashText(self);
	const boxesEach = Math.max(minBoxesPerUpstream, Math.ceil(target * (others.length + 1) / upstreams.length));
	return new Set(upstreams.filter(upstream => {
		const hash = hashText(upstream);
		const score = mixHashes(own, hash);
		return others.filter(other => mixHashes(other, hash) > score).length < boxesEach;
	}));
}
