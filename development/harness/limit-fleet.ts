/**
 * Simulates in virtual time boxes that share one replica with a rate limit. The boxes exchange the limit by gossip, lose datagrams, restart and are
 * partitioned from each other; each sends to the replica whenever its share of the limit allows. Development only.
 */
import {sumOf} from '../../src/base/sum.js';
import {SilentEventLog} from '../../src/base/event-log.js';
import {ExchangeTopology} from '../../src/gossip/exchange-topology.js';
import {roundsBetweenWholeStates} from '../../src/gossip/gossip.js';
import type {GossipMessage, MemberAddress} from '../../src/gossip/gossip-message.js';
import {PeerTable} from '../../src/gossip/peer-table.js';
import {SlotRanges} from '../../src/node/slot-ranges.js';
import type {Slot} from '../../src/replicas/limit-slots.js';
import type {Replica} from '../../src/replicas/replica.js';
import {DemandWeights} from '../../src/replicas/demand-weights.js';
import {FleetRates} from '../../src/gossip/fleet-rates.js';
import {BrittleReplicas} from '../../src/replicas/brittle-replicas.js';
import {ReplicaDirectory} from '../../src/replicas/replica-directory.js';
import {ReplicaLimits} from '../../src/replicas/replica-limits.js';
import {maxStatementsPerMessage} from '../../src/replicas/replica-statement.js';
import {ReplicaStatements} from '../../src/replicas/replica-statements.js';
import {ServiceDemands} from '../../src/replicas/service-demand.js';
import {maxWithin} from './max-within.js';
import {ManualClock} from './manual-clock.js';
import {createRandom} from './seeded-random.js';

/** Parameters of the simulated fleet. */
export type LimitFleetShape = {
	readonly boxes: number;
	/** Requests per second that arrive at a box for the replica's service. */
	readonly demandOf: (box: number) => number;
	/** The limit that a response announces, in requests per second, given the time in milliseconds and the number of responses so far. */
	readonly limitAt: (now: number, answers: number) => number | 'unreadable' | undefined;
	/** Whether a datagram from the first box reaches the second at that time; always by default. */
	readonly canReach?: (left: number, right: number, now: number) => boolean;
	/** Network delay of a request in milliseconds, drawn from a random number from 0 to 1; 1 ms by default. */
	readonly networkDelay?: (random: number) => number;
	/** Replicas, of eight slots each; one by default. */
	readonly replicas?: number;
	/** Rejections a second above which the replicas announce that they crash, given the time in milliseconds; none by default. */
	readonly rejectionsAt?: (now: number) => number | undefined;
	/** Time in milliseconds at which a box restarts. */
	readonly restartsAt?: (box: number) => number | undefined;
	readonly seed: number;
};

type Box = {
	readonly index: number;
	readonly address: MemberAddress;
	readonly clock: ManualClock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly demands: ServiceDemands;
	readonly fleetRates: FleetRates;
	readonly weights: DemandWeights;
	readonly slotRanges: SlotRanges;
	readonly replicas: ReplicaDirectory;
	readonly limits: ReplicaLimits;
	readonly brittle: BrittleReplicas;
	readonly statements: ReplicaStatements;
	readonly incarnation: string;
	/** Time in milliseconds at which this box first received a response that announced a limit. */
	limitReceivedAt: number;
	sequence: number;
	round: number;
	nextRoundAt: number;
};

/** A scheduled event. */
type ScheduledEvent = {readonly at: number; readonly run: () => void};

/** Milliseconds of virtual time per simulation step. */
const stepTime = 20;
/** Share of datagrams that are lost. */
const lossShare = 0.1;
/** One-way delay of a datagram in milliseconds. */
const datagramDelay = 5;
/** Milliseconds from the arrival of a request at the replica to the arrival of the response at the box. */
const responseTime = 60;
/** Milliseconds after receiving a limit from which a box must comply with it. */
const limitGracePeriod = 500;
/** Maximum difference in milliseconds between the wall clocks of two boxes. */
const clockSpread = 400;
/** Start of the simulation, in milliseconds since the Unix epoch. */
const epoch = 1_764_700_000_000;
const service = 's';
/** Slots of each replica. */
export const replicaSlots = 8;
const defaultFields = {
	version: 1, isStopping: false, storeAge: 100, departed: [], quota: [], work: [], usage: [], isWhole: true,
} as const;

/** A simulated fleet that shares a rate-limited replica. */
export class LimitFleet {
	/**
	 * @param shape - Parameters of the fleet.
	 * @returns A fleet that has just started.
	 */
	static create(shape: LimitFleetShape): LimitFleet {
		return new LimitFleet(shape);
	}

	/** Arrival times of all requests at the replica, in milliseconds. */
	readonly arrivals: number[] = [];
	/** Arrival times of requests from boxes that received a limit from the replica at least {@link limitGracePeriod} earlier. */
	readonly arrivalsFromInformedBoxes: number[] = [];
	now = 10_000;
	private readonly random: () => number;
	private readonly addresses: readonly MemberAddress[];
	private readonly boxes: Box[];
	private events: ScheduledEvent[] = [];
	private answers = 0;

	private constructor(private readonly shape: LimitFleetShape) {
		this.random = createRandom(shape.seed);
		this.addresses = Array.from({length: shape.boxes}, (_, index) => ({name: `edge-${index}`, host: '10.0.0.1', port: 1 + index}));
		this.boxes = this.addresses.map((_, index) => this.createBox(index));
	}

	/** @param time - Milliseconds of virtual time to advance. */
	advance(time: number): void {
		const end = this.now + time;
		while (this.now < end) {
			this.now += stepTime;
			this.step();
		}
	}

	/**
	 * @param span - Length of the window in milliseconds.
	 * @param since - Time in milliseconds from which requests are counted.
	 * @returns The maximum number of {@link arrivalsFromInformedBoxes} in any such window.
	 */
	maxArrivalsWithin(span: number, since: number): number {
		return maxWithin(this.arrivalsFromInformedBoxes.filter(at => at >= since), span);
	}

	/** Places that all boxes together use now, by replica. */
	get places(): readonly number[] {
		return this.boxes[0]!.replicas.all.map(({entry: {id}}) => sumOf(this.boxes.map(({brittle, replicas}) => brittle.permits(replicas.byId(id)!))));
	}

	private createBox(index: number): Box {
		const address = this.addresses[index]!;
		const clock = new ManualClock(this.now);
		clock.wallOffset = epoch + ((this.random() - 0.5) * clockSpread);
		const log = SilentEventLog.create();
		const peers = PeerTable.create(address.name, clock, log);
		peers.addMembers(this.addresses);
		const topology = ExchangeTopology.create(address, peers);
		const demands = ServiceDemands.create(clock);
		const fleetRates = FleetRates.create({
			clock, peers, topology, demands,
		});
		const weights = DemandWeights.create({
			clock,
			ownRate: name => demands.of(name).clientRate,
			meanRate: name => (fleetRates.staleLoad(name)?.rates.requests ?? 0) / peers.boxes,
		});
		const slotRanges = SlotRanges.create({
			self: address.name, clock, peers, topology, demands, weights, brittle: () => brittle.services,
		});
		const replicas = ReplicaDirectory.create(clock, log);
		for (const number of Array.from({length: this.shape.replicas ?? 1}, (_, place) => place + 1)) {
			replicas.put({
				id: `i-${number}`, bornAt: epoch + this.shape.seed, software: '1', revision: number, service, host: '10.1.0.1', port: number, dataCentre: 'a', slots: replicaSlots,
				isDraining: false, isReclaimable: true, leavesIn: undefined,
			});
		}

		const limits = ReplicaLimits.create({
			clock, log, commonTime: () => peers.commonTime, slotRange: name => slotRanges.of(name), listed: start => replicas.byStart(start),
		});
		const brittle = BrittleReplicas.create({
			clock, log, slotRange: name => slotRanges.of(name), listed: start => replicas.byStart(start), ready: name => replicas.ready(name), duration: () => 0,
		});
		const statements = ReplicaStatements.create({
			clock, log, limits, brittle, replicas,
		});
		return {
			index, address, clock, peers, topology, demands, fleetRates, weights, slotRanges, replicas, limits, brittle, statements,
			incarnation: String(this.now), limitReceivedAt: Number.POSITIVE_INFINITY, sequence: 0, round: index, nextRoundAt: this.now + (this.random() * 200),
		};
	}

	private step(): void {
		for (const {index, clock} of this.boxes) {
			clock.now = this.now;
			const startsAt = this.shape.restartsAt?.(index) ?? Number.POSITIVE_INFINITY;
			if (startsAt <= this.now && startsAt > this.now - stepTime) {
				this.boxes[index] = this.createBox(index);
			}
		}

		const due = this.events.filter(({at}) => at <= this.now);
		this.events = this.events.filter(({at}) => at > this.now);
		for (const {run} of due) {
			run();
		}

		for (const box of this.boxes) {
			this.serve(box);
			if (box.nextRoundAt <= this.now) {
				this.sendGossip(box);
			}
		}
	}

	private serve(box: Box): void {
		if (this.random() >= this.shape.demandOf(box.index) * stepTime / 1000) {
			return;
		}

		const replica = box.replicas.all[0]!;
		box.demands.of(service).recordClientRequest();
		box.demands.of(service).recordArrival(100, 1000);
		box.demands.of(service).recordOutcome(true);
		const rejections = this.shape.rejectionsAt?.(this.now);
		if (rejections !== undefined) {
			box.brittle.recordResponse(replica, rejections, this.now);
		}

		if (box.limits.hasRoom(replica)) {
			this.send(box, replica, box.limits.acquireSlot(replica));
		}
	}

	private send(box: Box, replica: Replica, slot: Slot | undefined): void {
		if (!box.limits.maySend(replica, slot)) {
			return;
		}

		const sentAt = this.now;
		const arrivesAt = this.now + (this.shape.networkDelay?.(this.random()) ?? 1);
		this.events.push({
			at: arrivesAt, run: () => {
				this.arrivals.push(this.now);
				if (box.limitReceivedAt <= this.now - limitGracePeriod) {
					this.arrivalsFromInformedBoxes.push(this.now);
				}

				this.answers++;
				const limit = this.shape.limitAt(this.now, this.answers);
				this.events.push({
					at: this.now + responseTime, run: () => {
						box.limitReceivedAt = limit === undefined ? box.limitReceivedAt : Math.min(box.limitReceivedAt, this.now);
						box.limits.recordResponse(replica, limit, sentAt);
					},
				});
			},
		});
	}

	private sendGossip(box: Box): void {
		const {peers, topology} = box;
		peers.sweep();
		peers.isLarge = topology.isLarge;
		peers.heardWithin = topology.heardWithin;
		box.round++;
		box.nextRoundAt = this.now + topology.pause(this.random());
		const isWhole = !topology.isLarge || box.round % roundsBetweenWholeStates === 0;
		box.limits.openDueSlots();
		box.weights.sample([service]);
		const updates = box.statements.updates(isWhole, ['answer'], topology.isLarge ? maxStatementsPerMessage.large : maxStatementsPerMessage.small);
		const message = this.messageOf(box, {demand: box.demands.snapshots, weights: box.weights.updates(box.brittle.services), ...(updates ? {statements: updates} : {})});
		const targets = topology.targets(box.round);
		for (const [place, {address}] of targets.entries()) {
			peers.recordSent(address.name);
			const other = this.boxes.find(({address: {name}}) => name === address.name)!;
			this.deliver(box, other, () => {
				this.receiveGossip(other, box, message, place === box.round % targets.length);
			});
		}
	}

	private receiveGossip(box: Box, sender: Box, message: GossipMessage, isAsked: boolean): void {
		const {
			peers, limits, brittle, statements, slotRanges, fleetRates, topology,
		} = box;
		if (peers.recordMessage(message) === undefined) {
			return;
		}

		statements.merge(sender.address.name, message.statements ?? [], message.digest ? 'digest' : 'box');
		if (message.digest) {
			peers.recordFleetSize(message.digest.boxes);
			slotRanges.applyReceived(message.digest.stretches ?? []);
			fleetRates.adopt(message.digest.rates ?? []);
			return;
		}

		if (topology.isLarge) {
			const updates = statements.updates(isAsked, ['answer', 'box'], maxStatementsPerMessage.large);
			const answer = this.messageOf(box, {
				wall: peers.commonTime,
				...(updates ? {statements: updates} : {}),
				digest: {
					boxes: peers.knownBoxes,
					rates: fleetRates.all,
					...(topology.isAggregator ? {stretches: slotRanges.rangesFor(sender.address.name, [...limits.services, ...brittle.services])} : {}),
				},
			});
			this.deliver(box, sender, () => {
				this.receiveGossip(sender, box, answer, false);
			});
		}
	}

	private messageOf(box: Box, parts: Partial<GossipMessage>): GossipMessage {
		box.sequence++;
		return {
			...defaultFields, sender: box.address, incarnation: box.incarnation, sequence: box.sequence, uptime: box.peers.uptime, wall: box.peers.ownTime, members: [], ...parts,
		};
	}

	private deliver(from: Box, to: Box, receive: () => void): void {
		const isReached = this.shape.canReach?.(from.index, to.index, this.now) ?? true;
		if (isReached && this.random() > lossShare) {
			this.events.push({at: this.now + datagramDelay, run: receive});
		}
	}
}
