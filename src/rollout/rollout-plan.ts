/**
 * Decides the next step of a rollout: who may send how many requests to the target version on trial, when the traffic shifts to it, and when it is
 * complete or reverted.
 *
 * @remarks Source: docs/design/rollouts.md.
 */
import {hashText} from '../base/rendezvous.js';
import {sumOf} from '../base/sum.js';
import {allRoutes, badVerdict, type RouteVerdict} from './fleet-evidence.js';
import type {RolloutOrder} from './rollout-order.js';
import {firstProgress, stateOf, type RolloutProgress} from './rollout-progress.js';
import {evidenceOf} from './sequential-test.js';
import {permitWindow} from './trial-permits.js';
import type {EvidenceReport} from './version-evidence.js';

/** Permits of the steps of a trial; the last one repeats. The first steps find a version that fails all its requests at once. */
const stepSizes = [8, 20, 60, 120] as const;
/** Part of the bound on requests to a bad version that is used: reports of requests are late. */
const usedPart = 0.9;
/** Minimum milliseconds between two steps of a trial. */
const minTrialStep = 250;
/** Milliseconds after which a step of a trial ends whatever is missing: its permits have expired, and most answers have come. */
const maxTrialStep = permitWindow + 1500;
/** Part of the permits whose answers must have come for a step to end before that. */
const answeredPart = 0.75;
/** Parts of the traffic that go to the target version in the steps of a shift. */
const shiftShares = [0.3, 1] as const;
/** Minimum milliseconds of a step of a shift. */
const minShiftStep = 600;
/** Part of the order's time before which the traffic does not shift: a version may become bad after some time. */
const minTrialPart = 0.3;
/** Part of the order's time whose requests a shift is assumed to expose at least, also after the deadline. */
const minRemainingPart = 0.3;
/** Permits of a step in which the version is only watched until then. */
const watchSize = 20;
/** Increase of a suspicion, about one bad answer, that is recorded without a step: the evidence must outlast the loss of all boxes. */
const recordedIncrease = 2;
/** Suspicion from which on a version gets fewer requests: about two bad answers where few are usual. */
const cautionSuspicion = 4;
/** Part of the slots of the target version that the requests in progress may take before more traffic shifts there. */
const usableSlots = 0.8;
/** Part of the order's time after which fewer good answers suffice on a route with few requests, and how many. */
const rareRoutes = [{after: 0.35, good: 16}, {after: 0.6, good: 6}] as const;
const millisecondsPerSecond = 1000;

/** Bound on the requests to a bad version. */
export type ExposureBound = {
	/** Part of all requests to the service. */
	readonly share: number;
	/** Requests in addition to the share. */
	readonly slack: number;
};

/** Replicas of some versions of a service. */
export type VersionCapacity = {
	readonly replicas: number;
	readonly slots: number;
	/** Requests in progress there. */
	readonly inProgress: number;
};

/** What the next step depends on. */
export type RolloutFacts = {
	/** Common time in milliseconds since the epoch. */
	readonly now: number;
	/** Milliseconds since the last step. */
	readonly sinceStep: number;
	/** Last reports by process, also of processes that have ended. */
	readonly reports: ReadonlyMap<string, EvidenceReport>;
	/** Processes that answer; they must confirm a shift. */
	readonly processes: readonly string[];
	/** Those of them that were heard in the last few rounds: others are probably lost, and get no permits. */
	readonly responsive: readonly string[];
	/** Whether this box has been the owner for so long that it has heard each process that can be reached. */
	readonly knowsAllProcesses: boolean;
	readonly verdicts: readonly RouteVerdict[];
	readonly target: VersionCapacity;
	readonly current: VersionCapacity;
	/** Versions of the current replicas. */
	readonly currentVersions: readonly string[];
	/** Whether no other version than the target has served for as long as this box knows. */
	readonly isOnlyVersion: boolean;
	/** Mean milliseconds of a request. */
	readonly duration: number;
	readonly bound: ExposureBound;
};

/**
 * @param order - The order.
 * @param progress - Its progress; `undefined` before the first.
 * @param facts - What the step depends on.
 * @returns The progress after the next step; `undefined` if none is due.
 */
export function nextProgress(order: RolloutOrder, progress: RolloutProgress | undefined, facts: RolloutFacts): RolloutProgress | undefined {
	if (!progress) {
		return firstProgress(order, facts.now);
	}

	if (stateOf(progress) !== 'active') {
		return undefined;
	}

	const bad = badVerdict(facts.verdicts);
	if (bad) {
		return step(progress, facts, {phase: 'reverted', share: 0, reason: describeBad(bad)});
	}

	const next = progress.phase === 'trial' ? nextOfTrial(order, progress, facts) : nextOfShift(progress, facts);
	return next ?? withEvidence(progress, facts);
}

/**
 * @param progress - Progress of a rollout.
 * @param reports - Last reports by process.
 * @returns Requests that may have been sent to the target version with permits, at most.
 */
export function spentPermits({permits, step: current, spent}: RolloutProgress, reports: RolloutFacts['reports']): number {
	return spent + sumOf(permits.map(([process, count]) => {
		const report = reports.get(process);
		return report?.step === current && report.isClosed ? report.used : count;
	}));
}

function describeBad({route, good, bad, expected}: RouteVerdict): string {
	return `${bad} of ${good + bad} answers ${route === allRoutes ? 'in all' : `on ${route}`} were bad; ${(expected * 100).toFixed(0)} % are usual`;
}

function step(progress: RolloutProgress, facts: RolloutFacts, changes: Partial<RolloutProgress>): RolloutProgress {
	return {
		...progress,
		step: progress.step + 1,
		permits: [],
		spent: spentPermits(progress, facts.reports),
		...recordOf(progress, facts),
		...changes,
	};
}

/** Records a suspicion that has grown, or a process that has started, since the last write. */
function withEvidence(progress: RolloutProgress, facts: RolloutFacts): RolloutProgress | undefined {
	const recorded = new Map(progress.tallies.map(tally => [tally[0], tally[3]]));
	const hasGrown = facts.verdicts.some(({route, suspicion}) => suspicion >= (recorded.get(route) ?? 0) + recordedIncrease);
	const known = new Set(progress.processes);
	const hasStarted = known.size > 0 && facts.processes.some(process => !known.has(process));
	return hasGrown || hasStarted ? {...progress, ...recordOf(progress, facts)} : undefined;
}

/** What a new owner needs to know of the boxes and their answers. */
function recordOf(progress: RolloutProgress, facts: RolloutFacts): Required<Pick<RolloutProgress, 'tallies' | 'processes' | 'arrivals'>> {
	return {tallies: talliesOf(facts.verdicts), processes: recordedProcesses(progress, facts), arrivals: arrivalsOf(progress, facts)};
}

/** An owner that may not know all processes keeps those that an earlier one has recorded. */
function recordedProcesses({processes: recorded = []}: RolloutProgress, {processes, knowsAllProcesses}: RolloutFacts): readonly string[] {
	if (knowsAllProcesses) {
		return processes;
	}

	return recorded.length > 0 ? [...new Set([...recorded, ...processes])] : [];
}

/** Reports of killed processes may be missing at a new owner, so that the recorded number can be the higher one. */
function arrivalsOf({arrivals = 0}: RolloutProgress, {reports}: RolloutFacts): number {
	return Math.max(arrivals, sumOf([...reports.values()].map(report => report.arrivals)));
}

function talliesOf(verdicts: readonly RouteVerdict[]): RolloutProgress['tallies'] {
	return verdicts.map(({route, good, bad, suspicion}) => [route, good, bad, Math.round(suspicion * 100) / 100] as const);
}

function nextOfTrial(order: RolloutOrder, progress: RolloutProgress, facts: RolloutFacts): RolloutProgress | undefined {
	if (facts.target.replicas === 0) {
		return undefined;
	}

	if (facts.isOnlyVersion && facts.current.replicas === 0) {
		return step(progress, facts, {phase: 'complete', reason: 'no other version serves'});
	}

	const elapsed = (facts.now - progress.startedAt) / Math.max(1, order.duration);
	const undecided = facts.verdicts.filter(verdict => verdict.route !== allRoutes && !isDecided(verdict, elapsed));
	const isExercised = facts.verdicts.length > 1;
	const isShown = isExercised && undecided.length === 0 && mayShift(progress, facts, elapsed);
	if (isShown && elapsed >= minTrialPart) {
		return shiftStep(progress, facts, shiftShares[0]);
	}

	if (progress.step > 0 && !isStepOver(progress, facts)) {
		return undefined;
	}

	// A suspicion on all routes together is settled sooner with the answers of all routes.
	const isSuspicious = facts.verdicts.some(({route, suspicion}) => route === allRoutes && suspicion >= cautionSuspicion);
	const isNarrow = !isSuspicious && undecided.length > 0 && undecided.length < facts.verdicts.length - 1;
	return grant(progress, facts, {routes: isNarrow ? undecided.map(({route}) => route) : [], isShown});
}

/** Whether the bound would not be exceeded by the requests that a shift exposes, or the answers of all routes together rule out a version that is a little worse. */
function mayShift(progress: RolloutProgress, facts: RolloutFacts, elapsed: number): boolean {
	return facts.verdicts.some(({route, isGood}) => route === allRoutes && isGood) || isShiftWithinBound(progress, facts, elapsed);
}

/** Whether a service has so few requests that the bound allows all of them until the deadline, and afterwards those of a part of the time. */
function isShiftWithinBound(progress: RolloutProgress, facts: RolloutFacts, elapsed: number): boolean {
	const arrivals = arrivalsOf(progress, facts);
	const remaining = arrivals / elapsed * Math.max(minRemainingPart, 1 - elapsed);
	return elapsed > 0 && spentPermits(progress, facts.reports) + remaining <= usedPart * (facts.bound.slack + (facts.bound.share * (arrivals + remaining)));
}

/** Whether the version is good enough on a route to shift the traffic. */
function isDecided({good, bad, expected, isGood}: RouteVerdict, elapsed: number): boolean {
	return isGood || rareRoutes.some(rare => elapsed >= rare.after && good >= rare.good && evidenceOf({good, bad}, expected) < 0);
}

/** Whether the answers of most permits are known, or can no longer come in time. Those of processes that are probably lost are not waited for. */
function isStepOver({permits, step: current}: RolloutProgress, {sinceStep, reports, responsive}: RolloutFacts): boolean {
	const awaited = permits.filter(([process]) => responsive.includes(process));
	const issued = sumOf(awaited.map(([, count]) => count));
	const answered = sumOf(awaited.map(([process]) => {
		const report = reports.get(process);
		return report?.step === current ? Math.max(0, report.used - report.pending) : 0;
	}));
	return sinceStep >= maxTrialStep || (sinceStep >= minTrialStep && answered >= issued * answeredPart);
}

/** Grants permits to random processes that know the order and how long answers usually take. A suspicious version gets few more requests, until the suspicion is settled. */
function grant(progress: RolloutProgress, facts: RolloutFacts, {routes, isShown}: {readonly routes: readonly string[]; readonly isShown: boolean}): RolloutProgress | undefined {
	const {reports, responsive, bound, verdicts} = facts;
	const allowed = Math.floor(usedPart * (bound.slack + (bound.share * arrivalsOf(progress, facts)))) - spentPermits(progress, reports);
	const isSuspicious = verdicts.some(({suspicion}) => suspicion >= cautionSuspicion);
	const regularSize = isShown ? watchSize : stepSizes[Math.min(progress.step, stepSizes.length - 1)]!;
	const size = isSuspicious ? stepSizes[0] : regularSize;
	const holders = responsive
		.filter(process => reports.get(process)?.canCompare === true)
		.map(process => ({process, rank: hashText(`${progress.step}\n${process}`)}))
		.sort((left, right) => left.rank - right.rank)
		.map(({process}) => process);
	const count = Math.min(size, allowed);
	return count < 1 || holders.length === 0
		? undefined
		: step(progress, facts, {
			permits: divide(count, holders), spread: spreadOf(count, facts), routes: [...routes], reason: isSuspicious ? 'trial of a suspicious version' : 'trial',
		});
}

function divide(count: number, holders: readonly string[]): ReadonlyArray<readonly [string, number]> {
	const each = Math.floor(count / holders.length);
	const rest = count % holders.length;
	return holders.map((process, index) => [process, each + (index < rest ? 1 : 0)] as const).filter(([, permits]) => permits > 0);
}

/**
 * Number of replicas among which the requests of a step are divided: as few that each has about as many in progress as one of the current version.
 * A version that is bad under load only is found with few requests.
 */
function spreadOf(count: number, {duration, current, target}: RolloutFacts): number {
	const atOnce = count * Math.min(1, duration / millisecondsPerSecond);
	const load = Math.max(1, current.inProgress / Math.max(1, current.replicas));
	return Math.min(target.replicas, Math.max(1, Math.ceil(atOnce / load)));
}

function nextOfShift(progress: RolloutProgress, facts: RolloutFacts): RolloutProgress | undefined {
	const {processes, responsive, knowsAllProcesses, reports, sinceStep} = facts;
	const isConfirmedBy = (names: readonly string[]) => names.every(process => (reports.get(process)?.step ?? -1) >= progress.step);
	if (sinceStep < minShiftStep || !isConfirmedBy(responsive)) {
		return undefined;
	}

	// A process that is probably lost delays only the completion, for which nothing may be in progress at replaced replicas.
	const next = shiftShares.find(share => share > progress.share);
	if (next !== undefined) {
		return shiftStep(progress, facts, next);
	}

	if (!knowsAllProcesses || !isConfirmedBy(processes)) {
		return undefined;
	}

	const ofProcesses = processes.map(process => reports.get(process));
	const remaining = sumOf(ofProcesses.map(report => report?.remaining ?? 0));
	return remaining === 0 ? step(progress, facts, {phase: 'complete', reason: 'all requests go to the target version'}) : undefined;
}

/** The target version must be able to carry the traffic that shifts to it. */
function shiftStep(progress: RolloutProgress, facts: RolloutFacts, share: number): RolloutProgress | undefined {
	const {target, current, currentVersions} = facts;
	const load = (target.inProgress + current.inProgress) * share;
	return load > target.slots * usableSlots
		? undefined
		: step(progress, facts, {
			phase: 'shift',
			share,
			spread: 0,
			routes: [],
			replaced: [...new Set([...progress.replaced, ...currentVersions])],
			reason: share === shiftShares[0] ? 'the version is shown to be good' : 'shift',
		});
}
