/**
 * How many replicas each service is to have: what was ordered before, and the load as it is measured.
 *
 * @remarks Source: docs/DECISIONS.md, "The fleet by measured load".
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {FirstFleet} from './duty-record.js';
import {FleetLoad, type LoadSample} from './fleet-load.js';

/** Part of the first fleet that is taken to carry the load before any load was seen. */
const assumedPart = 1;
/** Part of the needed replicas that carries the load with little to spare, where that was not measured. */
export const sparsePart = 0.65;
/** Less is ordered only where that is at least this part less: each change costs what replicas keep of prompts. */
const leastDecrease = 0.15;
/** More is ordered by at most this part at a time: caches that are still empty and clumps of requests look like load. */
const mostIncrease = 0.25;
/** Milliseconds beyond the boot time until more shows whether it was enough. */
const increasePause = 2000;

/** What the size of a service's fleet rests on besides the load. */
export type SizeFacts = {
	readonly fleet: FirstFleet;
	/** Whether reclaimable replicas were ordered that are not to be had. */
	readonly isScarce: boolean;
	/** Milliseconds until a new replica serves. */
	readonly bootTime: number;
};

/** The size of a service's fleet. */
export type FleetSize = {
	/** Replicas that carry the load of the last while with headroom. */
	readonly needed: number;
	/** Replicas that carry the load of the last seconds with little to spare. */
	readonly leastNow: number;
};

/** The sizes of all services' fleets. */
export class FleetSizes {
	/**
	 * @param clock - For ages.
	 * @returns Sizes of which nothing was measured.
	 */
	static create(clock: Clock): FleetSizes {
		return new FleetSizes(clock);
	}

	private readonly loads = new Map<string, FleetLoad>();
	/** What each service's fleet was increased from last, and when. */
	private readonly increases = new Map<string, {readonly from: number; readonly at: number}>();

	private constructor(private readonly clock: Clock) {}

	/**
	 * @param service - Name of a service.
	 * @param sample - Its load now.
	 */
	note(service: string, sample: LoadSample): void {
		this.loadOf(service).note(sample);
	}

	/**
	 * @param service - Name of a service.
	 * @returns Its load when it was last noted.
	 */
	lastLoad(service: string): LoadSample {
		return this.loadOf(service).last;
	}

	/**
	 * What was ordered by load stands until as much was seen as allows less. While some are not to be had none are given
	 * up: others may go next.
	 *
	 * @param facts - What it rests on besides the load.
	 * @returns The size of the service's fleet.
	 */
	of({fleet, isScarce, bootTime}: SizeFacts): FleetSize {
		const load = this.loadOf(fleet.service);
		const standing = fleet.needed ?? Math.ceil(fleet.replicas * assumedPart);
		const isLess = load.isObserved && !isScarce && load.needed <= standing * (1 - leastDecrease);
		const needed = isLess ? load.needed : this.increased(fleet.service, standing, load.needed, bootTime);
		return {needed, leastNow: load.isObservedBriefly ? Math.min(load.leastNow, needed) : needed * sparsePart};
	}

	private increased(service: string, standing: number, wanted: number, bootTime: number): number {
		const now = this.clock.monotonic();
		const known = this.increases.get(service);
		const before = known && now - known.at <= bootTime + increasePause ? known : {from: standing, at: now};
		this.increases.set(service, before);
		return Math.max(standing, Math.min(wanted, before.from * (1 + mostIncrease)));
	}

	private loadOf(service: string): FleetLoad {
		return getOrCreate(this.loads, service, () => FleetLoad.create(this.clock));
	}
}
