/**
 * Decides how many replicas each service should have, from the previous order and the measured load.
 *
 * @remarks Source: docs/DECISIONS.md, "The fleet by measured load".
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {FirstFleet} from './duty-record.js';
import {FleetLoad, type LoadSample} from './fleet-load.js';

/** Fraction of the first fleet assumed to be needed before any load was measured. */
const assumedPart = 1;
/** Fraction of the needed replicas assumed to carry the load with little headroom, if that was not measured. */
export const tightPart = 0.65;
/** Smallest fraction by which an order is decreased: each change loses the prompt caches of the removed replicas. */
const minDecrease = 0.15;
/** Largest fraction by which an order is increased at a time: empty caches and bursts of requests look like load. */
const maxIncrease = 0.25;
/** Largest fraction by which an order is decreased at a time, to observe whether the remaining replicas suffice. */
const maxDecrease = 0.4;
/** Milliseconds after the boot time until the effect of a change can be measured. */
const effectDelay = 2000;
/** Upper limit of the correction factor that is applied if goals are missed although the estimated replicas are ready. */
const maxCorrection = 2.5;
/** Milliseconds for which goals must have been met before a correction is reduced by one step. */
const correctionLifetime = 25_000;
/** Factor by which a correction is reduced. */
const correctionStep = 1.25;
/** Fraction of the estimated replicas that must be ready for missed goals to count as evidence against the estimate. */
const servingPart = 0.9;

/** Input of the size of a service's fleet besides the load. */
export type SizeFacts = {
	readonly fleet: FirstFleet;
	/** Whether an order of reclaimable replicas failed because none are available. */
	readonly isScarce: boolean;
	/** Whether most of the ordered replicas are ready in each data centre. */
	readonly isMostlyReady: boolean;
	/** Ready replicas, less lost capacity. */
	readonly serving: number;
	/** Milliseconds until a new replica is ready. */
	readonly bootTime: number;
};

/** The size of a service's fleet. */
export type FleetSize = {
	/** Replicas for the recent peak load with ample headroom. */
	readonly needed: number;
	/** Replicas for the peak load of the last seconds with little headroom. */
	readonly leastNow: number;
};

/** A change of a fleet's size whose effect cannot be measured yet. */
type SizeChange = {
	/** Number of replicas before the change. */
	readonly from: number;
	/** Time of the change, monotonic milliseconds. */
	readonly at: number;
};

/** The sizes of all services' fleets. */
export class FleetSizes {
	/**
	 * @param clock - Measures the age of samples and changes.
	 * @returns Sizes without measurements.
	 */
	static create(clock: Clock): FleetSizes {
		return new FleetSizes(clock);
	}

	private readonly loads = new Map<string, FleetLoad>();
	/** Last increase of each service's fleet. */
	private readonly increases = new Map<string, SizeChange>();
	/** Last decrease of each service's fleet. */
	private readonly decreases = new Map<string, SizeChange>();
	/** Factor by which missed goals correct each service's estimate, and the time of its last change in monotonic milliseconds. */
	private readonly corrections = new Map<string, {readonly factor: number; readonly at: number}>();
	/** Monotonic milliseconds since which each service has as many ready replicas as its estimate. */
	private readonly enoughSince = new Map<string, number>();

	private constructor(private readonly clock: Clock) {}

	/**
	 * @param service - Name of a service.
	 * @param sample - Its current load.
	 */
	addSample(service: string, sample: LoadSample): void {
		this.loadOf(service).addSample(sample);
	}

	/**
	 * @param service - Name of a service.
	 * @returns Its last sample.
	 */
	lastLoad(service: string): LoadSample {
		return this.loadOf(service).last;
	}

	/**
	 * The size is decreased only after the load was observed for long enough, goals were met and the ordered replicas are
	 * ready. No replica is removed while others are missing, since more may be reclaimed next.
	 *
	 * @param facts - Input besides the load.
	 * @returns The size of the service's fleet.
	 */
	of(facts: SizeFacts): FleetSize {
		const {fleet, isScarce, isMostlyReady, bootTime} = facts;
		const {service} = fleet;
		const load = this.loadOf(service);
		const factor = this.correctionFor(facts, load);
		const wanted = load.needed * factor;
		const standing = fleet.needed ?? Math.ceil(fleet.replicas * assumedPart);
		const isProven = load.isObserved && load.goalsMetFor > bootTime + effectDelay;
		const isDecrease = isProven && isMostlyReady && !isScarce && wanted <= standing * (1 - minDecrease);
		const needed = isDecrease ? this.decreased(service, standing, wanted, bootTime) : this.increased(service, standing, wanted, bootTime);
		return {needed, leastNow: load.isRecentPeakObserved ? Math.min(load.leastNow * factor, needed) : needed * tightPart};
	}

	/** If many requests miss their goals, the step is larger, since small steps would leave the fleet too small for long. */
	private increased(service: string, standing: number, wanted: number, bootTime: number): number {
		const {from} = this.changeSince(this.increases, service, {standing, bootTime});
		const load = this.loadOf(service);
		const maxStep = isMissingGoals(load, bootTime) ? Math.max(maxIncrease, load.last.missedPart) : maxIncrease;
		return Math.max(standing, Math.min(wanted, from * (1 + maxStep)));
	}

	private decreased(service: string, standing: number, wanted: number, bootTime: number): number {
		const {from} = this.changeSince(this.decreases, service, {standing, bootTime});
		return Math.min(standing, Math.max(wanted, from * (1 - maxDecrease)));
	}

	/** The last change if its effect cannot be measured yet, otherwise a change that starts now. */
	private changeSince(changes: Map<string, SizeChange>, service: string, {standing, bootTime}: {readonly standing: number; readonly bootTime: number}): SizeChange {
		const now = this.clock.monotonic();
		const known = changes.get(service);
		const change = known && now - known.at <= bootTime + effectDelay ? known : {from: standing, at: now};
		changes.set(service, change);
		return change;
	}

	/**
	 * If goals are missed although the estimated number of replicas has been ready for a while, the estimate is too low. New
	 * replicas do not count at once: they first work off the requests that waited for them.
	 */
	private correctionFor({fleet: {service}, serving, bootTime}: SizeFacts, load: FleetLoad): number {
		const now = this.clock.monotonic();
		const {factor, at} = this.corrections.get(service) ?? {factor: 1, at: Number.NEGATIVE_INFINITY};
		const enoughFor = this.enoughFor(service, serving >= load.leastNow * factor * servingPart);
		const isRefuted = isMissingGoals(load, bootTime) && enoughFor > (bootTime + effectDelay) / 2;
		if (isRefuted && now - at > bootTime + effectDelay) {
			return this.setCorrection(service, Math.min(maxCorrection, factor * (1 + load.last.missedPart)));
		}

		const isConfirmed = factor > 1 && load.goalsMetFor > correctionLifetime && now - at > correctionLifetime;
		return isConfirmed ? this.setCorrection(service, Math.max(1, factor / correctionStep)) : factor;
	}

	private enoughFor(service: string, isEnough: boolean): number {
		if (!isEnough) {
			this.enoughSince.delete(service);
			return 0;
		}

		const now = this.clock.monotonic();
		return now - getOrCreate(this.enoughSince, service, () => now);
	}

	private setCorrection(service: string, factor: number): number {
		this.corrections.set(service, {factor, at: this.clock.monotonic()});
		return factor;
	}

	private loadOf(service: string): FleetLoad {
		return getOrCreate(this.loads, service, () => FleetLoad.create(this.clock));
	}
}

/** Goals that are missed briefly are ignored: the cause may be a burst of requests or replicas that have just left. */
function isMissingGoals({goalsMissedFor}: FleetLoad, bootTime: number): boolean {
	return goalsMissedFor > (bootTime + effectDelay) / 2;
}
