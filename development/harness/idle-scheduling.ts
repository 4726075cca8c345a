/**
 * The scheduling of a box whose services are all placed by load.
 */
import type {Clock} from '../../src/base/clock.js';
import {Backlogs} from '../../src/backlog/backlogs.js';
import {UpdateBudget} from '../../src/backlog/update-budget.js';
import type {Scheduling} from '../../src/relay/scheduling.js';
import {CostModels} from '../../src/request-cost/cost-models.js';
import {RequestQueue} from '../../src/waiting/request-queue.js';

/**
 * @param clock - Clock of the box.
 * @returns A scheduling that places no requests.
 */
export function idleScheduling(clock: Clock): Scheduling {
	return {
		isOn: () => false,
		placesByCost: () => false,
		queuesInBox: () => false,
		readingTime: () => 0,
		tokensIn: () => 0,
		paces: () => () => 1,
		roomRate: () => 0,
		recordError: () => undefined,
		costs: CostModels.create(clock),
		queue: RequestQueue.create({clock, random: () => 0}),
		backlogs: Backlogs.create({
			clock, budget: UpdateBudget.create(clock, 1), pace: () => 1, tell: () => undefined,
		}),
	};
}
