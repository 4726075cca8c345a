/**
 * Decides how many replicas of each kind a service should have in each data centre. Reclaimable replicas are cheaper, and
 * the platform may take them back at any time; kept replicas are not reclaimed.
 *
 * @remarks Source: docs/DECISIONS.md, "The fleet by measured load".
 */
import {sumOf} from '../base/sum.js';
import type {Scaling} from '../routes/route-table.js';
import type {StandingOrder} from './duty-record.js';
import {tightPart} from './fleet-size.js';

/** Input of a plan. */
export type FleetFacts = {
	readonly service: string;
	readonly scaling: Scaling;
	/** Data centres in which the service runs. */
	readonly dataCentres: readonly string[];
	/** Replicas for the recent peak load with ample headroom. */
	readonly needed: number;
	/** Replicas for the peak load of the last seconds with little headroom; used for kept replicas, which are expensive. */
	readonly leastNow: number;
	/** Replicas the service had when the system first started. */
	readonly baseline: number;
	/** Whether the first fleet has been replaced by reclaimable replicas. */
	readonly isSettled: boolean;
	/** Whether its replicas run no requests, so that they can be removed safely. */
	readonly isIdle: boolean;
	/** Whether an order of reclaimable replicas failed because none are available. */
	readonly isScarce: boolean;
	/** Ready reclaimable replicas by data centre, without those that are leaving. */
	readonly reclaimableReady: ReadonlyMap<string, number>;
	/** Currently ordered kept replicas by data centre. */
	readonly keptOrdered: ReadonlyMap<string, number>;
	/** Data centres that had no kept replicas available in the last 3 s. */
	readonly withoutKeptCapacity: ReadonlySet<string>;
};

/** Decides the number of replicas of a service. */
export abstract class FleetPolicy {
	/**
	 * @param facts - Input of the plan.
	 * @returns An order for each data centre.
	 */
	abstract plan(facts: FleetFacts): readonly StandingOrder[];
}

/** Data centres whose loss the reclaimable replicas must survive without kept replicas; spare reclaimable ones are cheaper. */
const toleratedLosses = 2;
/**
 * Fraction of the remaining data centres that may be reclaimed while kept replicas boot. If at least this fraction is
 * gone already, all of the remaining ones may be reclaimed.
 */
const partLostInBoot = 0.5;
/** Fraction of the needed replicas that must be ready before kept replicas are removed. */
const servingPart = 0.9;
/** If more than this fraction of the kept replicas is still needed, all of them stay. */
const minKeptPart = 0.75;
/** Ready reclaimable replicas, as a fraction of the first fleet, required before it is removed. */
const firstFleetReadyPart = 0.6;

/**
 * Orders reclaimable replicas for the measured load, spread over the data centres so that the service survives the loss
 * of two. If replicas are reclaimed and no reclaimable ones are available, half or all of the rest may be reclaimed before
 * a new replica has booted. The policy then orders enough kept replicas to carry the load together with the replicas that
 * would remain. They stay until enough reclaimable replicas are ready again.
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
			// The maximum applies to the sum of both kinds.
			return {
				service, dataCentre, reclaimable: Math.min(reclaimable.get(dataCentre) ?? 0, scaling.maximum - keptHere), kept: keptHere,
			};
		});
	}

	/** The first fleet stays until enough reclaimable replicas are ready, unless no requests run yet. */
	private firstFleet({scaling, baseline, dataCentres, reclaimableReady, isIdle, isScarce}: FleetFacts): ReadonlyMap<string, number> {
		const isKept = isScarce || (!isIdle && sumOf([...reclaimableReady.values()]) < baseline * firstFleetReadyPart);
		const each = Math.min(scaling.maximum, Math.ceil(baseline / Math.max(1, dataCentres.length)));
		return new Map(isKept ? dataCentres.map(dataCentre => [dataCentre, each]) : []);
	}

	private reclaimableTotal({needed, dataCentres, scaling}: FleetFacts): number {
		if (scaling.reclaimablePrice >= 1) {
			return 0;
		}

		const remaining = Math.max(1, dataCentres.length - toleratedLosses);
		return Math.ceil(Math.max(needed, needed * tightPart * dataCentres.length / remaining));
	}

	/** Enough for the load without the replicas that may be reclaimed next; decreased in larger steps, since each order costs a call. */
	private keptTotal({needed, leastNow, scaling, dataCentres, isScarce, reclaimableReady, keptOrdered}: FleetFacts): number {
		if (scaling.reclaimablePrice >= 1) {
			return Math.ceil(needed);
		}

		const byDataCentre = [...reclaimableReady.values()].filter(count => count > 0).sort((left, right) => right - left);
		const standing = sumOf([...keptOrdered.values()]);
		if (isScarce) {
			const areMostGone = byDataCentre.length <= dataCentres.length * partLostInBoot;
			const remaining = areMostGone ? 0 : sumOf(byDataCentre.slice(Math.ceil(byDataCentre.length * partLostInBoot)));
			const missing = Math.max(0, Math.ceil(leastNow - remaining));
			return missing < standing && missing > standing * minKeptPart ? standing : missing;
		}

		const missing = Math.max(0, Math.ceil((needed * servingPart) - sumOf(byDataCentre)));
		return missing > standing * minKeptPart ? standing : missing;
	}
}

const byPrice = ({dataCentres, scaling}: FleetFacts): readonly string[] => {
	const priceOf = (dataCentre: string) => scaling.dataCentrePrices.get(dataCentre) ?? 1;
	return [...dataCentres].sort((left, right) => priceOf(left) - priceOf(right));
};

/** Distributes replicas evenly over the data centres; the remainder goes to the cheapest ones. */
function spread(facts: FleetFacts, total: number): ReadonlyMap<string, number> {
	const {scaling, dataCentres} = facts;
	const each = Math.floor(total / Math.max(1, dataCentres.length));
	const remainder = total - (each * dataCentres.length);
	return new Map(byPrice(facts).map((dataCentre, index) => [
		dataCentre, Math.min(scaling.maximum, Math.max(scaling.minimum, each + (index < remainder ? 1 : 0))),
	]));
}

/**
 * Places kept replicas. Existing ones stay where they are; new ones go to the cheapest data centres, since they are not
 * reclaimed and need no spreading. They use capacity planned for reclaimable replicas only when no other capacity is left.
 */
function keptPlaces(facts: FleetFacts, reclaimable: ReadonlyMap<string, number>, total: number): ReadonlyMap<string, number> {
	const {scaling, reclaimableReady, keptOrdered, withoutKeptCapacity} = facts;
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

	const isOpen = (dataCentre: string) => !withoutKeptCapacity.has(dataCentre);
	fill(dataCentre => keptOrdered.get(dataCentre) ?? 0);
	fill(dataCentre => isOpen(dataCentre) ? scaling.maximum - (reclaimable.get(dataCentre) ?? 0) : 0);
	fill(dataCentre => isOpen(dataCentre) ? scaling.maximum - (reclaimableReady.get(dataCentre) ?? 0) : 0);
	return places;
}
