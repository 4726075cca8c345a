/**
 * Replays a load pattern in virtual time through the decisions of many boxes: which replica a request goes to, and which requests are
 * refused. Boxes know the load of other boxes from reports of the exchange, with their age and loss.
 */
import {sumOf} from '../../src/base/sum.js';
import {ManualClock} from '../harness/manual-clock.js';
import {createRandom} from '../harness/seeded-random.js';
import {exchangeInterval, exchangePause, isLargeFleet} from '../../src/gossip/exchange-topology.js';
import {admit, expectedWait} from '../../src/relay/admission.js';
import {workLifetimeFor} from '../../src/node/exchange-state.js';
import {LeastWaitChoice, type ChoiceRequest, type ReplicaChoice} from '../../src/replicas/replica-choice.js';
import {Replica} from '../../src/replicas/replica.js';
import {ServiceDemands, type ServiceDemand} from '../../src/replicas/service-demand.js';
import {spreadRetryDelay} from '../../src/retries/retry-delay.js';
import {EventQueue} from './event-queue.js';
import type {LoadPattern, RequestKind} from './load-pattern.js';
import {SimulatedReplica} from './simulated-replica.js';

/** Boxes of a simulated fleet. */
export type FleetKnowledge = {
	readonly boxes: number;
	/** Milliseconds between two reports of a box; zero if each box always knows the load of all. */
	readonly reportInterval: number;
	/** Fraction of reports that are lost. */
	readonly loss: number;
	/** Creates the choice of a box; the choice by the least wait if absent. */
	readonly createChoice?: (parts: ChoiceParts) => ReplicaChoice;
};

/** What the choice of a simulated box is created from. */
export type ChoiceParts = {
	readonly clock: ManualClock;
	readonly random: () => number;
	/** Whether boxes know each other's load from a digest. */
	readonly isWorkStale: () => boolean;
	/** The box's view of the replicas. */
	readonly replicas: readonly Replica[];
	/** The replicas themselves, in the same order, for a choice with perfect knowledge. */
	readonly simulated: readonly SimulatedReplica[];
	readonly pattern: LoadPattern;
};

/**
 * @param boxes - Size of the fleet.
 * @returns Milliseconds between two reports of a box; zero for a single one, which knows everything.
 */
export const reportIntervalOf = (boxes: number): number => boxes === 1 ? 0 : exchangeInterval(boxes);

/** What became of the requests of one kind. */
export type KindOutcome = {
	readonly kind: RequestKind;
	asked: number;
	inTime: number;
	late: number;
	refused: number;
	/** Requests whose client left after the deadline. */
	expired: number;
	/** Milliseconds from the arrival of each counted request to its first event. */
	readonly waits: number[];
};

/** Result of a replay. */
export type PlacementOutcome = {
	readonly kinds: readonly KindOutcome[];
	/** Requests that were refused at a moment at which fewer than half of the slots were taken and no request waited at any replica. */
	readonly refusedWithRoom: number;
	/** Greatest ratio of a replica's requests to the mean, among moments at which the mean filled the slots. */
	readonly worstImbalance: number;
	/** Value of all answers, as a fraction of the value with every answer in time. */
	readonly worth: number;
};

const millisecondsPerSecond = 1000;
/** Requests that a client sends at most. */
const maxAttempts = 2;
/** Part of the time left for which a client waits at most before it returns. */
const honouredPart = 1 / 3;
/** Seconds of the beginning that are not counted: caches are empty and nothing has been measured. */
const warmUp = 5;
/** Milliseconds between two samples of the replicas' load. */
const sampleInterval = 250;
const service = 's';

type Box = {readonly replicas: readonly Replica[]; readonly choice: ReplicaChoice; readonly demand: ServiceDemand};

/** A request of a client, over all its attempts. */
type Arrival = {
	readonly kind: RequestKind;
	readonly outcome: KindOutcome;
	readonly arrivedAt: number;
	readonly group: string;
	readonly ownTokens: number;
	readonly generation: number;
	readonly work: number | undefined;
	readonly isCounted: boolean;
	attempts: number;
};

/** One replay. */
export class PlacementFleet {
	/**
	 * @param pattern - The load.
	 * @param knowledge - The boxes.
	 * @param seed - Seed of arrivals, sizes and reports.
	 * @returns The outcome of the requests.
	 */
	static replay(pattern: LoadPattern, knowledge: FleetKnowledge, seed: number): PlacementOutcome {
		return new PlacementFleet(pattern, knowledge, seed).run();
	}

	private readonly clock = new ManualClock(0);
	private readonly events = EventQueue.create();
	private readonly random: () => number;
	private readonly replicas: readonly SimulatedReplica[];
	private readonly boxes: readonly Box[];
	/** Work of each box at each replica, as last reported. */
	private readonly reported: Array<ReadonlyArray<Replica['ownWork']>> = [];
	private readonly totals: Array<{requests: number; unreadTokens: number}>;
	private readonly outcomes: readonly KindOutcome[];
	private refusedWithRoom = 0;
	private worstImbalance = 0;

	private constructor(private readonly pattern: LoadPattern, private readonly knowledge: FleetKnowledge, seed: number) {
		this.random = createRandom(seed);
		this.replicas = Array.from({length: pattern.replicas}, () => SimulatedReplica.create(pattern, {events: this.events, now: () => this.clock.now, random: this.random}));
		this.boxes = Array.from({length: knowledge.boxes}, () => this.createBox());
		this.totals = this.replicas.map(() => ({requests: 0, unreadTokens: 0}));
		this.outcomes = pattern.kinds.map(kind => ({
			kind, asked: 0, inTime: 0, late: 0, refused: 0, expired: 0, waits: [],
		}));
	}

	private run(): PlacementOutcome {
		const end = this.pattern.seconds * millisecondsPerSecond;
		for (const outcome of this.outcomes) {
			this.scheduleArrivals(outcome, end);
		}

		for (const [index] of this.boxes.entries()) {
			this.scheduleReports(index);
		}

		this.events.add(warmUp * millisecondsPerSecond, () => {
			this.sampleImbalance(end);
		});
		for (let event = this.events.next(); event && event.at < end + (warmUp * millisecondsPerSecond); event = this.events.next()) {
			this.clock.now = event.at;
			event.run();
		}

		const worthOf = ({kind, inTime, late}: KindOutcome) => (kind.worth * inTime) + (kind.lateWorth * late);
		return {
			kinds: this.outcomes,
			refusedWithRoom: this.refusedWithRoom,
			worstImbalance: this.worstImbalance,
			worth: sumOf(this.outcomes.map(outcome => worthOf(outcome))) / sumOf(this.outcomes.map(({kind, asked}) => kind.worth * asked)),
		};
	}

	private createBox(): Box {
		const replicas = this.replicas.map((_, index) => Replica.create({
			id: `i-${index}`, bornAt: 1, software: '', revision: 1, service, host: '127.0.0.1', port: 1, dataCentre: 'a', slots: this.pattern.slots,
			isDraining: false, isReclaimable: false, leavesIn: undefined,
		}, this.clock));
		const isWorkStale = () => isLargeFleet(this.knowledge.boxes);
		const {clock, random, pattern} = this;
		const choice = this.knowledge.createChoice?.({
			clock, random, isWorkStale, replicas, simulated: this.replicas, pattern,
		}) ?? LeastWaitChoice.create({
			dataCentre: 'a', now: () => this.clock.now, random: this.random, isWorkStale,
		});
		return {replicas, choice, demand: ServiceDemands.create(this.clock).of(service)};
	}

	private scheduleArrivals(outcome: KindOutcome, end: number): void {
		const {kind} = outcome;
		const at = this.clock.now + (-Math.log(1 - this.random()) / kind.rate * millisecondsPerSecond);
		if (at >= end) {
			return;
		}

		this.events.add(at, () => {
			const isCounted = at > warmUp * millisecondsPerSecond;
			outcome.asked += isCounted ? 1 : 0;
			this.attempt({
				kind, outcome, arrivedAt: at, group: `${kind.name}${Math.floor(this.random() * kind.groups)}`, isCounted, attempts: 0,
				ownTokens: this.sizeOf(kind), generation: -Math.log(1 - this.random()) * kind.generation, work: kind.work === undefined ? undefined : this.draw(kind.work, kind.variation),
			});
			this.scheduleArrivals(outcome, end);
		});
	}

	private sizeOf({ownTokens, variation, maxTokens = Number.POSITIVE_INFINITY}: RequestKind): number {
		return Math.min(maxTokens, this.draw(ownTokens, variation));
	}

	/** @returns A log-normal amount, or an exponential one without a coefficient of variation. */
	private draw(mean: number, variation: number | undefined): number {
		if (variation === undefined) {
			return -Math.log(1 - this.random()) * mean;
		}

		const sigma = Math.sqrt(Math.log(1 + (variation ** 2)));
		const normal = Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
		return mean * Math.exp((sigma * normal) - ((sigma ** 2) / 2));
	}

	private scheduleReports(index: number): void {
		const {reportInterval, loss} = this.knowledge;
		if (reportInterval === 0) {
			return;
		}

		this.events.add(this.clock.now + exchangePause(reportInterval, this.random()), () => {
			if (this.random() >= loss) {
				this.report(index);
			}

			this.scheduleReports(index);
		});
	}

	/** The box reports its work, and receives the sum of what the others reported. */
	private report(index: number): void {
		const {replicas, demand} = this.boxes[index]!;
		const before = this.reported[index];
		const work = replicas.map(({ownWork}) => ownWork);
		this.reported[index] = work;
		for (const [place, {requests, unreadTokens}] of work.entries()) {
			const total = this.totals[place]!;
			total.requests += requests - (before?.[place]?.requests ?? 0);
			total.unreadTokens += unreadTokens - (before?.[place]?.unreadTokens ?? 0);
			replicas[place]!.setAggregateWork({requests: total.requests - requests, unreadTokens: total.unreadTokens - unreadTokens}, workLifetimeFor(this.knowledge.reportInterval));
		}

		demand.adoptReadRate(this.pattern.readRate * millisecondsPerSecond);
	}

	private attempt(arrival: Arrival): void {
		const {kind, group, ownTokens} = arrival;
		arrival.attempts++;
		const box = this.boxes[Math.floor(this.random() * this.boxes.length)]!;
		const request: ChoiceRequest = {promptTokens: ownTokens + kind.sharedTokens, sharedParts: [{id: group, tokens: kind.sharedTokens}]};
		const {readRate, duration} = box.demand;
		const ranked = box.choice.rank(box.replicas, request).map(({replica, work, expectedStart}) => ({
			replica, wait: expectedStart ?? expectedWait({
				work, slots: this.pattern.slots, readRate, duration,
			}),
		}));
		const verdict = admit(ranked, {
			goal: kind.goal, timeLeft: arrival.arrivedAt + kind.deadline - this.clock.now, urgency: kind.urgency, urgencies: this.pattern.kinds.map(({urgency}) => urgency),
		});
		if (verdict.kind === 'refuse') {
			this.refuse(arrival, verdict.retryDelay);
			return;
		}

		const {replica} = verdict.place;
		this.send(arrival, box, {replica, request});
	}

	private refuse(arrival: Arrival, delay: number): void {
		const {kind, outcome, arrivedAt, isCounted} = arrival;
		const loads = this.replicas.map(({load}) => load);
		const hasRoom = sumOf(loads.map(({running}) => running)) < this.replicas.length * this.pattern.slots / 2 && loads.every(({queued}) => queued === 0);
		this.refusedWithRoom += hasRoom ? 1 : 0;
		const timeLeft = arrivedAt + kind.deadline - this.clock.now;
		if (arrival.attempts < maxAttempts && timeLeft > 0) {
			this.events.add(this.clock.now + Math.min(spreadRetryDelay(delay, this.random()), timeLeft * honouredPart), () => {
				this.attempt(arrival);
			});
			return;
		}

		outcome.refused += isCounted ? 1 : 0;
	}

	private send({kind, outcome, arrivedAt, group, ownTokens, generation, work, isCounted}: Arrival, box: Box, {replica, request}: {readonly replica: Replica; readonly request: ChoiceRequest}): void {
		const sentAt = this.clock.now;
		const unread = box.choice.unreadTokens(replica, request);
		box.demand.recordArrival(unread, kind.goal);
		replica.begin(unread);
		this.replicas[box.replicas.indexOf(replica)]!.accept({
			urgency: kind.urgency, ownTokens, sharedTokens: kind.sharedTokens, group, generation, work,
			onFirstEvent: () => {
				const took = this.clock.now - sentAt;
				const sinceArrival = this.clock.now - arrivedAt;
				replica.recordRead(unread);
				replica.recordResponse(took, false);
				box.choice.recordRead(replica, request);
				if (took <= kind.goal) {
					box.demand.recordRead(unread, took);
				}

				if (isCounted) {
					outcome.waits.push(sinceArrival);
				}

				outcome.inTime += isCounted && sinceArrival <= kind.goal ? 1 : 0;
				outcome.late += isCounted && sinceArrival > kind.goal && sinceArrival <= kind.deadline ? 1 : 0;
				outcome.expired += isCounted && sinceArrival > kind.deadline ? 1 : 0;
			},
			onEnd: () => {
				replica.end();
				box.demand.recordDuration(this.clock.now - sentAt);
			},
		});
	}

	private sampleImbalance(end: number): void {
		const loads = this.replicas.map(({load: {running, queued}}) => running + queued);
		const mean = sumOf(loads) / loads.length;
		if (mean >= this.pattern.slots) {
			this.worstImbalance = Math.max(this.worstImbalance, Math.max(...loads) / mean);
		}

		if (this.clock.now + sampleInterval < end) {
			this.events.add(this.clock.now + sampleInterval, () => {
				this.sampleImbalance(end);
			});
		}
	}
}
