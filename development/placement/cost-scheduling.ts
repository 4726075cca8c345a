/**
 * Placement by cost in the boxes of a simulated fleet, with the messages between them, and a placement with perfect knowledge to compare it with.
 */
import type {BacklogUpdate} from '../../src/backlog/backlog-update.js';
import {Backlogs} from '../../src/backlog/backlogs.js';
import {UpdateBudget} from '../../src/backlog/update-budget.js';
import {CostChoice} from '../../src/placement/cost-choice.js';
import {LoadReports} from '../../src/replica-load/load-reports.js';
import type {Replica} from '../../src/replicas/replica.js';
import {
	ReplicaChoice, type ChoiceRequest, type RankedReplica,
} from '../../src/replicas/replica-choice.js';
import type {LoadPattern} from './load-pattern.js';
import type {ChoiceParts} from './placement-fleet.js';

/** Updates a second of all boxes, as in the product. */
const updateRate = 300;
/** Mean milliseconds of a plain call, and milliseconds since the exchange counted the calls of other boxes. */
const [callTime, workAge] = [60, 600];
const pairsPerMillion = 1e6;

/**
 * @param pattern - Speed of the replicas.
 * @param tokens - Tokens of a prompt.
 * @returns Milliseconds that a replica at its usual pace needs to read it.
 */
export function readingTime({readRate, pairCost = 0}: LoadPattern, tokens: number): number {
	return (tokens / readRate) + ((tokens ** 2) / 2 / pairsPerMillion * pairCost);
}

/** Milliseconds until an update has been collected at its box, collected again by the aggregator, and sent twice, on average. */
const updateDelay = 35;

/** An update on its way to a box. */
type SentUpdate = {readonly arrivesAt: number; readonly index: number; readonly update: BacklogUpdate};

/** What one box of the fleet knows. */
type BoxKnowledge = {readonly backlogs: Backlogs; readonly loads: LoadReports; readonly replicas: readonly Replica[]; readonly inbox: SentUpdate[]};

/** Placement by cost in one box. */
export class CostScheduling extends ReplicaChoice {
	/**
	 * @returns Creates the choice of each box of one fleet.
	 */
	static createFleet(): (parts: ChoiceParts) => ReplicaChoice {
		const boxes: BoxKnowledge[] = [];
		return parts => new CostScheduling(parts, boxes);
	}

	private readonly own: BoxKnowledge;
	private readonly choice: CostChoice;
	private readonly sentAt = new WeakMap<ChoiceRequest, number>();

	private constructor(private readonly parts: ChoiceParts, boxes: BoxKnowledge[]) {
		super();
		const {clock, replicas, pattern, random} = parts;
		const loads = LoadReports.create(clock);
		const backlogs = Backlogs.create({
			clock,
			budget: UpdateBudget.create(clock, updateRate),
			pace: start => loads.pace(start),
			tell(update) {
				const index = replicas.findIndex(({entry}) => entry.id === update.replica);
				for (const {inbox} of boxes.filter(other => other.backlogs !== backlogs)) {
					inbox.push({arrivesAt: clock.now + updateDelay, index, update});
				}
			},
		});
		this.own = {
			backlogs, loads, replicas, inbox: [],
		};
		boxes.push(this.own);
		this.choice = CostChoice.create({
			dataCentre: 'a',
			now: () => clock.now,
			random,
			expectedStart: ({start}) => backlogs.expectedStart(start),
			paces() {
				const {moment} = loads;
				return ({start}) => loads.pace(start, moment);
			},
			reading: (_, tokens) => readingTime(pattern, tokens),
			duration: () => callTime,
			workAge: () => workAge,
		});
	}

	override rank(candidates: readonly Replica[], request: ChoiceRequest): readonly RankedReplica[] {
		this.receive();
		return this.choice.rank(candidates, request);
	}

	/** The request is sent now. */
	override unreadTokens(replica: Replica, request: ChoiceRequest): number {
		if (request.promptTokens === 0) {
			return 0;
		}

		const tokens = this.choice.unreadTokens(replica, request);
		this.sentAt.set(request, this.parts.clock.now);
		this.own.backlogs.recordSent(ownerOf(replica), readingTime(this.parts.pattern, tokens));
		return tokens;
	}

	/** The first event has arrived, with the load of the replica. */
	override recordRead(replica: Replica, request: ChoiceRequest): void {
		this.receive();
		const {own: {backlogs, loads, replicas}, parts: {simulated, pattern}} = this;
		const {pace, load: {running, queued}} = simulated[replicas.indexOf(replica)]!;
		const expected = loads.pace(replica.start);
		loads.record(replica.entry.service, replica.start, {
			running, waiting: queued, slots: pattern.slots, pace,
		});
		backlogs.recordPace(ownerOf(replica), expected, pace);
		const sentAt = this.sentAt.get(request);
		if (sentAt !== undefined) {
			backlogs.recordRead(ownerOf(replica), sentAt);
		}

		this.choice.recordRead(replica, request);
	}

	/** Applies the updates that have arrived by now. */
	private receive(): void {
		const {own: {inbox, replicas, backlogs, loads}, parts: {clock}} = this;
		const arrived = inbox.findIndex(({arrivesAt}) => arrivesAt > clock.now);
		for (const {index, update} of inbox.splice(0, arrived === -1 ? inbox.length : arrived)) {
			const {start, entry} = replicas[index]!;
			backlogs.apply(start, update);
			if (update.pace !== undefined) {
				loads.recordNews(entry.service, start, update.pace);
			}
		}
	}
}

/** Knows at each moment what every replica still has to do, what it has in its cache, and how fast its machine is. */
export class PerfectChoice extends ReplicaChoice {
	/**
	 * @param parts - The replicas.
	 * @returns The choice.
	 */
	static create(parts: ChoiceParts): PerfectChoice {
		return new PerfectChoice(parts);
	}

	private constructor(private readonly parts: ChoiceParts) {
		super();
	}

	override rank(candidates: readonly Replica[], request: ChoiceRequest): readonly RankedReplica[] {
		return candidates
			.map((replica, index) => ({replica, work: {requests: 0, unreadTokens: 0}, cost: this.costOf(index, request)}))
			.sort((left, right) => left.cost - right.cost);
	}

	override unreadTokens(replica: Replica, {promptTokens, sharedParts}: ChoiceRequest): number {
		const [shared] = sharedParts;
		return shared && this.parts.simulated[this.parts.replicas.indexOf(replica)]!.hasRead(shared.id) ? promptTokens - shared.tokens : promptTokens;
	}

	override recordRead(): void {
		// It sees the replicas themselves.
	}

	private costOf(index: number, request: ChoiceRequest): number {
		const {simulated, replicas, pattern, random} = this.parts;
		const {backlog, pace, load: {running, queued}} = simulated[index]!;
		if (request.promptTokens === 0) {
			return (Math.max(0, running + queued + 1 - pattern.slots) / pattern.slots * callTime) + (callTime * pace) + random();
		}

		return backlog + (readingTime(pattern, this.unreadTokens(replicas[index]!, request)) * pace) + random();
	}
}

const ownerOf = ({entry: {id}, start}: Replica) => ({id, start});
