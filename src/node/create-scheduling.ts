/**
 * Creates the scheduling of requests by their cost.
 */
import type {Clock} from '../base/clock.js';
import type {BacklogUpdate} from '../backlog/backlog-update.js';
import {Backlogs} from '../backlog/backlogs.js';
import {UpdateBudget} from '../backlog/update-budget.js';
import type {FleetRates} from '../gossip/fleet-rates.js';
import type {RelayMetrics} from '../relay/relay-metrics.js';
import type {Scheduling} from '../relay/scheduling.js';
import type {LoadReports} from '../replica-load/load-reports.js';
import type {Replica} from '../replicas/replica.js';
import {defaultReadRate} from '../replicas/replica-choice.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {ServiceDemands} from '../replicas/service-demand.js';
import {CostModels} from '../request-cost/cost-models.js';
import {RequestShape} from '../request-cost/request-shape.js';
import type {RelaySettings} from '../settings/relay-settings.js';
import {RequestQueue} from '../waiting/request-queue.js';

/** Updates a second about work at replicas, of all boxes together; 62 boxes with 98 replicas send some 300 (docs/design/scheduling.md). */
const updateRate = 300;
const millisecondsPerSecond = 1000;
/** Part of a replica's time that reading can use at most; the rest is generation. */
const readingPart = 0.9;

/** Dependencies of the scheduling. */
export type SchedulingServices = {
	readonly clock: Clock;
	readonly metrics: RelayMetrics;
	readonly loads: LoadReports;
	readonly replicas: ReplicaDirectory;
	readonly demands: ServiceDemands;
	readonly fleetRates: FleetRates;
	readonly settings: () => RelaySettings;
	/** @returns Number of boxes, including this one. */
	readonly boxes: () => number;
	/** Sends an update to all other boxes. */
	readonly tell: (update: BacklogUpdate) => void;
};

/**
 * @param services - Dependencies.
 * @returns The scheduling of one box.
 */
export function createScheduling(services: SchedulingServices): Scheduling {
	const {clock, metrics, loads, settings, tell} = services;
	const costs = CostModels.create(clock);
	const placesByCost = (service: string) => {
		const {placement, services: selection} = settings().scheduling;
		return placement === 'cost' && (selection === 'all' || loads.states(service));
	};

	const readingTime = createReadingTime(costs);
	return {
		isOn: () => settings().scheduling.placement === 'cost',
		placesByCost,
		queuesInBox: service => placesByCost(service) && settings().scheduling.queueing === 'box',
		costs,
		backlogs: Backlogs.create({
			clock, budget: UpdateBudget.create(clock, updateRate), pace: start => loads.pace(start), tell,
		}),
		queue: RequestQueue.create({clock, random: Math.random}),
		readingTime,
		tokensIn: (replica, time) => time * referenceTokens / readingTime(replica, referenceTokens),
		paces: () => trustedPaces(loads),
		roomRate: service => roomRateOf(services, service),
		recordError(service, error) {
			metrics.costError.set({service}, error);
		},
	};
}

/** A choice asks for the same prompt at each replica, so that the last result is kept. */
function createReadingTime(costs: CostModels): Scheduling['readingTime'] {
	let last = {
		service: '', software: '', tokens: 0, time: 0,
	};
	return ({entry: {service, software}}, tokens) => {
		if (last.tokens !== tokens || last.service !== service || last.software !== software) {
			last = {
				service, software, tokens, time: costs.of(service, software).expect(promptOf(tokens)).reading,
			};
		}

		return last.time;
	};
}

/** Prompt size at which time is converted to tokens: about the mean of what waits. */
const referenceTokens = 8192;

const promptOf = (unreadTokens: number): RequestShape => RequestShape.create({
	route: '', unreadTokens, outputTokens: 1, hint: undefined, bodyBytes: 0,
});

/** A replica whose reports are absent, or promise less than its requests take, counts as one of mean pace. The moment is read once a decision. */
function trustedPaces(loads: LoadReports): (replica: Replica) => number {
	const {moment} = loads;
	return ({start, entry: {service}}) => loads.trust(start, moment) > 0 ? loads.pace(start, moment) : loads.meanPace(service);
}

/** The part of the replicas' time that falls to this box, by its part of the demand of all boxes. */
function roomRateOf({replicas, demands, fleetRates, boxes}: SchedulingServices, service: string): number {
	const own = demands.of(service).current.reading;
	const rates = fleetRates.staleLoad(service)?.rates;
	const fleet = rates ? rates.requests * rates.tokens : 0;
	const part = fleet > 0 ? Math.min(1, own / fleet) : 0;
	return replicas.ready(service).length * millisecondsPerSecond * readingPart * Math.max(part, 1 / (2 * boxes()));
}
