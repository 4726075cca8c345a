/**
 * The permit for the next attempt of a request, if that attempt is a retry in the sense of the retry budget.
 */
import * as Effect from 'effect/Effect';
import type {RetryLoans} from '../quota/retry-loans.js';
import type {RetryPermit} from '../quota/retry-permit.js';
import type {ServiceRetryBudget} from '../quota/service-retry-budget.js';
import type {RunRecord} from './run-record.js';

/** Rounds in which other boxes are asked for a part of their budgets. */
const maxRounds = 4;

/** Dependencies of a reservation. */
export type RetryReservationServices = {
	readonly loans: RetryLoans;
	readonly record: RunRecord;
	/** @returns Name and budget of the service of the request. */
	readonly service: () => {readonly name: string; readonly budget: ServiceRetryBudget};
};

/** The reservation of one request; it has a permit between two attempts, and while the second is being sent. */
export class RetryReservation {
	/**
	 * @param services - Its dependencies.
	 * @returns A reservation without a permit.
	 */
	static create(services: RetryReservationServices): RetryReservation {
		return new RetryReservation(services);
	}

	private permit: RetryPermit | undefined;

	private constructor(private readonly services: RetryReservationServices) {}

	/** Whether the next attempt may be sent now; also true for a first attempt, which needs no permit. */
	get mayBeSent(): boolean {
		return this.permit?.mayBeSent ?? true;
	}

	/** @returns An effect that yields whether the next attempt is allowed. */
	acquire(): Effect.Effect<boolean> {
		return Effect.gen({self: this}, function * () {
			const {loans, record, service} = this.services;
			const {name, budget} = service();
			record.retryBasis = budget.basis;
			for (let round = 0; !this.permit; round++) {
				this.permit = budget.reserve();
				if (!this.permit && (round === maxRounds || !(yield * loans.borrow(name)))) {
					return false;
				}
			}

			return true;
		});
	}

	/** Records that the attempt can no longer arrive at a replica: it was answered, or its connection was closed. */
	recordSent(): void {
		this.permit?.settle();
		this.permit = undefined;
	}

	/** Returns a permit that was not used. */
	release(): void {
		this.permit?.release();
		this.permit = undefined;
	}
}
