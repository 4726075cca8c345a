/**
 * Evidence on the rollouts from all boxes, and the suspicion that a target version is bad.
 */
import {sumOf} from '../base/sum.js';
import {isSameOrder, type RolloutOrder} from './rollout-order.js';
import type {RolloutProgress} from './rollout-progress.js';
import {
	badSuspicion, expectedBadPart, isShownGood, updatedSuspicion, type Tally,
} from './sequential-test.js';
import type {EvidenceReport} from './version-evidence.js';

/** Name under which the answers of all routes are counted together: a version may be a little worse on each. */
export const allRoutes = '';

/** Answers of the target version on a route, over all boxes. */
export type RouteVerdict = Tally & {
	readonly route: string;
	/** Part of bad answers that the old version has. */
	readonly expected: number;
	readonly suspicion: number;
	/** Whether the version is shown to be good on this route. */
	readonly isGood: boolean;
};

/** Evidence on one order. */
type OrderEvidence = {
	readonly order: RolloutOrder;
	/** The last report of each process, also of processes that have ended: what they saw still counts. */
	readonly reports: Map<string, EvidenceReport>;
	/** What was counted of each route. */
	readonly counted: Map<string, RouteCount>;
};

/** What an owner has counted of a route. */
type RouteCount = {
	/** Reported answers that the suspicion accounts for. */
	readonly reported: Tally;
	/** Recorded answers that are in no report. */
	readonly unreported: Tally;
	readonly suspicion: number;
};

const none: Tally = {good: 0, bad: 0};

/** Evidence from all boxes. */
export class FleetEvidence {
	/** @returns Evidence without reports. */
	static create(): FleetEvidence {
		return new FleetEvidence();
	}

	private readonly byService = new Map<string, OrderEvidence>();

	private constructor() {
		// Use create().
	}

	/** Forgets what earlier calls of {@link judge} counted: another owner may have counted and recorded since. */
	restart(): void {
		for (const {counted} of this.byService.values()) {
			counted.clear();
		}
	}

	/**
	 * @param process - Name of the process that reports.
	 * @param reports - Its reports on all rollouts that have not ended.
	 */
	record(process: string, reports: readonly EvidenceReport[]): void {
		for (const report of reports) {
			this.of(report).reports.set(process, report);
		}
	}

	/**
	 * @param order - An order.
	 * @returns The last reports on it, by process.
	 */
	reportsOn(order: RolloutOrder): ReadonlyMap<string, EvidenceReport> {
		return this.of(order).reports;
	}

	/**
	 * Judges the target version by the answers since the last call.
	 *
	 * @param order - An order.
	 * @param progress - Its progress, from which a new owner continues.
	 * @returns The verdict on each route with requests, and on all routes together.
	 */
	judge(order: RolloutOrder, progress: RolloutProgress | undefined): readonly RouteVerdict[] {
		const {reports, counted} = this.of(order);
		const evidence = [...reports.values()].flatMap(({routes}) => routes);
		const routes = [...new Set([...evidence.map(({route}) => route), ...(progress?.tallies ?? []).map(([route]) => route)])].filter(route => route !== allRoutes);
		return [allRoutes, ...routes].map(route => {
			const ofRoute = evidence.filter(one => route === allRoutes || one.route === route);
			const reported = {good: sumOf(ofRoute.map(({good}) => good)), bad: sumOf(ofRoute.map(({bad}) => bad))};
			const expected = expectedBadPart({good: sumOf(ofRoute.map(({oldGood}) => oldGood)), bad: sumOf(ofRoute.map(({oldBad}) => oldBad))});
			const before = counted.get(route) ?? firstCount(reported, progress?.tallies.find(([name]) => name === route));
			const added = {good: Math.max(0, reported.good - before.reported.good), bad: Math.max(0, reported.bad - before.reported.bad)};
			const suspicion = updatedSuspicion(before.suspicion, added, expected);
			counted.set(route, {...before, reported, suspicion});
			const tally = {good: Math.max(0, before.unreported.good + reported.good), bad: Math.max(0, before.unreported.bad + reported.bad)};
			return {
				route, ...tally, expected, suspicion, isGood: isShownGood(tally, expected),
			};
		});
	}

	private of(order: RolloutOrder): OrderEvidence {
		const known = this.byService.get(order.service);
		if (known && isSameOrder(known.order, order)) {
			return known;
		}

		const {service, target, duration} = order;
		const evidence: OrderEvidence = {order: {service, target, duration}, reports: new Map(), counted: new Map()};
		this.byService.set(service, evidence);
		return evidence;
	}
}

/**
 * What a new owner starts from. Reports of processes that ended before may be missing; good and bad answers are taken from the same source, since a
 * sum of both would weigh them differently.
 */
function firstCount(reported: Tally, record: RolloutProgress['tallies'][number] | undefined): RouteCount {
	const [, good, bad, suspicion] = record ?? ['', 0, 0, 0];
	return reported.good + reported.bad >= good + bad
		? {reported: {good, bad}, unreported: none, suspicion}
		: {reported, unreported: {good: good - reported.good, bad: bad - reported.bad}, suspicion};
}

/**
 * @param verdicts - Verdicts on all routes.
 * @returns The verdict by which the version counts as bad; `undefined` if it does not.
 */
export function badVerdict(verdicts: readonly RouteVerdict[]): RouteVerdict | undefined {
	return verdicts.find(({suspicion}) => suspicion >= badSuspicion);
}
