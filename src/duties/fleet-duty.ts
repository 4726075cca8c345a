/**
 * Orders replicas according to the fleet policy. The orders are recorded in the store, so that the next holder continues
 * from them.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import {sumOf} from '../base/sum.js';
import type {EventLog} from '../base/event-log.js';
import type {StoreUnavailable} from '../follow/metadata-store.js';
import type {Replica} from '../replicas/replica.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {FleetDemand} from '../replicas/fleet-demand.js';
import type {RouteTableView} from '../routes/route-table-view.js';
import type {Scaling, Service} from '../routes/route-table.js';
import type {DutyCalls, DutyRefusal, ReplicaOrder} from './duty-calls.js';
import type {ActPermit, DutyLease, DutyTaken} from './duty-lease.js';
import type {DutyRecord, FirstFleet, StandingOrder} from './duty-record.js';
import {FirstFleetCount} from './first-fleet-count.js';
import type {FleetPolicy} from './fleet-plan.js';
import {FleetSizes, type FleetSize} from './fleet-size.js';
import {LostCapacity} from './lost-capacity.js';
import {OrderRegistry} from './order-registry.js';

/** Fraction of the replicas ordered in a data centre that must be ready; below 1, since single replicas crash and restart. */
const minReadyPart = 0.75;

/** Dependencies of the duty. */
export type FleetDutyServices = {
	readonly lease: DutyLease;
	readonly calls: DutyCalls;
	readonly table: RouteTableView;
	readonly replicas: ReplicaDirectory;
	/** @returns Demand for a service, summed over all boxes. */
	readonly demand: (service: string) => FleetDemand;
	readonly policy: FleetPolicy;
	/** @returns Requests per second that a replica accepts from all boxes together; `undefined` if it has announced no limit. */
	readonly limitOf: (replica: Replica) => number | undefined;
	/** @returns Fraction of the boxes that a replica has asked to send it no requests for a while, 0 to 1. */
	readonly pausedPart: (replica: Replica) => number;
	/** @returns Whether a replica may take traffic; one of a version on trial counts as no capacity. */
	readonly mayServe?: (replica: Replica) => boolean;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** The fleet of one service. */
type Fleet = {
	readonly service: string;
	readonly scaling: Scaling;
	readonly first: FirstFleet;
	readonly size: FleetSize;
	/** Capacity lost to limits and pauses of replicas, as a number of replicas. */
	readonly lost: number;
};

/** Orders the replicas of all services that have scaling settings. */
export class FleetDuty {
	/**
	 * @param services - Dependencies.
	 * @returns The duty.
	 */
	static create(services: FleetDutyServices): FleetDuty {
		return new FleetDuty(services);
	}

	private readonly orders: OrderRegistry;
	private readonly firstFleet: FirstFleetCount;
	private readonly sizes: FleetSizes;
	private readonly lost: LostCapacity;

	private constructor(private readonly services: FleetDutyServices) {
		this.orders = OrderRegistry.create(services.clock);
		this.firstFleet = FirstFleetCount.create(services.replicas, services.clock);
		this.sizes = FleetSizes.create(services.clock);
		this.lost = LostCapacity.create(services.clock);
	}

	/** Samples the current load. Boxes without the duties sample it too, so that a new holder knows the recent load. */
	observe(): void {
		for (const {name} of this.scaled) {
			this.sampleLoad(name);
		}
	}

	/** @returns Sends the orders that are due. */
	step(): Effect.Effect<void, StoreUnavailable | DutyTaken> {
		return Effect.suspend(() => {
			const {lease} = this.services;
			const record = lease.known;
			const {scaled} = this;
			if (!record || !this.services.replicas.isKnown || scaled.length === 0 || !this.firstFleet.isDue(record)) {
				return Effect.void;
			}

			const fleets = scaled.map(service => this.fleetOf(service, record));
			const plans = fleets.flatMap(fleet => this.planOf(fleet, record.orders));
			const due = plans.flatMap(order => ordersOf(order)).filter(order => this.isDue(order));
			if (due.length === 0) {
				return Effect.void;
			}

			const baseline = fleets.map(({first, size: {needed}}) => settledBy(plans, {...first, needed}));
			for (const fleet of fleets) {
				this.logSize(fleet);
			}

			return lease.decide(before => ({...before, baseline, orders: plans})).pipe(Effect.flatMap(permit => this.orderAll(permit, due)));
		});
	}

	private get scaled(): readonly Service[] {
		return (this.services.table.inForce?.content.services ?? []).filter(({scaling}) => scaling !== undefined);
	}

	private fleetOf({name, scaling}: Service, record: DutyRecord): Fleet {
		const first = this.firstFleet.of(record, name);
		const lost = this.lostOf(name);
		const size = this.sizes.of({
			fleet: first,
			isScarce: this.orders.isScarce(name),
			isMostlyReady: this.isMostlyReady(name, record.orders),
			serving: this.readyOf(name).length - lost,
			bootTime: scaling!.bootTime,
		});
		return {
			service: name, scaling: scaling!, first, size, lost,
		};
	}

	private readyOf(service: string): readonly Replica[] {
		const {replicas, mayServe} = this.services;
		return replicas.ready(service, mayServe);
	}

	private lostOf(name: string): number {
		const {limitOf, pausedPart, demand} = this.services;
		const {rate} = demand(name);
		const ready = this.readyOf(name);
		const fullRate = rate / Math.max(1, ready.length);
		const rateOf = (replica: Replica): number => {
			const paused = pausedPart(replica);
			const limit = limitOf(replica) ?? Number.POSITIVE_INFINITY;
			return paused === 0 ? limit : Math.min(limit, fullRate * (1 - paused));
		};

		return this.lost.of(name, ready.map(replica => rateOf(replica)), rate);
	}

	/**
	 * Whether most of the ordered replicas are ready in each data centre. A new holder knows of no refused order, but it
	 * sees which replicas are missing.
	 */
	private isMostlyReady(name: string, orders: readonly StandingOrder[]): boolean {
		const ready = this.readyOf(name);
		return orders
			.filter(({service}) => service === name)
			.every(({dataCentre, reclaimable, kept}) => countOf(ready, dataCentre, true) + countOf(ready, dataCentre, false) >= (reclaimable + kept) * minReadyPart);
	}

	private logSize({service, first, size: {needed, leastNow}, lost}: Fleet): void {
		const {log, demand} = this.services;
		const {reading, readRate, goal, boxes} = demand(service);
		log.write('fleetSized', {
			service, needed, leastNow, lost, baseline: first.replicas, ...this.sizes.lastLoad(service), isScarce: this.orders.isScarce(service), serving: this.readyOf(service).length,
			tokensToRead: reading, readRate: Math.round(readRate), goal: Math.round(goal), boxes,
		});
	}

	/** Samples the current load of a service. */
	private sampleLoad(service: string): void {
		const {demand, replicas} = this.services;
		const {
			requests, reading, readRate, goal, residualReading, missedPart,
		} = demand(service);
		// While the read rate is unknown, prompts that are being read would count as no work.
		if (reading > 0 && readRate === 0) {
			return;
		}

		const slots = replicas.all.filter(({entry}) => entry.service === service).map(replica => replica.entry.slots);
		this.sizes.addSample(service, {
			requests,
			slots: slots.length === 0 ? this.sizes.lastLoad(service).slots : sumOf(slots) / slots.length,
			reading: readRate === 0 ? 0 : reading / readRate,
			waits: residualReading === 0 ? 0 : goal / residualReading,
			missedPart,
		});
	}

	private planOf({service: name, scaling, first, size: {needed, leastNow}, lost}: Fleet, standing: readonly StandingOrder[]): readonly StandingOrder[] {
		const {policy} = this.services;
		const ready = this.readyOf(name);
		const dataCentres = [...scaling.dataCentrePrices.keys()];
		return policy.plan({
			service: name,
			scaling,
			dataCentres,
			// The record stores `needed` without the lost capacity, which changes with the limits.
			needed: needed + lost,
			leastNow: leastNow + lost,
			baseline: first.replicas,
			isSettled: first.isSettled === true,
			isIdle: ready.every(({work}) => work.requests === 0),
			isScarce: this.orders.isScarce(name),
			reclaimableReady: new Map(dataCentres.map(dataCentre => [dataCentre, countOf(ready, dataCentre, true)])),
			keptOrdered: new Map(standing.filter(({service}) => service === name).map(({dataCentre, kept}) => [dataCentre, kept])),
			withoutKeptCapacity: this.orders.withoutKeptCapacity(name),
		});
	}

	private isDue(order: ReplicaOrder): boolean {
		const {table} = this.services;
		return this.orders.isDue(order, {
			present: this.presentOf(order),
			bootTime: table.inForce?.service(order.service)?.scaling?.bootTime ?? 0,
		});
	}

	/** Sends orders that add replicas first, and orders that remove replicas only after those have completed. */
	private orderAll(permit: ActPermit, orders: readonly ReplicaOrder[]): Effect.Effect<void> {
		const more = orders.filter(order => order.count > this.presentOf(order));
		const others = orders.filter(order => !more.includes(order));
		// The process may have been suspended since the decision was written or while earlier orders were sent.
		const send = (order: ReplicaOrder) => Effect.suspend(() => permit.isValid() && !this.isPremature(order) ? this.order(permit, order) : Effect.void);
		const sendAll = (some: readonly ReplicaOrder[]) => Effect.all(some.map(order => send(order)), {discard: true, concurrency: 'unbounded'});
		return sendAll(more).pipe(Effect.andThen(sendAll(others)));
	}

	private presentOf({service, dataCentre, isReclaimable}: ReplicaOrder): number {
		return countOf(this.readyOf(service), dataCentre, isReclaimable);
	}

	/** Non-reclaimable replicas are not removed in the step in which reclaimable replicas turn out to be unavailable. */
	private isPremature(order: ReplicaOrder): boolean {
		return !order.isReclaimable && order.count <= this.presentOf(order) && this.orders.isScarce(order.service);
	}

	private order({signer}: ActPermit, order: ReplicaOrder): Effect.Effect<void> {
		const {calls, log} = this.services;
		const fields = {
			service: order.service, dataCentre: order.dataCentre, count: order.count, isReclaimable: order.isReclaimable, fence: signer.fence,
		};
		return calls.orderReplicas(signer, order).pipe(
			Effect.map(() => {
				this.orders.recordAccepted(order);
				log.write('replicasOrdered', fields);
			}),
			Effect.catchTag('DutyRefusal', ({reason, detail}: DutyRefusal) => Effect.sync(() => {
				this.orders.recordRefused(order, reason);
				log.write('dutyCallFailed', {
					duty: 'fleet', reason, detail, ...fields,
				});
			})),
		);
	}
}

const countOf = (replicas: readonly Replica[], dataCentre: string, isReclaimable: boolean): number => replicas
	.filter(({entry}) => entry.dataCentre === dataCentre && entry.isReclaimable === isReclaimable).length;

function ordersOf({service, dataCentre, reclaimable, kept}: StandingOrder): readonly ReplicaOrder[] {
	return [
		{
			service, dataCentre, count: reclaimable, isReclaimable: true,
		},
		{
			service, dataCentre, count: kept, isReclaimable: false,
		},
	];
}

/** The first fleet is settled once a plan orders none of its replicas. */
function settledBy(plans: readonly StandingOrder[], first: FirstFleet): FirstFleet {
	return {...first, isSettled: first.isSettled === true || plans.every(({service, kept}) => service !== first.service || kept === 0)};
}
