/**
 * Decides how many replicas a service is to have, of which sort, in which data centre.
 *
 * @remarks Source: docs/DECISIONS.md, "The fleet by measured load".
 */
import {sumOf} from '../base/sum.js';
import type {Scaling} from '../routes/route-table.js';
import type {StandingOrder} from './duty-record.js';
import {sparsePart} from './fleet-size.js';

/** What a plan rests on. */
export type FleetFacts = {
	readonly service: string;
	readonly scaling: Scaling;
	/** Data centres in which it runs. */
	readonly dataCentres: readonly string[];
	/** Replicas that carry the load of the last while with headroom. */
	readonly needed: number;
	/** Replicas that carry the load of the last seconds with little to spare: kept ones cost too much for more. */
	readonly leastNow: number;
	/** Replicas the service had when the system first started. */
	readonly baseline: number;
	/** Whether the first fleet has been given up for reclaimable replicas. */
	readonly isSettled: boolean;
	/** Whether nothing runs at its replicas, so that none would be missed. */
	readonly isIdle: boolean;
	/** Whether reclaimable replicas were ordered that are not to be had. */
	readonly isScarce: boolean;
	/** Reclaimable replicas by data centre that serve, without those that are leaving. */
	readonly reclaimableReady: ReadonlyMap<string, number>;
	/** Kept replicas that are ordered now, by data centre. */
	readonly keptOrdered: ReadonlyMap<string, number>;
	/** Data centres in which kept replicas were not to be had lately. */
	readonly closedToKept: ReadonlySet<string>;
};

/** Decides. */
export abstract class FleetPolicy {
	/**
	 * @param facts - What the plan rests on.
	 * @returns An order for each data centre.
	 */
	abstract plan(facts: FleetFacts): readonly StandingOrder[];
}

/** Data centres that may be reclaimed one upon the other before kept replicas are ordered: others are cheap meanwhile. */
const dataCentresLost = 2;
/** Part of the data centres left that may be reclaimed while kept replicas boot; where as many are gone already, all may. */
const partLostInBoot = 0.5;
/** Part of the needed replicas that must serve before the kept ones are given up. */
const servingPart = 0.9;
/** Part of the kept replicas that is still needed above which all of them stay. */
const leastKeptPart = 0.75;
/** Part of the first fleet that must serve before it is given up. */
const firstPart = 0.6;

/**
 * Reclaimable replicas for the measured load, spread over the data centres so that the loss of two is borne. Where they are
 * reclaimed and no others are to be had, half of the rest or all may go sooner than a replica boots: then kept ones are
 * ordered that carry the load with those that would be left, and they stay until enough reclaimable ones serve again.
 */
export class MeasuredLoadPolicy extends FleetPolicy {
	/** @returns The policy. */
	static create(): MeasuredLoadPolicy {
		return new MeasuredLoadPolicy();
	}

	override plan(facts: FleetFacts): readonly StandingOrder[] {
		const {service, scaling, dataCentres, isSettled} = facts;
		const reclaimable = spread(facts, this.reclaimableTotal(facts));
		const kept = isSettled ? keptPlaces(facts, reclaimable, this.keptTotal(facts)) : this.firstFleet(facts);
		return dataCentres.map(dataCentre => {
			const keptHere = kept.get(dataCentre) ?? 0;
			// The maximum holds for both sorts together.
			return {
				service, dataCentre, reclaimable: Math.min(reclaimable.get(dataCentre) ?? 0, scaling.maximum - keptHere), kept: keptHere,
			};
		});
	}

	/** The first fleet stays until enough of the others serve, unless nothing runs yet. */
	private firstFleet({scaling, baseline, dataCentres, reclaimableReady, isIdle, isScarce}: FleetFacts): ReadonlyMap<string, number> {
		const isKept = isScarce || (!isIdle && sumOf([...reclaimableReady.values()]) < baseline * firstPart);
		const each = Math.min(scaling.maximum, Math.ceil(baseline / Math.max(1, dataCentres.length)));
		return new Map(isKept ? dataCentres.map(dataCentre => [dataCentre, each]) : []);
	}

	private reclaimableTotal({needed, dataCentres, scaling}: FleetFacts): number {
		if (scaling.reclaimablePrice >= 1) {
			return 0;
		}

		const remaining = Math.max(1, dataCentres.length - dataCentresLost);
		return Math.ceil(Math.max(needed, needed * sparsePart * dataCentres.length / remaining));
	}

	/** Enough for the load without those that may go next; given up in larger steps, since each order costs a call. */
	private keptTotal({needed, leastNow, scaling, dataCentres, isScarce, reclaimableReady, keptOrdered}: FleetFacts): number {
		if (scaling.reclaimablePrice >= 1) {
			return Math.ceil(needed);
		}

		const byDataCentre = [...reclaimableReady.values()].filter(count => count > 0).sort((left, right) => right - left);
		const standing = sumOf([...keptOrdered.values()]);
		if (isScarce) {
			const areMostGone = byDataCentre.length <= dataCentres.length * partLostInBoot;
			const lasting = areMostGone ? 0 : sumOf(byDataCentre.slice(Math.ceil(byDataCentre.length * partLostInBoot)));
			const missing = Math.max(0, Math.ceil(leastNow - lasting));
			return missing < standing && missing > standing * leastKeptPart ? standing : missing;
		}

		const missing = Math.max(0, Math.ceil((needed * servingPart) - sumOf(byDataCentre)));
		return missing > standing * leastKeptPart ? standing : missing;
	}
}

const byPrice = ({dataCentres, scaling}: FleetFacts): readonly string[] => {
	const priceOf = (dataCentre: string) => scaling.dataCentrePrices.get(dataCentre) ?? 1;
	return [...dataCentres].sort((left, right) => priceOf(left) - priceOf(right));
};

/** Alike over all data centres; what is left over goes where it costs least. */
function spread(facts: FleetFacts, total: number): ReadonlyMap<string, number> {
	const {scaling, dataCentres} = facts;
	const each = Math.floor(total / Math.max(1, dataCentres.length));
	const over = total - (each * dataCentres.length);
	return new Map(byPrice(facts).map((dataCentre, index) => [
		dataCentre, Math.min(scaling.maximum, Math.max(scaling.minimum, each + (index < over ? 1 : 0))),
	]));
}

/**
 * Those that stand stay where they are; others go where they cost least: they are not reclaimed, so they need no spreading.
 * The places of reclaimable ones are left to them as far as there are others.
 */
function keptPlaces(facts: FleetFacts, reclaimable: ReadonlyMap<string, number>, total: number): ReadonlyMap<string, number> {
	const {scaling, reclaimableReady, keptOrdered, closedToKept} = facts;
	const order = byPrice(facts);
	const places = new Map(order.map(dataCentre => [dataCentre, 0]));
	let left = total;
	const fill = (roomOf: (dataCentre: string) => number) => {
		for (const dataCentre of order) {
			const taken = places.get(dataCentre)!;
			const more = Math.min(left, Math.max(0, roomOf(dataCentre) - taken));
			left -= more;
			places.set(dataCentre, taken + more);
		}
	};

	const isOpen = (dataCentre: string) => !closedToKept.has(dataCentre);
	fill(dataCentre => keptOrdered.get(dataCentre) ?? 0);
	fill(dataCentre => isOpen(dataCentre) ? scaling.maximum - (reclaimable.get(dataCentre) ?? 0) : 0);
	fill(dataCentre => isOpen(dataCentre) ? scaling.maximum - (reclaimableReady.get(dataCentre) ?? 0) : 0);
	return places;
}
