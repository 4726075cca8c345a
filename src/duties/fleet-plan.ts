/**
 * Decides how many replicas a service is to have, of which sort, in which zone.
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
	/** Zones in which it runs. */
	readonly zones: readonly string[];
	/** Replicas by zone that may be withdrawn and that serve. */
	readonly reclaimableReady: ReadonlyMap<string, number>;
	/** Whether the others have been given up before. */
	readonly isSettled: boolean;
};

/** Decides. */
export abstract class FleetPolicy {
	/**
	 * @param facts - What the plan rests on.
	 * @returns An order for each zone.
	 */
	abstract plan(facts: FleetFacts): readonly StandingOrder[];
}

/** Part of the first fleet that must still stand when zones are withdrawn. */
const survivingPart = 0.8;
/** Part of the first fleet below which others are ordered again. */
const leastPart = 0.35;
/** Zones that may be withdrawn one upon the other, before the first comes back. */
const zonesLost = 2;

/**
 * As many withdrawable replicas in each zone as carry the load when zones are withdrawn; the others are given up
 * once those serve.
 */
export class SurvivingZonesPolicy extends FleetPolicy {
	/** @returns The policy. */
	static create(): SurvivingZonesPolicy {
		return new SurvivingZonesPolicy();
	}

	override plan({service, scaling, baseline, zones, reclaimableReady, isSettled}: FleetFacts): readonly StandingOrder[] {
		const surviving = Math.max(1, zones.length - zonesLost);
		const each = Math.ceil(baseline * survivingPart / surviving);
		const reclaimable = Math.min(scaling.maximum, Math.max(scaling.minimum, each));
		const serving = zones.map(zone => Math.min(reclaimable, reclaimableReady.get(zone) ?? 0));
		const enough = isSettled ? baseline * leastPart : Math.min(baseline, reclaimable * Math.max(1, zones.length - 1));
		const hasEnough = sumOf(serving) >= enough;
		const keptBefore = Math.min(Math.max(0, scaling.maximum - reclaimable), Math.ceil(baseline / Math.max(1, zones.length)));
		return zones.map(zone => ({
			service, zone, reclaimable, kept: hasEnough ? 0 : keptBefore,
		}));
	}
}

function sumOf(numbers: readonly number[]): number {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
}
