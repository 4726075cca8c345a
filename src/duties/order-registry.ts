/**
 * Tracks the outcome of each replica order and decides which orders are due: new ones, those that were not accepted, and
 * those whose replicas are missing.
 */
import type {Clock} from '../base/clock.js';
import type {DutyRefusal, ReplicaOrder} from './duty-calls.js';

/** Milliseconds before an order with an unknown outcome is sent again. */
const unansweredRetryDelay = 300;
/** Milliseconds between two attempts to order unavailable replicas, one data centre at a time. */
const probeInterval = 1500;
/** Milliseconds after an order before a replica that was present and has gone is ordered again. */
const lossRetryDelay = 1500;
/** Milliseconds for which removed replicas may still be listed. */
const removalTime = 4000;
/** Milliseconds after the boot time before replicas that are still missing are ordered again. */
const missingRetryDelay = 3000;

type Outcome = 'taken' | 'unavailable' | 'unknown';
type OrderState = {
	readonly order: ReplicaOrder;
	readonly outcome: Outcome;
	/** Largest number of replicas present since the order was accepted. */
	readonly maxPresent: number;
	/** Time of the outcome, monotonic milliseconds. */
	readonly at: number;
};

/** Current state of the replicas of an order. */
export type OrderFacts = {
	/** Ready replicas. */
	readonly present: number;
	/** Milliseconds until a new replica is ready. */
	readonly bootTime: number;
};

const keyOf = ({service, dataCentre, isReclaimable}: ReplicaOrder): string => `${service}\n${dataCentre}\n${isReclaimable}`;

/** The orders that this box has sent, with their outcomes. */
export class OrderRegistry {
	/**
	 * @param clock - Measures the delays.
	 * @returns An instance without orders.
	 */
	static create(clock: Clock): OrderRegistry {
		return new OrderRegistry(clock);
	}

	private readonly states = new Map<string, OrderState>();
	/** Monotonic milliseconds at which an order was last refused for lack of replicas, by service. */
	private readonly probedAt = new Map<string, number>();
	/** Surplus replicas of an order when it was last sent to remove them. */
	private readonly surpluses = new Map<string, number>();

	private constructor(private readonly clock: Clock) {}

	/** @param order - An order that the platform accepted. */
	recordAccepted(order: ReplicaOrder): void {
		this.states.set(keyOf(order), {
			order, outcome: 'taken', maxPresent: 0, at: this.clock.monotonic(),
		});
		if (order.isReclaimable) {
			// Other data centres may have replicas available again too.
			this.probedAt.delete(order.service);
			for (const state of this.unavailable(order.service)) {
				this.states.set(keyOf(state.order), {...state, outcome: 'unknown', at: Number.NEGATIVE_INFINITY});
			}
		}
	}

	/**
	 * @param order - An order that was refused or whose outcome is unknown.
	 * @param reason - Why the call failed.
	 */
	recordRefused(order: ReplicaOrder, reason: DutyRefusal['reason']): void {
		const now = this.clock.monotonic();
		const isUnavailable = reason === 'conflict';
		this.states.set(keyOf(order), {
			order, outcome: isUnavailable ? 'unavailable' : 'unknown', maxPresent: 0, at: now,
		});
		if (isUnavailable) {
			this.probedAt.set(order.service, now);
		}
	}

	/**
	 * @param service - Name of a service.
	 * @returns Whether an order of reclaimable replicas for it failed because none are available.
	 */
	isScarce(service: string): boolean {
		return this.unavailable(service).some(({order}) => order.isReclaimable);
	}

	/**
	 * @param service - Name of a service.
	 * @returns Data centres that had no kept replicas available in the last 3 s.
	 */
	withoutKeptCapacity(service: string): ReadonlySet<string> {
		const since = this.clock.monotonic() - missingRetryDelay;
		return new Set(this.unavailable(service).filter(({order, at}) => !order.isReclaimable && at >= since).map(({order}) => order.dataCentre));
	}

	/**
	 * @param order - The planned order.
	 * @param facts - Current state of its replicas.
	 * @returns Whether the order should be sent now.
	 */
	isDue(order: ReplicaOrder, {present, bootTime}: OrderFacts): boolean {
		const state = this.states.get(keyOf(order));
		if (!state) {
			// A previous holder may have sent this order.
			return present !== order.count;
		}

		if (state.outcome === 'unavailable' && present === order.count) {
			this.states.delete(keyOf(order));
			return false;
		}

		const age = this.clock.monotonic() - state.at;
		switch (state.outcome) {
			case 'taken': {
				return state.order.count !== order.count || this.isMissing(state, present, bootTime) || this.isSurplus(state, present);
			}

			case 'unknown': {
				return age > unansweredRetryDelay;
			}

			case 'unavailable': {
				return this.isNextProbe(state);
			}
		}
	}

	/** Replicas that were present and have gone are ordered again soon; those that never arrived, only after the boot time. */
	private isMissing(state: OrderState, present: number, bootTime: number): boolean {
		const {order, maxPresent, at} = state;
		if (present > maxPresent) {
			this.states.set(keyOf(order), {...state, maxPresent: present});
		}

		const age = this.clock.monotonic() - at;
		return present < order.count && age > (present < maxPresent ? lossRetryDelay : bootTime + missingRetryDelay);
	}

	/** Replicas may be added without an order of this box. Their removal is ordered once; surplus replicas that stay are then ignored. */
	private isSurplus({order, at}: OrderState, present: number): boolean {
		const key = keyOf(order);
		const surplus = present - order.count;
		if (surplus <= 0) {
			this.surpluses.delete(key);
			return false;
		}

		if (this.clock.monotonic() - at <= removalTime || surplus <= (this.surpluses.get(key) ?? 0)) {
			return false;
		}

		this.surpluses.set(key, surplus);
		return true;
	}

	/** Tries one data centre at a time, the least recently tried first, since each failed attempt costs a call. */
	private isNextProbe({order, at}: OrderState): boolean {
		const {service} = order;
		const isPaused = this.clock.monotonic() - (this.probedAt.get(service) ?? Number.NEGATIVE_INFINITY) < probeInterval;
		const oldest = Math.min(...this.unavailable(service).map(state => state.at));
		return !isPaused && at === oldest;
	}

	private unavailable(service: string): readonly OrderState[] {
		return [...this.states.values()].filter(({order, outcome}) => order.service === service && outcome === 'unavailable');
	}
}
