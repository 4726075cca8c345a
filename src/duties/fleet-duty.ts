/**
 * Orders replicas as the plan says; the orders stand in the store, so that the next holder goes on from them.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {StoreUnavailable} from '../follow/metadata-store.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {RouteTableView} from '../routes/route-table-view.js';
import type {Service} from '../routes/route-table.js';
import type {DutyCalls, DutyRefusal, ReplicaOrder} from './duty-calls.js';
import type {ActPermit, DutyLease, DutyTaken} from './duty-lease.js';
import type {StandingOrder} from './duty-record.js';
import type {FleetFacts, FleetPolicy} from './fleet-plan.js';

/** Milliseconds before an order that was not taken is tried again. */
const refusalPause = 1500;
/** Milliseconds beyond the boot time after which replicas that are still missing are ordered again. */
const missingPause = 3000;
/** Milliseconds without a new replica after which the first fleet counts as whole: replicas list themselves in turn. */
const settleTime = 2500;

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

			const baseline = scaled.map(({name}) => record.baseline.find(({service}) => service === name) ?? {service: name, replicas: this.readyCount(name)});
			const plans = scaled.flatMap(service => this.planOf(service, baseline.find(entry => entry.service === service.name)!.replicas, record.orders));
			const due = plans.flatMap(order => this.ordersOf(order)).filter(order => this.isDue(order));
			return due.length === 0
				? Effect.void
				: lease.decide(before => ({...before, baseline, orders: plans})).pipe(Effect.flatMap(permit => this.orderAll(permit, due)));
		});
	}

	private readyCount(service: string): number {
		return this.services.replicas.ready(service).length;
	}

	private planOf({name, scaling}: Service, baseline: number, standing: readonly StandingOrder[]): readonly StandingOrder[] {
		const {replicas, policy} = this.services;
		const ready = replicas.ready(name).filter(({entry}) => entry.isReclaimable);
		const dataCentres = [...scaling!.dataCentrePrices.keys()];
		const before = standing.filter(({service}) => service === name);
		const facts: FleetFacts = {
			service: name,
			scaling: scaling!,
			baseline,
			dataCentres,
			reclaimableReady: new Map(dataCentres.map(dataCentre => [dataCentre, ready.filter(({entry}) => entry.dataCentre === dataCentre).length])),
			isIdle: replicas.ready(name).every(({work}) => work.requests === 0),
			isSettled: before.length > 0 && before.every(({kept}) => kept === 0),
		};
		return policy.plan(facts);
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
