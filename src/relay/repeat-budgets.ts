/**
 * The budgets of repeats of this machine, by service.
 */
import type {Clock} from '../base/clock.js';
import {RepeatBudget, type RepeatBound} from '../quota/repeat-budget.js';

/** A budget for each service. */
export class RepeatBudgets {
	/**
	 * @param bound - The bound for all machines.
	 * @param machines - How many machines there are.
	 * @param clock - For the window.
	 * @returns Budgets of which nothing is used.
	 */
	static create(bound: () => RepeatBound, machines: () => number, clock: Clock): RepeatBudgets {
		return new RepeatBudgets(bound, machines, clock);
	}

	private readonly byService = new Map<string, RepeatBudget>();

	private constructor(
		private readonly bound: () => RepeatBound,
		private readonly machines: () => number,
		private readonly clock: Clock,
	) {}

	/**
	 * @param service - Name of a service.
	 * @returns Its budget.
	 */
	of(service: string): RepeatBudget {
		const known = this.byService.get(service);
		if (known) {
			return known;
		}

		const budget = RepeatBudget.create(this.bound, this.machines, this.clock);
		this.byService.set(service, budget);
		return budget;
	}
}
