/**
 * Retry budgets of this box, by service.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import {RepeatBudget, type RepeatBound} from '../quota/repeat-budget.js';

/** A retry budget for each service. */
export class RepeatBudgets {
	/**
	 * @param bound - Supplies the bound for all boxes together.
	 * @param boxes - Supplies the number of boxes.
	 * @param clock - For the time window of the budgets.
	 * @returns Unused budgets.
	 */
	static create(bound: () => RepeatBound, boxes: () => number, clock: Clock): RepeatBudgets {
		return new RepeatBudgets(bound, boxes, clock);
	}

	private readonly byService = new Map<string, RepeatBudget>();

	private constructor(
		private readonly bound: () => RepeatBound,
		private readonly boxes: () => number,
		private readonly clock: Clock,
	) {}

	/**
	 * @param service - Name of a service.
	 * @returns Its budget.
	 */
	of(service: string): RepeatBudget {
		return getOrCreate(this.byService, service, () => RepeatBudget.create(this.bound, this.boxes, this.clock));
	}
}
