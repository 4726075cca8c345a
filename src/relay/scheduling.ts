/**
 * What the scheduling of requests by their cost consists of on one box.
 */
import type {Backlogs} from '../backlog/backlogs.js';
import type {Replica} from '../replicas/replica.js';
import type {CostModels} from '../request-cost/cost-models.js';
import type {RequestQueue} from '../waiting/request-queue.js';

/** Parts of the scheduling by cost. */
export type Scheduling = {
	/** @returns Whether the settings place requests to any service by cost. */
	readonly isOn: () => boolean;
	/** @returns Whether requests to the service are placed by cost. */
	readonly placesByCost: (service: string) => boolean;
	/** @returns Whether requests with a prompt wait in the box while all replicas of the service have enough work. */
	readonly queuesInBox: (service: string) => boolean;
	readonly backlogs: Backlogs;
	readonly costs: CostModels;
	readonly queue: RequestQueue;
	/** @returns Milliseconds that a replica needs to read so many tokens at its usual pace. */
	readonly readingTime: (replica: Replica, tokens: number) => number;
	/** @returns Tokens that a replica reads in so many milliseconds, about. */
	readonly tokensIn: (replica: Replica, time: number) => number;
	/** @returns The factors by which work at replicas takes longer at the present moment; called once a decision. */
	readonly paces: () => (replica: Replica) => number;
	/** @returns Milliseconds of reading a second that replicas of the service have for the requests of this box. */
	readonly roomRate: (service: string) => number;
	/** Called with the prediction error of a service after each request. */
	readonly recordError: (service: string, error: number) => void;
};
