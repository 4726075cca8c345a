/**
 * Retry budgets of this box, by service.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {RetryBound} from '../quota/retry-window.js';
import {ServiceRetryBudget} from '../quota/service-retry-budget.js';

/** Dependencies of the budgets. */
export type RetryBudgetsServices = {
	readonly clock: Clock;
	/** @returns The bound for all boxes together. */
	readonly bound: () => RetryBound;
	/** @returns This box's fraction of the slack. */
	readonly share: () => number;
};

/** A retry budget for each service. */
export class RetryBudgets {
	/**
	 * @param services - Their dependencies.
	 * @returns Unused budgets.
	 */
	static create(services: RetryBudgetsServices): RetryBudgets {
		return new RetryBudgets(services);
	}

	private readonly byService = new Map<string, ServiceRetryBudget>();

	private constructor(private readonly services: RetryBudgetsServices) {}

	/**
	 * @param service - Name of a service.
	 * @returns Its budget.
	 */
	of(service: string): ServiceRetryBudget {
		return getOrCreate(this.byService, service, () => ServiceRetryBudget.create(this.services));
	}
}
