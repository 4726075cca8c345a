/**
 * Boxes before one replica that names a limit, in virtual time: they tell each other what they hear, lose datagrams, start, end and are cut off from each
 * other, and all of them would send to that replica whenever they may. Development only.
 */
import {SilentEventLog} from '../../src/base/event-log.js';
import {ExchangeTopology} from '../../src/gossip/exchange-topology.js';
import {roundsBetweenWholeStates} from '../../src/gossip/gossip.js';
import type {GossipMessage, MemberAddress} from '../../src/gossip/gossip-message.js';
import {PeerTable} from '../../src/gossip/peer-table.js';
import {LimitStretches} from '../../src/node/limit-stretches.js';
import type {Slot} from '../../src/replicas/limit-slots.js';
import type {Replica} from '../../src/replicas/replica.js';
import {ReplicaDirectory} from '../../src/replicas/replica-directory.js';
import {ReplicaLimits} from '../../src/replicas/replica-limits.js';
import {maxStatementsPerMessage} from '../../src/replicas/replica-statement.js';
import {ReplicaStatements} from '../../src/replicas/replica-statements.js';
import {ServiceDemands} from '../../src/replicas/service-demand.js';
import {mostWithin} from './most-within.js';
import {MovedClock} from './moved-clock.js';
import {randomOf} from './seeded-random.js';

/** What the fleet is like. */
export type LimitFleetShape = {
	readonly boxes: number;
	/** Requests a second at a box that could go to the replica. */
	readonly demandOf: (box: number) => number;
	/** What the replica names in an answer, by the time in milliseconds and how many it has given. */
	readonly limitAt: (now: number, answers: number) => number | 'unreadable' | undefined;
	/** Whether two boxes reach each other. */
	readonly reach?: (left: number, right: number, now: number) => boolean;
	/** Milliseconds from its sending to the arrival of a request; a link may hold some up. */
	readonly wayOf?: (random: number) => number;
	/** Milliseconds at which a box starts anew. */
	readonly startsAt?: (box: number) => number | undefined;
	readonly seed: number;
};

type Box = {
	readonly index: number;
	readonly address: MemberAddress;
	readonly clock: MovedClock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly demands: ServiceDemands;
	readonly stretches: LimitStretches;
	readonly replicas: ReplicaDirectory;
	readonly limits: ReplicaLimits;
	readonly statements: ReplicaStatements;
	readonly incarnation: string;
	/** When an answer to this box first named a limit. */
	toldAt: number;
	sequence: number;
	round: number;
	nextRoundAt: number;
};

/** What is under way. */
type Event = {readonly at: number; readonly happen: () => void};

const step = 20;
const lossShare = 0.1;
const datagramWay = 5;
const answerTime = 60;
/** Milliseconds from which on a box that was told has to keep to a limit. */
const toldTime = 500;
/** Milliseconds by which wall clocks differ. */
const clockSpread = 400;
const epoch = 1_764_700_000_000;
const service = 's';
const unusual = {
	version: 1, isStopping: false, storeAge: 100, departed: [], quota: [], work: [], usage: [], isWhole: true,
} as const;

/** The fleet. */
export class LimitFleet {
	/**
	 * @param shape - What it is like.
	 * @returns A fleet that has just started.
	 */
	static create(shape: LimitFleetShape): LimitFleet {
		return new LimitFleet(shape);
	}

	/** Milliseconds at which requests came to the replica. */
	readonly arrivals: number[] = [];
	/** The same of those from boxes that it had told of its limit half a second before or earlier. */
	readonly arrivalsFromTold: number[] = [];
	now = 10_000;
	private readonly random: () => number;
	private readonly addresses: readonly MemberAddress[];
	private readonly boxes: Box[];
	private events: Event[] = [];
	private answers = 0;

	private constructor(private readonly shape: LimitFleetShape) {
		this.random = randomOf(shape.seed);
		this.addresses = Array.from({length: shape.boxes}, (_, index) => ({name: `edge-${index}`, host: '10.0.0.1', port: 1 + index}));
		this.boxes = this.addresses.map((_, index) => this.start(index));
	}

	/** @param time - Milliseconds that pass. */
	pass(time: number): void {
		const end = this.now + time;
		while (this.now < end) {
			this.now += step;
			this.step();
		}
	}

	/**
	 * @param span - Milliseconds.
	 * @param since - Milliseconds from which on requests count.
	 * @returns The most requests from boxes that had been told that came in any such span.
	 */
	mostWithin(span: number, since: number): number {
		return mostWithin(this.arrivalsFromTold.filter(at => at >= since), span);
	}

	private start(index: number): Box {
		const address = this.addresses[index]!;
		const clock = new MovedClock(this.now);
		clock.shift = epoch + ((this.random() - 0.5) * clockSpread);
		const log = SilentEventLog.create();
		const peers = PeerTable.create(address.name, clock, log);
		peers.learn(this.addresses);
		const topology = ExchangeTopology.create(address, peers);
		const demands = ServiceDemands.create(clock);
		const stretches = LimitStretches.create({
			self: address.name, clock, peers, topology, demands,
		});
		const replicas = ReplicaDirectory.create(clock, log);
		replicas.put({
			id: 'i-1', bornAt: epoch + this.shape.seed, software: '1', revision: 1, service, host: '10.1.0.1', port: 1, dataCentre: 'a', slots: 8,
			isDraining: false, isReclaimable: true, leavesIn: undefined,
		});
		const limits = ReplicaLimits.create({
			clock, log, commonTime: () => peers.commonTime, slotRange: name => stretches.of(name), listed: start => replicas.byStart(start),
		});
		const statements = ReplicaStatements.create({
			clock, log, limits, replicas,
		});
		return {
			index, address, clock, peers, topology, demands, stretches, replicas, limits, statements,
			incarnation: String(this.now), toldAt: Number.POSITIVE_INFINITY, sequence: 0, round: index, nextRoundAt: this.now + (this.random() * 200),
		};
	}

	private step(): void {
		for (const {index, clock} of this.boxes) {
			clock.now = this.now;
			const startsAt = this.shape.startsAt?.(index) ?? Number.POSITIVE_INFINITY;
			if (startsAt <= this.now && startsAt > this.now - step) {
				this.boxes[index] = this.start(index);
			}
		}

		const due = this.events.filter(({at}) => at <= this.now);
		this.events = this.events.filter(({at}) => at > this.now);
		for (const {happen} of due) {
			happen();
		}

		for (const box of this.boxes) {
			this.serve(box);
			if (box.nextRoundAt <= this.now) {
				this.tell(box);
			}
		}
	}

	private serve(box: Box): void {
		if (this.random() >= this.shape.demandOf(box.index) * step / 1000) {
			return;
		}

		const replica = box.replicas.all[0]!;
		box.demands.of(service).recordArrival(100, 1000);
		box.demands.of(service).recordOutcome(true);
		if (box.limits.hasRoom(replica)) {
			this.send(box, replica, box.limits.acquireSlot(replica));
		}
	}

	private send(box: Box, replica: Replica, slot: Slot | undefined): void {
		if (!box.limits.maySend(replica, slot)) {
			return;
		}

		const sentAt = this.now;
		const arrivesAt = this.now + (this.shape.wayOf?.(this.random()) ?? 1);
		this.events.push({
			at: arrivesAt, happen: () => {
				this.arrivals.push(this.now);
				if (box.toldAt <= this.now - toldTime) {
					this.arrivalsFromTold.push(this.now);
				}

				this.answers++;
				const limit = this.shape.limitAt(this.now, this.answers);
				this.events.push({
					at: this.now + answerTime, happen: () => {
						box.toldAt = limit === undefined ? box.toldAt : Math.min(box.toldAt, this.now);
						box.limits.recordResponse(replica, limit, sentAt);
					},
				});
			},
		});
	}

	private tell(box: Box): void {
		const {peers, topology} = box;
		peers.sweep();
		peers.isLarge = topology.isLarge;
		peers.heardWithin = topology.heardWithin;
		box.round++;
		box.nextRoundAt = this.now + topology.pause(this.random());
		const isWhole = !topology.isLarge || box.round % roundsBetweenWholeStates === 0;
		box.limits.openDueSlots();
		const told = box.statements.updates(isWhole, ['answer'], topology.isLarge ? maxStatementsPerMessage.large : maxStatementsPerMessage.small);
		const message = this.messageOf(box, {demand: box.demands.snapshots, ...(told ? {statements: told} : {})});
		const targets = topology.targets(box.round);
		for (const [place, {address}] of targets.entries()) {
			peers.noteTold(address.name);
			const other = this.boxes.find(({address: {name}}) => name === address.name)!;
			this.deliver(box, other, () => {
				this.hear(other, box, message, place === box.round % targets.length);
			});
		}
	}

	private hear(box: Box, sender: Box, message: GossipMessage, isAsked: boolean): void {
		const {
			peers, limits, statements, stretches, topology,
		} = box;
		if (peers.take(message) === undefined) {
			return;
		}

		statements.merge(sender.address.name, message.statements ?? [], message.digest ? 'digest' : 'box');
		if (message.digest) {
			peers.noteFleetSize(message.digest.boxes);
			stretches.applyReceived(message.digest.stretches ?? []);
			return;
		}

		if (topology.isLarge) {
			const told = statements.updates(isAsked, ['answer', 'box'], maxStatementsPerMessage.large);
			const answer = this.messageOf(box, {
				wall: peers.commonTime,
				...(told ? {statements: told} : {}),
				digest: {boxes: peers.knownBoxes, ...(topology.isAggregator ? {stretches: stretches.stretchesFor(sender.address.name, limits.services)} : {})},
			});
			this.deliver(box, sender, () => {
				this.hear(sender, box, answer, false);
			});
		}
	}

	private messageOf(box: Box, parts: Partial<GossipMessage>): GossipMessage {
		box.sequence++;
		return {
			...unusual, sender: box.address, incarnation: box.incarnation, sequence: box.sequence, uptime: box.peers.uptime, wall: box.peers.ownTime, members: [], ...parts,
		};
	}

	private deliver(from: Box, to: Box, happen: () => void): void {
		const isReached = this.shape.reach?.(from.index, to.index, this.now) ?? true;
		if (isReached && this.random() > lossShare) {
			this.events.push({at: this.now + datagramWay, happen});
		}
	}
}
