/**
 * What became of each order of replicas, and which orders are due: new ones, those that were not taken, and those whose
 * replicas are missing.
 */
import type {Clock} from '../base/clock.js';
import type {DutyRefusal, ReplicaOrder} from './duty-calls.js';

/** Milliseconds before an order of which nothing is known is sent again. */
const unansweredPause = 300;
/** Milliseconds between two tries for replicas that are not to be had, one data centre at a time. */
const probePause = 1500;
/** Milliseconds after which a replica that was there and is gone is ordered again. */
const lossPause = 1500;
/** Milliseconds for which those that are given up may still be listed. */
const givingUpTime = 4000;
/** Milliseconds beyond the boot time after which replicas that are still missing are ordered again. */
const missingPause = 3000;

type Outcome = 'taken' | 'unavailable' | 'unknown';
type OrderState = {
	readonly order: ReplicaOrder;
	readonly outcome: Outcome;
	/** Replicas that were there at most since it was taken. */
	readonly seen: number;
	/** Monotonic milliseconds. */
	readonly at: number;
};

/** What is known of the replicas that an order is about. */
export type OrderFacts = {
	readonly present: number;
	/** Milliseconds. */
	readonly bootTime: number;
};

const keyOf = ({service, dataCentre, isReclaimable}: ReplicaOrder): string => `${service}\n${dataCentre}\n${isReclaimable}`;

/** The orders that this box has sent. */
export class OrderBook {
	/**
	 * @param clock - For pauses.
	 * @returns A book without orders.
	 */
	static create(clock: Clock): OrderBook {
		return new OrderBook(clock);
	}

	private readonly states = new Map<string, OrderState>();
	private readonly probedAt = new Map<string, number>();
	/** Replicas beyond an order when it was last sent for their sake. */
	private readonly surpluses = new Map<string, number>();

	private constructor(private readonly clock: Clock) {}

	/** @param order - An order that was taken. */
	noteTaken(order: ReplicaOrder): void {
		this.states.set(keyOf(order), {
			order, outcome: 'taken', seen: 0, at: this.clock.monotonic(),
		});
		if (order.isReclaimable) {
			// Where some are to be had again, others may be.
			this.probedAt.delete(order.service);
			for (const state of this.unavailable(order.service)) {
				this.states.set(keyOf(state.order), {...state, outcome: 'unknown', at: Number.NEGATIVE_INFINITY});
			}
		}
	}

	/**
	 * @param order - An order that was not taken, as far as is known.
	 * @param reason - Why.
	 */
	noteRefused(order: ReplicaOrder, reason: DutyRefusal['reason']): void {
		const now = this.clock.monotonic();
		const isUnavailable = reason === 'conflict';
		this.states.set(keyOf(order), {
			order, outcome: isUnavailable ? 'unavailable' : 'unknown', seen: 0, at: now,
		});
		if (isUnavailable) {
			this.probedAt.set(order.service, now);
		}
	}

	/**
	 * @param service - Name of a service.
	 * @returns Whether reclaimable replicas were ordered for it that are not to be had.
	 */
	isScarce(service: string): boolean {
		return this.unavailable(service).some(({order}) => order.isReclaimable);
	}

	/**
	 * @param service - Name of a service.
	 * @returns Data centres in which kept replicas were not to be had lately.
	 */
	closedToKept(service: string): ReadonlySet<string> {
		const since = this.clock.monotonic() - missingPause;
		return new Set(this.unavailable(service).filter(({order, at}) => !order.isReclaimable && at >= since).map(({order}) => order.dataCentre));
	}

	/**
	 * @param order - What is to be ordered.
	 * @param facts - What is known of its replicas.
	 * @returns Whether it is to be sent now.
	 */
	isDue(order: ReplicaOrder, {present, bootTime}: OrderFacts): boolean {
		const state = this.states.get(keyOf(order));
		if (!state) {
			// Another holder may have ordered it before.
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
				return age > unansweredPause;
			}

			case 'unavailable': {
				return this.isNextProbe(state);
			}
		}
	}

	/** Replicas that were there and are gone are ordered anew at once, those that have not come when they should have. */
	private isMissing(state: OrderState, present: number, bootTime: number): boolean {
		const {order, seen, at} = state;
		if (present > seen) {
			this.states.set(keyOf(order), {...state, seen: present});
		}

		const age = this.clock.monotonic() - at;
		return present < order.count && age > (present < seen ? lossPause : bootTime + missingPause);
	}

	/** Somebody else may add replicas; those that do not go when they are ordered away are let be. */
	private isSurplus({order, at}: OrderState, present: number): boolean {
		const key = keyOf(order);
		const surplus = present - order.count;
		if (surplus <= 0) {
			this.surpluses.delete(key);
			return false;
		}

		if (this.clock.monotonic() - at <= givingUpTime || surplus <= (this.surpluses.get(key) ?? 0)) {
			return false;
		}

		this.surpluses.set(key, surplus);
		return true;
	}

	/** One data centre at a time is tried, the one that was tried longest ago: where none is to be had every try costs a call. */
	private isNextProbe({order, at}: OrderState): boolean {
		const {service} = order;
		const isPaused = this.clock.monotonic() - (this.probedAt.get(service) ?? Number.NEGATIVE_INFINITY) < probePause;
		const oldest = Math.min(...this.unavailable(service).map(state => state.at));
		return !isPaused && at === oldest;
	}

	private unavailable(service: string): readonly OrderState[] {
		return [...this.states.values()].filter(({order, outcome}) => order.service === service && outcome === 'unavailable');
	}
}
