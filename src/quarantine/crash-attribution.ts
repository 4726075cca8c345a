/**
 * Attributes crashes of replicas to requests, and to parts of prompts that requests share: to the smallest set that explains all crashes.
 *
 * @remarks
 * A crash cuts off every request that the replica was running, so that most of them are innocent bystanders. The request or part that is
 * common to the most crashes explains these; others are then counted only in the crashes that remain unexplained (greedy set cover:
 * V. Chvátal, "A greedy heuristic for the set-covering problem", Mathematics of Operations Research, 1979).
 */
import {getOrCreate} from '../base/get-or-create.js';
import type {Fingerprint} from './fingerprint.js';

/** A request that was running at a replica when the replica crashed. */
export type Suspect = {
	readonly fingerprint: Fingerprint;
	/** Milliseconds for which the request had been running there. */
	readonly ranFor: number;
	/** Parts of its prompt that other requests may share; absent where it names none. */
	readonly parts?: readonly Fingerprint[];
	/** The client account that sent it; absent where that is unknown. */
	readonly clientAccount?: Fingerprint;
};

/** The part of a crash that attribution needs. */
export type SuspectedCrash = {
	/** Identifies the start (incarnation) of the replica that crashed. */
	readonly start: string;
	/** Requests that were running at the replica. */
	readonly suspects: readonly Suspect[];
	/** Monotonic milliseconds; absent where no completion of a part is known. */
	readonly crashedAt?: number;
};

/** Crashes that are attributed to one request, or to requests that share parts of their prompts. */
export type Attribution = {
	/** Starts of the replicas whose crashes it explains. */
	readonly starts: readonly string[];
	/** Whether another request with as many crashes was running at all but at most one of these, so that either may be the cause. */
	readonly isShared: boolean;
	/** Whether another request, with any number of crashes, was running at all but at most one of these. A missing report may make it the cause. */
	readonly hasRival: boolean;
	/** Parts that all the requests at these crashes have in common; empty where the crashes are attributed to a single request. */
	readonly parts: readonly Fingerprint[];
	/** Client accounts that sent the requests with these parts. */
	readonly clientAccounts: ReadonlySet<Fingerprint>;
	/** Whether a replica has completed a request with each of these parts before. */
	readonly isProven: boolean;
	/** Whether replicas have completed requests without these parts after several of the crashes. Otherwise they may crash whatever they run. */
	readonly isContrasted: boolean;
};

/**
 * @param part - Part of a prompt.
 * @returns Monotonic milliseconds at which a replica last began an answer on it that it completed; `undefined` if unknown.
 */
export type PartCompletions = (part: Fingerprint) => number | undefined;

/** Min. crashes at which a request explains a crash for the other requests there: a request at a single crash may be a bystander. */
const minExplainingCrashes = 2;
/** Max. crashes by which two indistinguishable requests differ: a single crash may have an unrelated cause. */
const maxDifferingCrashes = 1;
/** How many times longer every other request must have run before one of its crashes, for the request with the shortest runs to be the cause. */
const minRunTimeRatio = 2;
/** Min. requests that share a part for a crash to be attributed to it: with fewer, the request itself is the simpler explanation. */
const minSharingRequests = 2;
/** Crashes on a part after which replicas must have completed requests without it to distinguish it from all others. */
const minContrastedCrashes = 3;
/** Crashes by which a part that a replica has completed must exceed other explanations: replicas crash rarely on what they have completed before. */
export const provenPartAllowance = 2;

/** The crashes at which a request was running, and its longest run before one of them in milliseconds. */
type Presence = {readonly fingerprint: Fingerprint; readonly starts: string[]; longestRun: number};

/** The crashes at which requests with a part were running. */
type PartPresence = {
	readonly part: Fingerprint;
	/** Starts of the replicas that crashed, with the monotonic milliseconds of these crashes. */
	readonly starts: Map<string, number>;
	readonly holders: Suspect[];
	/** Other parts of the requests at these crashes. */
	readonly companions: Set<Fingerprint>;
	readonly isProven: boolean;
};

/**
 * @param crashes - All crashes.
 * @param completedAt - Completions of parts.
 * @returns The crashes attributed to each request or part, in descending order of their number; one that is absent was only a bystander.
 */
export function attributeCrashes(crashes: readonly SuspectedCrash[], completedAt: PartCompletions = () => undefined): ReadonlyMap<Fingerprint, Attribution> {
	const attributions = new Map<Fingerprint, Attribution>();
	let unexplained = crashes;
	for (;;) {
		const presences = presencesAt(unexplained);
		const highestCount = Math.max(0, ...presences.map(({starts}) => starts.length));
		const candidates = presences.filter(({starts}) => starts.length === highestCount);
		const parts = partPresencesAt(unexplained, completedAt);
		const part = commonPart(parts.filter(({isProven}) => !isProven), candidates) ?? commonPart(parts.filter(({isProven}) => isProven), candidates);
		if (part) {
			attributions.set(part.part, attributionOf(part, completedAt));
			unexplained = unexplained.filter(({start}) => !part.starts.has(start));
			continue;
		}

		const shortest = highestCount < minExplainingCrashes ? undefined : shortestRunOf(candidates);
		for (const {fingerprint, starts} of shortest ? [shortest] : candidates) {
			attributions.set(fingerprint, {
				starts,
				isShared: !shortest && hasRivalAmong(candidates, fingerprint, starts),
				hasRival: hasRivalAmong(presences, fingerprint, starts),
				parts: [],
				clientAccounts: new Set(),
				isProven: false,
				isContrasted: false,
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

/** A crash before a completion of the part had another cause. */
function partPresencesAt(crashes: readonly SuspectedCrash[], completedAt: PartCompletions): readonly PartPresence[] {
	const presences = new Map<Fingerprint, PartPresence>();
	for (const {start, suspects, crashedAt = Number.POSITIVE_INFINITY} of crashes) {
		const companions = suspects.flatMap(({parts = []}) => parts);
		const holdings = suspects.flatMap(suspect => (suspect.parts ?? []).map(part => ({suspect, part})));
		for (const {suspect, part} of holdings.filter(holding => (completedAt(holding.part) ?? Number.NEGATIVE_INFINITY) < crashedAt)) {
			const presence = getOrCreate(presences, part, () => ({
				part, starts: new Map<string, number>(), holders: [], companions: new Set<Fingerprint>(), isProven: completedAt(part) !== undefined,
			}));
			presence.starts.set(start, crashedAt);
			presence.holders.push(suspect);
			for (const companion of companions) {
				presence.companions.add(companion);
			}
		}
	}

	return [...presences.values()]
		.filter(({holders}) => new Set(holders.map(({fingerprint}) => fingerprint)).size >= minSharingRequests)
		.filter(presence => !presence.isProven || isContrasted(presence, completedAt));
}

function isContrasted(presence: PartPresence, completedAt: PartCompletions): boolean {
	const contrastedAt = [...presence.starts.values()].sort((left, right) => left - right)[minContrastedCrashes - 1] ?? Number.POSITIVE_INFINITY;
	return [...presence.companions].some(part => part !== presence.part && (completedAt(part) ?? Number.NEGATIVE_INFINITY) > contrastedAt);
}

/**
 * @param parts - Parts that several requests share.
 * @param candidates - Requests that were running at the most crashes.
 * @returns The part that explains more crashes than any request, or as many as several requests that all share it.
 */
function commonPart(parts: readonly PartPresence[], candidates: readonly Presence[]): PartPresence | undefined {
	const highestWeight = Math.max(0, ...parts.map(part => weightOf(part)));
	const highestCount = candidates[0]?.starts.length ?? 0;
	const isShared = (part: PartPresence) => candidates.length >= minSharingRequests
		&& candidates.every(({fingerprint}) => part.holders.some(holder => holder.fingerprint === fingerprint));
	const explaining = parts.filter(part => {
		const weight = weightOf(part);
		return weight >= minExplainingCrashes && weight >= highestWeight - (part.isProven ? maxDifferingCrashes : 0) && (weight > highestCount || (weight === highestCount && isShared(part)));
	});
	const [first] = explaining
		.map(part => ({part, common: partsInCommon(part).length}))
		.sort((left, right) => right.common - left.common || weightOf(right.part) - weightOf(left.part) || (left.part.part < right.part.part ? -1 : 1));
	return first?.part;
}

const weightOf = ({starts, isProven}: PartPresence): number => starts.size - (isProven ? provenPartAllowance : 0);

/** Parts that all requests with this part share: any of them may be the cause, so that only requests with all of them are suspected. */
function partsInCommon({holders}: PartPresence): readonly Fingerprint[] {
	const [first, ...others] = holders;
	return (first?.parts ?? []).filter(part => others.every(({parts}) => parts?.includes(part)));
}

/** Parts that a replica has completed before are no cause if another one is. */
function attributionOf(presence: PartPresence, completedAt: PartCompletions): Attribution {
	const common = partsInCommon(presence);
	const unproven = common.filter(part => completedAt(part) === undefined);
	const firstCrashAt = Math.min(...presence.starts.values());
	const uncompleted = common.filter(part => part === presence.part || completedAt(part)! < firstCrashAt);
	return {
		starts: [...presence.starts.keys()],
		isShared: false,
		hasRival: false,
		parts: unproven.length > 0 ? unproven : uncompleted,
		clientAccounts: new Set(presence.holders.flatMap(({clientAccount}) => clientAccount ?? [])),
		isProven: presence.isProven,
		isContrasted: isContrasted(presence, completedAt),
	};
}
