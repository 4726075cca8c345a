/**
 * Which requests the ends of replicas are put down to: as few as explain them all.
 *
 * @remarks
 * A replica takes all that runs there with it, so that most requests at an end only stood beside. The request that is common to
 * the most ends explains them; what is left of others is counted in the ends that are not explained yet (the greedy cover of a
 * set: V. Chvátal, "A greedy heuristic for the set-covering problem", Mathematics of Operations Research, 1979).
 */
import type {Fingerprint} from './fingerprint.js';

/** An end, as far as the blame is concerned. */
export type BlamedEnd = {
	/** Names the start of the replica that ended. */
	readonly start: string;
	/** Requests that were at the replica. */
	readonly suspects: readonly Fingerprint[];
};

/** What is put down to one request. */
export type Blame = {
	/** Starts of the replicas whose ends it explains. */
	readonly starts: readonly string[];
	/** Whether another request, at as many ends, was at all of these but one at most, so that either may be the one. */
	readonly isShared: boolean;
};

/** Ends from which on a request explains others' ends: what was at one alone may have stood beside. */
const leastExplaining = 2;
/** Ends by which two must differ to be told apart: one by itself may be a replica that ended for a reason of its own. */
const mostApart = 1;

/**
 * @param ends - All ends.
 * @returns What is put down to whom; a request that is absent only stood beside.
 */
export function blameFor(ends: readonly BlamedEnd[]): ReadonlyMap<Fingerprint, Blame> {
	const blames = new Map<Fingerprint, Blame>();
	let open = ends;
	for (;;) {
		const startsOf = startsBySuspect(open);
		const most = Math.max(0, ...[...startsOf.values()].map(({length}) => length));
		const top = [...startsOf].filter(([, starts]) => starts.length === most);
		for (const [suspect, starts] of top) {
			const isShared = top.some(([other, others]) => other !== suspect && starts.filter(start => !others.includes(start)).length <= mostApart);
			blames.set(suspect, {starts, isShared});
		}

		if (most < leastExplaining) {
			return blames;
		}

		const explained = new Set(top.flatMap(([, starts]) => starts));
		open = open.filter(({start}) => !explained.has(start));
	}
}

function startsBySuspect(ends: readonly BlamedEnd[]): ReadonlyMap<Fingerprint, readonly string[]> {
	const starts = new Map<Fingerprint, string[]>();
	for (const {start, suspects} of ends) {
		for (const suspect of suspects) {
			const known = starts.get(suspect);
			if (known) {
				known.push(start);
			} else {
				starts.set(suspect, [start]);
			}
		}
	}

	return starts;
}
