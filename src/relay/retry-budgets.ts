/**
 * Retry budgets of this box, by service.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import {ServiceRetryBudget, type ServiceRetryBound} from '../quota/service-retry-budget.js';

/** A retry budget for each service. */
export class RetryBudgets {
	/**
	 * @param bound - Supplies the bound for all boxes together.
	 * @param boxes - Supplies the number of boxes.
	 * @param clock - For the time window of the budgets.
	 * @returns Unused budgets.
	 */
	static create(bound: () => ServiceRetryBound, boxes: () => number, clock: Clock): RetryBudgets {
		return new RetryBudgets(bound, boxes, clock);
	}

	private readonly byService = new Map<string, ServiceRetryBudget>();

	private constructor(
		private readonly bound: () => ServiceRetryBound,
		private readonly boxes: () => number,
		private readonly clock: Clock,
	) {}

	/**
	 * @param service - Name of a service.
	 * @returns Its budget.
	 */
	of(service: string): ServiceRetryBudget {
		return getOrCreate(this.byService, service, () => ServiceRetryBudget.create(this.bound, this.boxes, this.clock));
	}
}
