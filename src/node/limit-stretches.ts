/**
 * Which part of the slots at replicas that have named limits is this box's: by what is asked for at each box where boxes know that of each other, else the
 * same for all.
 */
import type {Clock} from '../base/clock.js';
import {shareOf} from '../base/rendezvous.js';
import {sumOf} from '../base/sum.js';
import type {ExchangeTopology} from '../gossip/exchange-topology.js';
import type {ServiceStretch} from '../gossip/gossip-message.js';
import type {PeerTable} from '../gossip/peer-table.js';
import {divideLine, type Stretch} from '../replicas/limit-slots.js';
import type {Demand, ServiceDemands} from '../replicas/service-demand.js';

/** What the stretches rest on. */
export type LimitStretchServices = {
	readonly self: string;
	readonly clock: Clock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly demands: ServiceDemands;
};

/** Milliseconds since its start in which a box may know of few others, and has no part. */
const settlingTime = 2000;
/** Milliseconds for which what an aggregator told is kept to: as long as others leave a box its part that they do not hear. */
const toldLifetime = 15_000;
/** Milliseconds for which the line is not divided anew. */
const divisionLifetime = 100;
/** Part of the mean of what is asked for at all boxes that each counts with: whoever is asked for nothing may be so in the next second. */
const leastPart = 0.2;
const noStretch: Stretch = {from: 0, length: 0};

type Division = {readonly stretches: ReadonlyMap<string, Stretch>; readonly at: number};

/** The stretches of one box. */
export class LimitStretches {
	/**
	 * @param services - What they rest on.
	 * @returns Stretches of which none was told.
	 */
	static create(services: LimitStretchServices): LimitStretches {
		return new LimitStretches(services);
	}

	private readonly told = new Map<string, {readonly stretch: Stretch; readonly at: number}>();
	private readonly divisions = new Map<string, Division>();

	private constructor(private readonly services: LimitStretchServices) {}

	/**
	 * @param service - Name of a service.
	 * @returns This box's stretch.
	 */
	of(service: string): Stretch {
		const {self, clock, peers, topology} = this.services;
		if (peers.uptime < settlingTime) {
			return noStretch;
		}

		if (topology.isAggregator) {
			return this.stretchOf(self, service);
		}

		const told = this.told.get(service);
		return told && clock.monotonic() - told.at < toldLifetime
			? told.stretch
			: {from: shareOf(self), length: 1 / peers.boxes};
	}

	/**
	 * @param box - Name of another box, in a large fleet, that does not hear all others.
	 * @param services - Names of services that have limited replicas.
	 * @returns What to tell it.
	 */
	toldTo(box: string, services: readonly string[]): readonly ServiceStretch[] {
		return services.map(service => ({service, ...this.stretchOf(box, service)}));
	}

	/** @param stretches - What an aggregator tells this box. */
	take(stretches: readonly ServiceStretch[]): void {
		for (const {service, from, length} of stretches) {
			this.told.set(service, {stretch: {from, length}, at: this.services.clock.monotonic()});
		}
	}

	/** Others may know of boxes that this one does not know: their part is left to them. */
	private stretchOf(box: string, service: string): Stretch {
		const {peers} = this.services;
		const {from, length} = this.dividedFor(service).get(box) ?? noStretch;
		return {from, length: length * peers.knownBoxes / peers.boxes};
	}

	private dividedFor(service: string): ReadonlyMap<string, Stretch> {
		const now = this.services.clock.monotonic();
		const known = this.divisions.get(service);
		if (known && now - known.at < divisionLifetime) {
			return known.stretches;
		}

		const stretches = divideLine(this.weightsOf(service));
		this.divisions.set(service, {stretches, at: now});
		return stretches;
	}

	/** Boxes that are not heard keep their part: they may only be cut off from this one. */
	private weightsOf(service: string): ReadonlyMap<string, number> {
		const {self, peers, demands} = this.services;
		const rates = new Map<string, number | undefined>([
			[self, rateOf(demands.told, service) ?? 0],
			...peers.all.map(({address, last}) => [address.name, last && (rateOf(last.demand ?? [], service) ?? 0)] as const),
		]);
		const told = [...rates.values()].filter(rate => rate !== undefined);
		const mean = sumOf(told) / told.length;
		const least = mean === 0 ? 1 : mean * leastPart;
		return new Map([...rates].map(([name, rate]) => [name, Math.max(least, rate ?? mean)]));
	}
}

/** Requests a second that came for a service, answered in time or not. */
function rateOf(demand: ReadonlyArray<Demand & {readonly service: string}>, service: string): number | undefined {
	const found = demand.find(one => one.service === service);
	return found && found.met + found.missed;
}
