/**
 * Decides how many replicas a service is to have, of which sort, in which data centre.
 *
 * @remarks Source: docs/DESIGN.md, "The fleet".
 */
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
	/** Replicas by data centre that may be withdrawn and that serve. */
	readonly reclaimableReady: ReadonlyMap<string, number>;
	/** Whether the others have been given up before. */
	readonly isSettled: boolean;
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
/** Part of the first fleet below which others are ordered again. */
const leastPart = 0.35;
/** Part of the first fleet that must serve before the others are given up. */
const firstPart = 0.6;
/** Data centres that may be withdrawn one upon the other, before the first comes back. */
const dataCentresLost = 2;

/**
 * As many withdrawable replicas in each data centre as carry the load when data centres are withdrawn; the others are given up
 * once those serve.
 */
export class SurvivingDataCentresPolicy extends FleetPolicy {
	/** @returns The policy. */
	static create(): SurvivingDataCentresPolicy {
		return new SurvivingDataCentresPolicy();
	}

	override plan(facts: FleetFacts): readonly StandingOrder[] {
		const {service, scaling, baseline, dataCentres} = facts;
		const surviving = Math.max(1, dataCentres.length - dataCentresLost);
		const each = Math.ceil(baseline * survivingPart / surviving);
		const wanted = Math.min(scaling.maximum, Math.max(scaling.minimum, each));
		const kept = this.needsKept(facts, wanted) ? Math.min(scaling.maximum, Math.ceil(baseline / Math.max(1, dataCentres.length))) : 0;
		// The maximum holds for both sorts together.
		const reclaimable = Math.min(wanted, scaling.maximum - kept);
		return dataCentres.map(dataCentre => ({
			service, dataCentre, reclaimable, kept,
		}));
	}

	/** Kept replicas stay until the others serve, and come back where too few of those are left. */
	private needsKept({baseline, dataCentres, reclaimableReady, isSettled, isIdle}: FleetFacts, wanted: number): boolean {
		const serving = sumOf(dataCentres.map(dataCentre => Math.min(wanted, reclaimableReady.get(dataCentre) ?? 0)));
		const isShort = serving < baseline * (isSettled ? leastPart : firstPart);
		return isShort && (isSettled || !isIdle);
	}
}

function sumOf(numbers: readonly number[]): number {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
}
