/**
 * Decides how many replicas a service is to have, of which sort, in which data centre.
 *
 * @remarks Source: docs/DESIGN.md, "The fleet".
 */
import {sumOf} from '../base/sum.js';
import type {Scaling} from '../routes/route-table.js';
import type {StandingOrder} from './duty-record.js';

/** What a plan rests on. */
export type FleetFacts = {
	readonly service: string;
	readonly scaling: Scaling;
	/** Replicas the service had when the system first started. */
	readonly baseline: number;
	/** Data centres in which it runs. */
	readonly dataCentres: readonly string[];
	/** Replicas by data centre that may be withdrawn and that serve, without those that are leaving. */
	readonly reclaimableReady: ReadonlyMap<string, number>;
	/** Kept replicas that are ordered now. */
	readonly keptOrdered: number;
	/** Whether the first fleet has been given up for replicas that may be withdrawn. */
	readonly isSettled: boolean;
	/** Whether the replicas that take the first fleet's place may still be booting. */
	readonly isBooting: boolean;
	/** Whether nothing runs at its replicas, so that none would be missed. */
	readonly isIdle: boolean;
};

/** Decides. */
export abstract class FleetPolicy {
	/**
	 * @param facts - What the plan rests on.
	 * @returns An order for each data centre.
	 */
	abstract plan(facts: FleetFacts): readonly StandingOrder[];
}

/** Part of the first fleet that must still stand when data centres are withdrawn. */
const survivingPart = 0.8;
/** Part of the first fleet that must serve; what is missing is bridged by kept replicas. */
const neededPart = 0.75;
/** Part of the first fleet that must serve before it is given up. */
const firstPart = 0.6;
/** Part of the kept replicas that is missing still below which some of them are given up. */
const leastDecrease = 0.5;
/** Data centres that may be withdrawn one upon the other, before the first comes back. */
const dataCentresLost = 2;

/**
 * As many withdrawable replicas in each data centre as carry the load when data centres are withdrawn. Where more of
 * them go, and no others are to be had for a while, kept replicas stand in for exactly what is missing, ordered with the
 * notice and given up when the others are back.
 */
export class SurvivingDataCentresPolicy extends FleetPolicy {
	/** @returns The policy. */
	static create(): SurvivingDataCentresPolicy {
		return new SurvivingDataCentresPolicy();
	}

	override plan(facts: FleetFacts): readonly StandingOrder[] {
		const {service, scaling, baseline, dataCentres, isSettled} = facts;
		const surviving = Math.max(1, dataCentres.length - dataCentresLost);
		const each = Math.ceil(baseline * survivingPart / surviving);
		const wanted = Math.min(scaling.maximum, Math.max(scaling.minimum, each));
		const kept = isSettled ? this.bridge(facts) : this.firstFleet(facts, wanted);
		return dataCentres.map(dataCentre => {
			const keptHere = kept.get(dataCentre) ?? 0;
			// The maximum holds for both sorts together.
			return {
				service, dataCentre, reclaimable: Math.min(wanted, scaling.maximum - keptHere), kept: keptHere,
			};
		});
	}

	/** The first fleet stays until enough of the others serve, unless nothing runs yet. */
	private firstFleet({scaling, baseline, dataCentres, reclaimableReady, isIdle}: FleetFacts, wanted: number): ReadonlyMap<string, number> {
		const serving = sumOf(dataCentres.map(dataCentre => Math.min(wanted, reclaimableReady.get(dataCentre) ?? 0)));
		const isKept = !isIdle && serving < baseline * firstPart;
		const each = Math.min(scaling.maximum, Math.ceil(baseline / Math.max(1, dataCentres.length)));
		return new Map(isKept ? dataCentres.map(dataCentre => [dataCentre, each]) : []);
	}

	/** The cheapest data centres first: kept replicas are not withdrawn, so they need no spreading. */
	private bridge(facts: FleetFacts): ReadonlyMap<string, number> {
		const {scaling, dataCentres, reclaimableReady} = facts;
		const priceOf = (dataCentre: string) => scaling.dataCentrePrices.get(dataCentre) ?? 1;
		const byPrice = [...dataCentres].sort((left, right) => priceOf(left) - priceOf(right));
		let missing = this.missing(facts);
		return new Map(byPrice.map(dataCentre => {
			// Those that are gone leave their places to kept ones.
			const room = Math.max(0, scaling.maximum - (reclaimableReady.get(dataCentre) ?? 0));
			const here = Math.min(room, missing);
			missing -= here;
			return [dataCentre, here];
		}));
	}

	/** Less is ordered only where that is much less: withdrawable replicas come back one after the other. */
	private missing({baseline, dataCentres, reclaimableReady, keptOrdered, isBooting}: FleetFacts): number {
		if (isBooting) {
			return keptOrdered;
		}

		const serving = sumOf(dataCentres.map(dataCentre => reclaimableReady.get(dataCentre) ?? 0));
		const missing = Math.ceil((baseline * neededPart) - serving);
		if (missing <= 0) {
			return 0;
		}

		return missing < keptOrdered && missing > keptOrdered * leastDecrease ? keptOrdered : missing;
	}
}
