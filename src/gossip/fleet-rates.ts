/**
 * The load of all boxes on each service. A box that receives the messages of all others pools their demand; the other boxes of a large
 * fleet receive the result from it.
 */
import type {Clock} from '../base/clock.js';
import {
	pooledDemand, ratesOf, type FleetDemand, type ServiceRates,
} from '../replicas/fleet-demand.js';
import type {ServiceDemands} from '../replicas/service-demand.js';
import type {ExchangeTopology} from './exchange-topology.js';
import type {NamedRates} from './gossip-message.js';
import type {PeerTable} from './peer-table.js';

/** Milliseconds for which pooled rates are cached; they change over seconds. */
const cacheTime = 250;
/** Milliseconds for which received rates count. */
const receivedLifetime = 10_000;
/** Exchange intervals since the requests of other boxes were counted, on average, where each box sends its counts to all others. */
const directAge = 0.5;
/** The same in a large fleet: counts wait for half an interval at the aggregator, and its digest for another half. */
const digestAge = 1;

/** Load of all boxes on a service, and the age of what is known of their requests at replicas. */
export type StaleLoad = {
	readonly rates: ServiceRates;
	/** Mean milliseconds since the requests of the other boxes were counted. */
	readonly age: number;
};

/** Rates, with the monotonic milliseconds at which they were computed or received. */
type DatedRates = {readonly rates: ServiceRates | undefined; readonly at: number};

/** Dependencies of the rates. */
export type FleetRatesServices = {
	readonly clock: Clock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly demands: ServiceDemands;
};

/** The load of all boxes. */
export class FleetRates {
	/**
	 * @param services - Dependencies.
	 * @returns Rates that know only the demand of this box.
	 */
	static create(services: FleetRatesServices): FleetRates {
		return new FleetRates(services);
	}

	private readonly pooled = new Map<string, DatedRates>();
	private readonly received = new Map<string, DatedRates>();

	private constructor(private readonly services: FleetRatesServices) {}

	/** Rates of all services, to be sent to boxes that do not receive the messages of all others. */
	get all(): readonly NamedRates[] {
		return this.services.demands.services.flatMap(service => {
			const rates = this.pooledRates(service);
			return rates ? [{service, ...rates}] : [];
		});
	}

	/**
	 * @param service - Name of a service.
	 * @returns Its demand at all boxes from which messages arrive, and how fast its replicas read prompts.
	 */
	demandFor(service: string): FleetDemand {
		const {peers, demands} = this.services;
		const own = demands.of(service);
		const others = peers.heard.flatMap(({last}) => last?.demand?.filter(entry => entry.service === service) ?? []);
		return pooledDemand([own.current, ...others], own.readRate);
	}

	/**
	 * @param service - Name of a service.
	 * @returns Load of all boxes, and the age of what is known of their requests at replicas; `undefined` where this box knows no other
	 * box, or no load yet.
	 */
	staleLoad(service: string): StaleLoad | undefined {
		const {peers, topology} = this.services;
		if (peers.boxes <= 1) {
			return undefined;
		}

		const isReceiver = topology.isLarge && !topology.isAggregator;
		const rates = isReceiver ? this.receivedRates(service) : this.pooledRates(service);
		return rates && {rates, age: topology.interval * (isReceiver ? digestAge : directAge)};
	}

	/** @param rates - Rates that a box sent that receives the messages of all others. */
	adopt(rates: readonly NamedRates[]): void {
		const at = this.services.clock.monotonic();
		for (const {service, ...named} of rates) {
			this.received.set(service, {rates: named, at});
			this.services.demands.of(service).adoptReadRate(named.readRate);
		}
	}

	/** A box that has received none assumes that all boxes have as many requests as itself. */
	private receivedRates(service: string): ServiceRates | undefined {
		const {clock, peers, demands} = this.services;
		const known = this.received.get(service);
		if (known && clock.monotonic() - known.at <= receivedLifetime) {
			return known.rates;
		}

		const own = ratesOf(pooledDemand([demands.of(service).current]));
		return own && {...own, requests: own.requests * peers.boxes};
	}

	private pooledRates(service: string): ServiceRates | undefined {
		const now = this.services.clock.monotonic();
		const known = this.pooled.get(service);
		if (known && now - known.at <= cacheTime) {
			return known.rates;
		}

		const rates = ratesOf(this.demandFor(service));
		this.pooled.set(service, {rates, at: now});
		return rates;
	}
}
