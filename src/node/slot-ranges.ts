/**
 * Divides the requests that limited replicas allow among the boxes. Each allowed request is a time slot with a position on a ring of length one, and each
 * box may use the slots on its range of the ring. The lengths of the ranges are in proportion to the demand at each box where that is known, otherwise equal.
 * The places at brittle replicas are divided by weights that rarely change.
 */
import type {Clock} from '../base/clock.js';
import {hashFraction} from '../base/rendezvous.js';
import {sumOf} from '../base/sum.js';
import type {ExchangeTopology} from '../gossip/exchange-topology.js';
import type {ServiceRange} from '../gossip/gossip-message.js';
import type {PeerTable} from '../gossip/peer-table.js';
import {divideRing, type RingRange} from '../replicas/limit-slots.js';
import type {DemandWeights} from '../replicas/demand-weights.js';
import type {Demand, ServiceDemands} from '../replicas/service-demand.js';

/** Dependencies of the slot ranges. */
export type SlotRangeServices = {
	readonly self: string;
	readonly clock: Clock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly demands: ServiceDemands;
	readonly weights: DemandWeights;
	/** @returns Services that have brittle replicas. */
	readonly brittle: () => ReadonlySet<string>;
	/** @returns Number of boxes before this process started; `undefined` if unknown. */
	readonly recordedBoxes?: () => number | undefined;
};

/** Milliseconds since its start in which a box owns no range, since it may know of few other boxes. */
const settlingTime = 2000;
/** Rounds of the exchange within which a box that starts hears boxes that were not restarted. */
const roundsToHear = 2;
/** Milliseconds for which a range received from an aggregator is valid: for as long, the other boxes reserve the range of a box that is silent. */
const receivedLifetime = 15_000;
/** Milliseconds for which the division of the ring is cached. */
const divisionLifetime = 100;
/** Minimum weight of a box, as a part of the mean demand of all boxes: a box without demand may get requests in the next second. */
const minWeightPart = 0.2;
const emptyRange: RingRange = {from: 0, length: 0};

type Division = {readonly ranges: ReadonlyMap<string, RingRange>; readonly at: number};

/** The slot ranges of one box, one for each service. */
export class SlotRanges {
	/**
	 * @param services - Dependencies of the slot ranges.
	 * @returns Ranges of which none was received yet.
	 */
	static create(services: SlotRangeServices): SlotRanges {
		return new SlotRanges(services);
	}

	private readonly received = new Map<string, {readonly range: RingRange; readonly at: number}>();
	private readonly divisions = new Map<string, Division>();

	private constructor(private readonly services: SlotRangeServices) {}

	/**
	 * @param service - Name of a service.
	 * @returns The range of this box.
	 */
	of(service: string): RingRange {
		const {self, clock, peers, topology} = this.services;
		if (peers.uptime < settlingTime) {
			return this.startingRange(service);
		}

		if (topology.isAggregator) {
			return this.rangeOf(self, service);
		}

		const received = this.received.get(service);
		if (received && clock.monotonic() - received.at < receivedLifetime) {
			return received.range;
		}

		// Ranges at random positions overlap, which a rate limit tolerates and a brittle replica does not.
		return this.services.brittle().has(service) ? emptyRange : equalRange(self, peers.boxes);
	}

	/**
	 * @param box - Name of a box of a large fleet that is no aggregator, so that it does not know the demand at the other boxes.
	 * @param services - Names of services that have limited replicas.
	 * @returns The ranges to send to it.
	 */
	rangesFor(box: string, services: readonly string[]): readonly ServiceRange[] {
		return services.map(service => ({service, ...this.rangeOf(box, service)}));
	}

	/** @param ranges - The ranges of this box, received from an aggregator. */
	applyReceived(ranges: readonly ServiceRange[]): void {
		for (const {service, from, length} of ranges) {
			this.received.set(service, {range: {from, length}, at: this.services.clock.monotonic()});
		}
	}

	/** While all boxes are starting, no other box owns the slots that this one would get. */
	private startingRange(service: string): RingRange {
		const {self, peers, topology, brittle, recordedBoxes} = this.services;
		const boxes = recordedBoxes?.();
		const isFleetStarting = peers.uptime > roundsToHear * topology.interval && peers.heard.every(({last}) => (last?.uptime ?? 0) < settlingTime);
		return boxes === undefined || !isFleetStarting || brittle().has(service) ? emptyRange : equalRange(self, Math.max(boxes, peers.boxes));
	}

	/** Shortens the range where the fleet has more boxes than this box knows by name, so that those keep their part. */
	private rangeOf(box: string, service: string): RingRange {
		const {peers} = this.services;
		const {from, length} = this.divisionFor(service).get(box) ?? emptyRange;
		return {from, length: length * peers.knownBoxes / peers.boxes};
	}

	private divisionFor(service: string): ReadonlyMap<string, RingRange> {
		const now = this.services.clock.monotonic();
		const known = this.divisions.get(service);
		if (known && now - known.at < divisionLifetime) {
			return known.ranges;
		}

		const ranges = divideRing(this.services.brittle().has(service) ? this.announcedWeights(service) : this.ratesAtBoxes(service));
		this.divisions.set(service, {ranges, at: now});
		return ranges;
	}

	private announcedWeights(service: string): ReadonlyMap<string, number> {
		const {self, peers, weights} = this.services;
		return new Map([
			[self, weights.of(service)],
			...peers.all.map(({address, last}) => [address.name, last?.weights?.find(one => one.service === service)?.weight ?? 1] as const),
		]);
	}

	/** Silent boxes keep their part: they may only be cut off from this box. */
	private ratesAtBoxes(service: string): ReadonlyMap<string, number> {
		const {self, peers, demands} = this.services;
		const rates = new Map<string, number | undefined>([
			[self, rateOf(demands.snapshots, service) ?? 0],
			...peers.all.map(({address, last}) => [address.name, last && (rateOf(last.demand ?? [], service) ?? 0)] as const),
		]);
		const knownRates = [...rates.values()].filter(rate => rate !== undefined);
		const mean = sumOf(knownRates) / knownRates.length;
		const minWeight = mean === 0 ? 1 : mean * minWeightPart;
		return new Map([...rates].map(([name, rate]) => [name, Math.max(minWeight, rate ?? mean)]));
	}
}

/** Requests per second that arrived for a service, whether they were served or not. */
function rateOf(demand: ReadonlyArray<Demand & {readonly service: string}>, service: string): number | undefined {
	const found = demand.find(one => one.service === service);
	return found && found.met + found.missed;
}

const equalRange = (box: string, boxes: number): RingRange => ({from: hashFraction(box), length: 1 / boxes});
