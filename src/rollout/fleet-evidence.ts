/**
 * Evidence on the rollouts from all boxes, and the suspicion that a target version is bad.
 */
import {sumOf} from '../base/sum.js';
import {isSameOrder, type RolloutOrder} from './rollout-order.js';
import type {RolloutProgress} from './rollout-progress.js';
import {
	badSuspicion, expectedBadPart, isShownGood, isShownGoodInAll, updatedSuspicion, type Tally,
} from './sequential-test.js';
import type {EvidenceReport, RouteEvidence} from './version-evidence.js';

/** Name under which the answers of all routes are counted together: a version may be a little worse on each. */
export const allRoutes = '';

/** Answers of the target version on a route, over all boxes. */
export type RouteVerdict = Tally & {
	readonly route: string;
	/** Part of bad answers that the old version has. */
	readonly expected: number;
	readonly suspicion: number;
	/** Whether the version is shown to be good on this route; on all routes together, a smaller increase of bad answers is ruled out. */
	readonly isGood: boolean;
};

/** Evidence on one order. */
type OrderEvidence = {
	readonly order: RolloutOrder;
	/** The last report of each process, also of processes that have ended: what they saw still counts. */
	readonly reports: Map<string, EvidenceReport>;
	/** What was counted of each route. */
	readonly counted: Map<string, RouteCount>;
	/** Processes whose answers may be in the record from which this owner continued; `undefined` before it did. */
	recorded: ReadonlySet<string> | undefined;
};

/** What an owner has counted of a route. */
type RouteCount = {
	/** Answers that the suspicion accounts for. */
	readonly total: Tally;
	/** Recorded answers that are in no report; `undefined` until all boxes have reported. */
	readonly unreported: Tally | undefined;
	/** What was recorded when this owner began. */
	readonly record: Tally;
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
		for (const evidence of this.byService.values()) {
			evidence.counted.clear();
			evidence.recorded = undefined;
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
	 * @param hasAllReports - Whether all boxes have reported to this owner. Until then, answers of recorded processes may be in the record already.
	 * @returns The verdict on each route with requests, and on all routes together.
	 */
	judge(order: RolloutOrder, progress: RolloutProgress | undefined, hasAllReports = true): readonly RouteVerdict[] {
		const of = this.of(order);
		const {reports, counted} = of;
		of.recorded ??= new Set([...reports.keys(), ...progress?.processes ?? []]);
		const {recorded} = of;
		const ofRecorded = [...reports].filter(([process]) => recorded.has(process)).flatMap(([, {routes}]) => routes);
		const evidence = [...reports.values()].flatMap(({routes}) => routes);
		const routes = [...new Set([...evidence.map(({route}) => route), ...(progress?.tallies ?? []).map(([route]) => route)])].filter(route => route !== allRoutes);
		return [allRoutes, ...routes].map(route => {
			const isOfRoute = (one: RouteEvidence) => route === allRoutes || one.route === route;
			const ofRoute = evidence.filter(one => isOfRoute(one));
			const reported = tallyOf(ofRoute);
			const expected = expectedBadPart({good: sumOf(ofRoute.map(({oldGood}) => oldGood)), bad: sumOf(ofRoute.map(({oldBad}) => oldBad))});
			const before = counted.get(route) ?? firstCount(progress?.tallies.find(([name]) => name === route));
			const unreported = before.unreported ?? missingIn(tallyOf(ofRecorded.filter(one => isOfRoute(one))), before.record);
			const total = {good: Math.max(0, unreported.good + reported.good), bad: Math.max(0, unreported.bad + reported.bad)};
			const added = {good: Math.max(0, total.good - before.total.good), bad: Math.max(0, total.bad - before.total.bad)};
			const suspicion = updatedSuspicion(before.suspicion, added, expected);
			counted.set(route, {
				...before, total, suspicion, unreported: hasAllReports ? unreported : undefined,
			});
			return {
				route, ...total, expected, suspicion, isGood: (route === allRoutes ? isShownGoodInAll : isShownGood)(total, expected),
			};
		});
	}

	private of(order: RolloutOrder): OrderEvidence {
		const known = this.byService.get(order.service);
		if (known && isSameOrder(known.order, order)) {
			return known;
		}

		const {service, target, duration} = order;
		const evidence: OrderEvidence = {
			order: {service, target, duration}, reports: new Map(), counted: new Map(), recorded: undefined,
		};
		this.byService.set(service, evidence);
		return evidence;
	}
}

function tallyOf(evidence: readonly RouteEvidence[]): Tally {
	return {good: sumOf(evidence.map(({good}) => good)), bad: sumOf(evidence.map(({bad}) => bad))};
}

/** What a new owner starts from. */
function firstCount(record: RolloutProgress['tallies'][number] | undefined): RouteCount {
	const [, good, bad, suspicion] = record ?? ['', 0, 0, 0];
	return {
		total: {good, bad}, unreported: undefined, record: {good, bad}, suspicion,
	};
}

/**
 * Recorded answers that are in no report. Reports of processes that ended before may be missing; good and bad answers are taken from the same source,
 * since a sum of both would weigh them differently.
 */
function missingIn(reported: Tally, record: Tally): Tally {
	return reported.good + reported.bad >= record.good + record.bad
		? none
		: {good: record.good - reported.good, bad: record.bad - reported.bad};
}

/**
 * @param verdicts - Verdicts on all routes.
 * @returns The verdict by which the version counts as bad; `undefined` if it does not.
 */
export function badVerdict(verdicts: readonly RouteVerdict[]): RouteVerdict | undefined {
	return verdicts.find(({suspicion}) => suspicion >= badSuspicion);
}
