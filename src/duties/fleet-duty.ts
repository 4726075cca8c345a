/**
 * Orders replicas as the plan says; the orders stand in the store, so that the next holder goes on from them.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import {sumOf} from '../base/sum.js';
import type {EventLog} from '../base/event-log.js';
import type {StoreUnavailable} from '../follow/metadata-store.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {RouteTableView} from '../routes/route-table-view.js';
import type {Scaling, Service} from '../routes/route-table.js';
import type {DutyCalls, DutyRefusal, ReplicaOrder} from './duty-calls.js';
import type {ActPermit, DutyLease, DutyTaken} from './duty-lease.js';
import type {DutyRecord, FirstFleet, StandingOrder} from './duty-record.js';
import type {FleetFacts, FleetPolicy} from './fleet-plan.js';

/** Milliseconds before an order that was not taken is tried again. */
const refusalPause = 1500;
/** Milliseconds beyond the boot time after which replicas that are still missing are ordered again. */
const missingPause = 3000;
/**
 * Milliseconds without a new replica after which the first fleet is counted: replicas list themselves in turn, and those
 * that are given up before never do.
 */
const settleTime = 2500;
/** Milliseconds after it was counted in which replicas of the first fleet may still list themselves. */
const lateListing = 10_000;

/** What the duty needs. */
export type FleetDutyServices = {
	readonly lease: DutyLease;
	readonly calls: DutyCalls;
	readonly table: RouteTableView;
	readonly replicas: ReplicaDirectory;
	readonly policy: FleetPolicy;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** What became of an order. */
type OrderState = {
	readonly count: number;
	readonly isTaken: boolean;
	/** Monotonic milliseconds. */
	readonly at: number;
};

const keyOf = ({service, dataCentre, isReclaimable}: ReplicaOrder): string => `${service}\n${dataCentre}\n${isReclaimable}`;

/** The duty. */
export class FleetDuty {
	/**
	 * @param services - What it needs.
	 * @returns The duty.
	 */
	static create(services: FleetDutyServices): FleetDuty {
		return new FleetDuty(services);
	}

	private readonly states = new Map<string, OrderState>();
	/** Kept replicas of the first fleet that were listed, by service. */
	private readonly seen = new Map<string, ReadonlySet<string>>();
	/** Monotonic milliseconds until which the first fleet is counted; only who finds none counted counts it. */
	private countingUntil: number | undefined;
	/** Monotonic milliseconds until which the replicas that take the first fleet's place boot, by service. */
	private readonly bootingUntil = new Map<string, number>();

	private constructor(private readonly services: FleetDutyServices) {}

	/** @returns Does what is due; ends soon. */
	step(): Effect.Effect<void, StoreUnavailable | DutyTaken> {
		return Effect.suspend(() => {
			const {lease, table} = this.services;
			const record = lease.known;
			const scaled = (table.inForce?.content.services ?? []).filter(({scaling}) => scaling !== undefined);
			const isWhole = record?.baseline.length !== 0 || this.services.replicas.settledFor > settleTime;
			if (!record || scaled.length === 0 || !isWhole) {
				return Effect.void;
			}

			const first = scaled.map(({name}) => this.firstFleet(record, name));
			const plans = scaled.flatMap(service => this.planOf(service, first.find(entry => entry.service === service.name)!, record.orders));
			const due = plans.flatMap(order => this.ordersOf(order)).filter(order => this.isDue(order));
			const baseline = first.map(entry => settledBy(plans, entry));
			return due.length === 0
				? Effect.void
				: lease.decide(before => ({...before, baseline, orders: plans})).pipe(Effect.flatMap(permit => this.orderAll(permit, due)));
		});
	}

	/** Replicas of the first fleet may list themselves late; those that come later were ordered by somebody. */
	private firstFleet({baseline}: DutyRecord, service: string): FirstFleet {
		const {replicas, clock} = this.services;
		const known = baseline.find(entry => entry.service === service);
		const now = clock.monotonic();
		this.countingUntil ??= known ? now : now + lateListing;
		if (now > this.countingUntil) {
			return known ?? {service, replicas: 0};
		}

		const listed = replicas.all.filter(({entry}) => entry.service === service && !entry.isReclaimable).map(({entry}) => entry.id);
		const seen = new Set([...this.seen.get(service) ?? [], ...listed]);
		this.seen.set(service, seen);
		return {...known, service, replicas: Math.max(known?.replicas ?? 0, seen.size)};
	}

	private planOf({name, scaling}: Service, first: FirstFleet, standing: readonly StandingOrder[]): readonly StandingOrder[] {
		const {replicas, policy} = this.services;
		const ready = replicas.ready(name).filter(({entry}) => entry.isReclaimable);
		const dataCentres = [...scaling!.dataCentrePrices.keys()];
		const before = standing.filter(({service}) => service === name);
		const facts: FleetFacts = {
			service: name,
			scaling: scaling!,
			baseline: first.replicas,
			dataCentres,
			reclaimableReady: new Map(dataCentres.map(dataCentre => [dataCentre, ready.filter(({entry}) => entry.dataCentre === dataCentre).length])),
			isIdle: replicas.ready(name).every(({work}) => work.requests === 0),
			keptOrdered: sumOf(before.map(({kept}) => kept)),
			isSettled: first.isSettled === true,
			isBooting: this.isBooting(name, scaling!, first),
		};
		return policy.plan(facts);
	}

	/** Right after the first fleet was given up the others are on their way, and nothing is missing that others could bridge sooner. */
	private isBooting(service: string, {bootTime}: Scaling, {isSettled}: FirstFleet): boolean {
		const now = this.services.clock.monotonic();
		if (!isSettled) {
			this.bootingUntil.set(service, now + bootTime + missingPause);
		}

		return now < (this.bootingUntil.get(service) ?? 0);
	}

	/** What is added goes first: what is given up is given up when the order before it was taken. */
	private ordersOf({service, dataCentre, reclaimable, kept}: StandingOrder): readonly ReplicaOrder[] {
		return [
			{
				service, dataCentre, count: reclaimable, isReclaimable: true,
			},
			{
				service, dataCentre, count: kept, isReclaimable: false,
			},
		];
	}

	private isDue(order: ReplicaOrder): boolean {
		const state = this.states.get(keyOf(order));
		if (state?.count !== order.count) {
			return true;
		}

		const age = this.services.clock.monotonic() - state.at;
		if (!state.isTaken) {
			return age > refusalPause;
		}

		const bootTime = this.services.table.inForce?.service(order.service)?.scaling?.bootTime ?? 0;
		const present = this.services.replicas.ready(order.service)
			.filter(({entry}) => entry.dataCentre === order.dataCentre && entry.isReclaimable === order.isReclaimable).length;
		return present < order.count && age > bootTime + missingPause;
	}

	private orderAll(permit: ActPermit, orders: readonly ReplicaOrder[]): Effect.Effect<void> {
		return Effect.all(orders.map(order => Effect.suspend(() => permit.isValid() ? this.order(permit, order) : Effect.void)), {discard: true});
	}

	private order({signer}: ActPermit, order: ReplicaOrder): Effect.Effect<void> {
		const {calls, clock, log} = this.services;
		const note = (isTaken: boolean) => {
			this.states.set(keyOf(order), {count: order.count, isTaken, at: clock.monotonic()});
		};

		const fields = {
			service: order.service, dataCentre: order.dataCentre, count: order.count, isReclaimable: order.isReclaimable, fence: signer.fence,
		};
		return calls.orderReplicas(signer, order).pipe(
			Effect.map(() => {
				note(true);
				log.write('replicasOrdered', fields);
			}),
			Effect.catchTag('DutyRefusal', ({reason, detail}: DutyRefusal) => Effect.sync(() => {
				note(false);
				log.write('dutyCallFailed', {
					duty: 'fleet', reason, detail, ...fields,
				});
			})),
		);
	}
}

/** The first fleet is given up by the plan that orders none of it. */
function settledBy(plans: readonly StandingOrder[], first: FirstFleet): FirstFleet {
	return {...first, isSettled: first.isSettled === true || plans.every(({service, kept}) => service !== first.service || kept === 0)};
}
