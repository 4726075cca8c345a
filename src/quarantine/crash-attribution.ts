/**
 * Attributes crashes of replicas to requests: to the smallest set of requests that explains all crashes.
 *
 * @remarks
 * A crash cuts off every request that the replica was running, so that most of them are innocent bystanders. The request that is common
 * to the most crashes explains these; other requests are then counted only in the crashes that remain unexplained (greedy set cover:
 * V. Chvátal, "A greedy heuristic for the set-covering problem", Mathematics of Operations Research, 1979).
 */
import {getOrCreate} from '../base/get-or-create.js';
import type {Fingerprint} from './fingerprint.js';

/** A request that was running at a replica when the replica crashed. */
export type Suspect = {
	readonly fingerprint: Fingerprint;
	/** Milliseconds for which the request had been running there. */
	readonly ranFor: number;
	/** Parts of its prompt that other requests may share. */
	readonly parts?: readonly Fingerprint[];
};

/** The part of a crash that attribution needs. */
export type SuspectedCrash = {
	/** Identifies the start (incarnation) of the replica that crashed. */
	readonly start: string;
	/** Requests that were running at the replica. */
	readonly suspects: readonly Suspect[];
};

/** Crashes that are attributed to one request. */
export type Attribution = {
	/** Starts of the replicas whose crashes the request explains. */
	readonly starts: readonly string[];
	/** Whether another request with as many crashes was running at all but at most one of these, so that either may be the cause. */
	readonly isShared: boolean;
	/** Whether another request, with any number of crashes, was running at all but at most one of these. A missing report may make it the cause. */
	readonly hasRival: boolean;
};

/** Min. crashes at which a request explains a crash for the other requests there: a request at a single crash may be a bystander. */
const minExplainingCrashes = 2;
/** Max. crashes by which two indistinguishable requests differ: a single crash may have an unrelated cause. */
const maxDifferingCrashes = 1;
/** How many times longer every other request must have run before one of its crashes, for the request with the shortest runs to be the cause. */
const minRunTimeRatio = 2;

/** The crashes at which a request was running, and its longest run before one of them in milliseconds. */
type Presence = {readonly fingerprint: Fingerprint; readonly starts: string[]; longestRun: number};

/**
 * @param crashes - All crashes.
 * @returns The crashes attributed to each request, in descending order of their number; a request that is absent was only a bystander.
 */
export function attributeCrashes(crashes: readonly SuspectedCrash[]): ReadonlyMap<Fingerprint, Attribution> {
	const attributions = new Map<Fingerprint, Attribution>();
	let unexplained = crashes;
	for (;;) {
		const presences = presencesAt(unexplained);
		const highestCount = Math.max(0, ...presences.map(({starts}) => starts.length));
		const candidates = presences.filter(({starts}) => starts.length === highestCount);
		const shortest = highestCount < minExplainingCrashes ? undefined : shortestRunOf(candidates);
		for (const {fingerprint, starts} of shortest ? [shortest] : candidates) {
			attributions.set(fingerprint, {
				starts,
				isShared: !shortest && hasRivalAmong(candidates, fingerprint, starts),
				hasRival: hasRivalAmong(presences, fingerprint, starts),
			});
		}

		if (highestCount < minExplainingCrashes) {
			return attributions;
		}

		const explained = new Set((shortest ? [shortest] : candidates).flatMap(({starts}) => starts));
		unexplained = unexplained.filter(({start}) => !explained.has(start));
	}
}

/** A request that crashes replicas does so soon after it begins; a bystander has run for an arbitrary time. */
function shortestRunOf(presences: readonly Presence[]): Presence | undefined {
	const [first, second] = [...presences].sort((left, right) => left.longestRun - right.longestRun);
	return first && (!second || first.longestRun * minRunTimeRatio <= second.longestRun) ? first : undefined;
}

function hasRivalAmong(presences: readonly Presence[], fingerprint: Fingerprint, starts: readonly string[]): boolean {
	return presences.some(other => other.fingerprint !== fingerprint && starts.filter(start => !other.starts.includes(start)).length <= maxDifferingCrashes);
}

function presencesAt(crashes: readonly SuspectedCrash[]): readonly Presence[] {
	const presences = new Map<Fingerprint, Presence>();
	for (const {start, suspects} of crashes) {
		for (const {fingerprint, ranFor} of suspects) {
			const presence = getOrCreate(presences, fingerprint, () => ({fingerprint, starts: [], longestRun: 0}));
			presence.starts.push(start);
			presence.longestRun = Math.max(presence.longestRun, ranFor);
		}
	}

	return [...presences.values()];
}
