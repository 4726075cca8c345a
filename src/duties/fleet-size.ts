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
/** Less is ordered by at most this part at a time: what is left shows whether it is enough. */
const mostDecrease = 0.4;
/** Milliseconds beyond the boot time until a change shows whether it was enough. */
const changePause = 2000;
/** How many times what the load is taken to need is needed at most, where goals are missed with all of that serving. */
const largestCorrection = 2.5;
/** Milliseconds for which goals must have been kept before a correction is taken back by a step, and that step. */
const correctionLifetime = 25_000;
const correctionStep = 1.25;
/** Part of what is taken to be needed that must serve for missed goals to speak against the measure. */
const servingPart = 0.9;

/** What the size of a service's fleet rests on besides the load. */
export type SizeFacts = {
	readonly fleet: FirstFleet;
	/** Whether reclaimable replicas were ordered that are not to be had. */
	readonly isScarce: boolean;
	/** Whether what was ordered serves. */
	readonly isWhole: boolean;
	/** Replicas that serve. */
	readonly serving: number;
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

/** A change of a fleet's size that is still to show whether it was enough. */
type SizeChange = {
	/** What was needed before. */
	readonly from: number;
	/** Monotonic milliseconds. */
	readonly at: number;
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
	/** What each service's fleet was last made greater or smaller from, and when. */
	private readonly increases = new Map<string, SizeChange>();
	private readonly decreases = new Map<string, SizeChange>();
	/** How far the measure of each service's load is off, as missed goals show, and when that was last weighed. */
	private readonly corrections = new Map<string, {readonly factor: number; readonly at: number}>();
	/** Since when as many replicas of each service serve as its load is taken to need. */
	private readonly enoughSince = new Map<string, number>();

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
	 * What was ordered by load stands until as much was seen as allows less: the load for a while, goals kept, and all that
	 * was ordered serving. While some are missing none are given up: others may go next.
	 *
	 * @param facts - What it rests on besides the load.
	 * @returns The size of the service's fleet.
	 */
	of(facts: SizeFacts): FleetSize {
		const {fleet, isScarce, isWhole, bootTime} = facts;
		const {service} = fleet;
		const load = this.loadOf(service);
		const factor = this.correctionFor(facts, load);
		const wanted = load.needed * factor;
		const standing = fleet.needed ?? Math.ceil(fleet.replicas * assumedPart);
		const isProven = load.isObserved && load.keptFor > bootTime + changePause;
		const isLess = isProven && isWhole && !isScarce && wanted <= standing * (1 - leastDecrease);
		const needed = isLess ? this.decreased(service, standing, wanted, bootTime) : this.increased(service, standing, wanted, bootTime);
		return {needed, leastNow: load.isObservedBriefly ? Math.min(load.leastNow * factor, needed) : needed * sparsePart};
	}

	/** Where most requests miss their goals, the fleet would stay too small for as long as small steps take. */
	private increased(service: string, standing: number, wanted: number, bootTime: number): number {
		const {from} = this.changeSince(this.increases, service, {standing, bootTime});
		const load = this.loadOf(service);
		const most = isShort(load, bootTime) ? Math.max(mostIncrease, load.last.missedPart) : mostIncrease;
		return Math.max(standing, Math.min(wanted, from * (1 + most)));
	}

	private decreased(service: string, standing: number, wanted: number, bootTime: number): number {
		const {from} = this.changeSince(this.decreases, service, {standing, bootTime});
		return Math.min(standing, Math.max(wanted, from * (1 - mostDecrease)));
	}

	/** The change that is still to show whether it was enough, or one that begins now. */
	private changeSince(changes: Map<string, SizeChange>, service: string, {standing, bootTime}: {readonly standing: number; readonly bootTime: number}): SizeChange {
		const now = this.clock.monotonic();
		const known = changes.get(service);
		const change = known && now - known.at <= bootTime + changePause ? known : {from: standing, at: now};
		changes.set(service, change);
		return change;
	}

	/**
	 * Where goals are missed for a while in which as many replicas serve as the load is taken to need, it needs more than that.
	 * Those that have just come find the requests that waited for them.
	 */
	private correctionFor({fleet: {service}, serving, bootTime}: SizeFacts, load: FleetLoad): number {
		const now = this.clock.monotonic();
		const {factor, at} = this.corrections.get(service) ?? {factor: 1, at: Number.NEGATIVE_INFINITY};
		const enoughFor = this.enoughFor(service, serving >= load.leastNow * factor * servingPart);
		const isRefuted = isShort(load, bootTime) && enoughFor > (bootTime + changePause) / 2;
		if (isRefuted && now - at > bootTime + changePause) {
			return this.correct(service, Math.min(largestCorrection, factor * (1 + load.last.missedPart)));
		}

		const isConfirmed = factor > 1 && load.keptFor > correctionLifetime && now - at > correctionLifetime;
		return isConfirmed ? this.correct(service, Math.max(1, factor / correctionStep)) : factor;
	}

	private enoughFor(service: string, isEnough: boolean): number {
		if (!isEnough) {
			this.enoughSince.delete(service);
			return 0;
		}

		const now = this.clock.monotonic();
		return now - getOrCreate(this.enoughSince, service, () => now);
	}

	private correct(service: string, factor: number): number {
		this.corrections.set(service, {factor, at: this.clock.monotonic()});
		return factor;
	}

	private loadOf(service: string): FleetLoad {
		return getOrCreate(this.loads, service, () => FleetLoad.create(this.clock));
	}
}

/** Goals that are missed for a moment say nothing: a clump of requests, or replicas that have just gone. */
function isShort({missedFor}: FleetLoad, bootTime: number): boolean {
	return missedFor > (bootTime + changePause) / 2;
}
