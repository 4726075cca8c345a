/**
 * The gossip exchange between boxes: each sends its state to others in UDP datagrams, several times a second.
 *
 * @remarks Source: docs/DESIGN.md, "The exchange".
 */
import {createSocket, type Socket} from 'node:dgram';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {ExchangeTopology} from './exchange-topology.js';
import type {ExchangeTraffic} from './exchange-traffic.js';
import {decodeGossip, encodeGossip} from './gossip-codec.js';
import {
	canBeSentTo, type FleetDigest, type GossipMessage, type MemberAddress,
} from './gossip-message.js';
import {RecipientRegistry} from './recipient-registry.js';
import type {SenderRelation, Peer, PeerTable} from './peer-table.js';

/** Members listed in one message, besides the aggregators. */
export const membersNamed = 6;
/** Members listed in an answer to a box that did not ask for a digest. */
export const membersAcknowledged = 2;
/** Milliseconds for which the send time of a message is kept; it dates proofs in the answers of other boxes. */
const sendTimeRetention = 15_000;
/** Rounds of a large fleet after which a box sends all its counters instead of those that changed recently. */
export const roundsBetweenWholeStates = 8;
/** Milliseconds from the request for a round to the round: several crashes at a time are told in one. */
const requestedRoundDelay = 10;
/** Rounds between two messages to the seeds, sent also while other boxes are heard. */
const roundsBetweenSeeds = 25;

/** Where a datagram came from, or is sent to. */
export type DatagramAddress = Omit<MemberAddress, 'name' | 'capacity'>;

/** Fields that this box supplies for every message; the exchange adds the others. */
export type CommonUpdate = Pick<GossipMessage, 'version' | 'proofAge' | 'isStopping' | 'unreachable' | 'storeAge' | 'departed' | 'replicas' | 'ends' | 'statements' | 'rollouts'>;

/** State of this box, including its own counters and work. */
export type LocalState = CommonUpdate & Pick<GossipMessage, 'quota' | 'isWhole' | 'work' | 'demand' | 'weights' | 'reads' | 'loads' | 'usage' | 'evidence'>;

/** Dependencies of the exchange. */
export type GossipServices = {
	readonly self: MemberAddress;
	/** Identifies this start of the process. */
	readonly incarnation: string;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly traffic: ExchangeTraffic;
	/** @returns Fields for every message: all current updates, or only the new ones. */
	readonly commonUpdate: (isWhole: boolean) => CommonUpdate;
	/** @returns The same with this box's own counters and work: all counters, or only those that changed recently. */
	readonly localState: (isWhole: boolean) => LocalState;
	/** @returns The digest of all other boxes for one box: complete, or only what is new. */
	readonly digestFor: (peer: Peer, isWhole: boolean) => FleetDigest;
	/** Applies the state that a box sent of itself, made no earlier than at `madeAt` (monotonic milliseconds of this box; `undefined` if unknown). */
	readonly applyMessage: (message: GossipMessage, meeting: SenderRelation, madeAt: number | undefined) => void;
	/** Applies the digest of all boxes that an aggregator sent. */
	readonly applyDigest: (message: GossipMessage, digest: FleetDigest, madeAt: number | undefined) => void;
	/** Records a moment, on this box's monotonic clock, at which a configuration version is known to have been the newest. */
	readonly recordProof: (version: number, at: number) => void;
	/** Applies a datagram of a kind that is sent much more often than gossip messages; returns whether it was one. */
	readonly applyUrgent: (data: Uint8Array) => boolean;
	/** Applies a datagram that is no gossip message. */
	readonly applyOther: (data: Uint8Array, from: DatagramAddress) => void;
	/** Addresses to contact before any other box is known. */
	readonly seeds: () => ReadonlyArray<Omit<MemberAddress, 'name'>>;
};

/** The exchange. */
export class Gossip {
	/**
	 * @param services - Its dependencies.
	 * @returns The exchange; it sends and receives nothing until it is run.
	 */
	static create(services: GossipServices): Gossip {
		return new Gossip(services);
	}

	private socket: Socket | undefined;
	private isRoundRequested = false;
	private sequence = 0;
	/** Starts at a random number, so that boxes do the periodic work of some rounds at different times. */
	private rounds = Math.floor(Math.random() * roundsBetweenSeeds);
	private readonly sentAt = new Map<number, number>();
	private readonly recipients = RecipientRegistry.create();

	private constructor(private readonly services: GossipServices) {}

	/** @returns An effect that sends and receives messages until it is interrupted. */
	run(): Effect.Effect<never> {
		const rounds = Effect.gen({self: this}, function * () {
			const socket = yield * this.open();
			for (;;) {
				this.round(socket);
				yield * Effect.sleep(this.services.topology.pause(Math.random()));
			}
		});
		return Effect.scoped(rounds);
	}

	/** Sends a round at once, in addition to the regular ones. For what must not be lost if this process is killed. */
	sendNow(): void {
		if (this.isRoundRequested) {
			return;
		}

		this.isRoundRequested = true;
		setTimeout(() => {
			this.isRoundRequested = false;
			if (this.socket) {
				this.round(this.socket, true);
			}
		}, requestedRoundDelay);
	}

	/** Sends the new updates to all boxes that an aggregator of a large fleet hears, without waiting for their messages. */
	push(): void {
		const {peers, topology} = this.services;
		if (!this.socket) {
			return;
		}

		if (!topology.isLarge) {
			this.sendNow();
			return;
		}

		for (const {address: {name}} of peers.heard) {
			this.answer(this.socket, name, false);
		}
	}

	/**
	 * Sends a datagram that is no gossip message.
	 *
	 * @param data - Its payload.
	 * @param to - Address of another box.
	 */
	sendOther(data: Uint8Array, {host, port}: DatagramAddress): void {
		this.services.traffic.count('sent', data.length);
		this.socket?.send(data, port, host, ignore);
	}

	private open(): Effect.Effect<Socket, never, Scope.Scope> {
		const {self} = this.services;
		return Effect.acquireRelease(Effect.sync(() => {
			const socket = createSocket('udp4');
			// A datagram that cannot be sent is treated like a lost one.
			socket.on('error', ignore);
			socket.on('message', (data, {address, port}) => {
				this.services.traffic.count('heard', data.length);
				this.receiveContained(socket, data, {host: address, port});
			});
			socket.bind(self.port, self.host);
			this.socket = socket;
			return socket;
		}), socket => Effect.sync(() => {
			this.socket = undefined;
			socket.close();
		}));
	}

	/** Boxes answer in their own rounds, so an additional round does not count as a message that was not answered. */
	private round(socket: Socket, isAdditional = false): void {
		const {
			peers, topology, seeds, traffic,
		} = this.services;
		peers.sweep();
		peers.isLarge = topology.isLarge;
		peers.receivesFromAll = topology.isAggregator;
		peers.heardWithin = topology.heardWithin;
		this.rounds++;
		traffic.logRates({boxes: peers.boxes, heard: peers.heard.length, isAggregator: topology.isLarge && topology.isAggregator});
		const hearsNoBox = peers.heard.length === 0;
		const head = this.head(membersNamed);
		const targets = topology.targets(this.rounds);
		const asked = this.digestSources(targets);
		const isWholeRound = !topology.isLarge || this.rounds % roundsBetweenWholeStates === 0;
		const newRecipients = this.recipients.newAmong(targets);
		const sendsToSeeds = hearsNoBox || this.rounds % roundsBetweenSeeds === 0;
		const isWholeNeeded = isWholeRound || sendsToSeeds || newRecipients.size > 0;
		const state = {...head, ...this.services.localState(isWholeRound)};
		const wholeState = isWholeNeeded && !isWholeRound ? {...head, ...this.services.localState(true)} : state;
		for (const peer of targets) {
			if (!isAdditional) {
				peers.recordSent(peer.address.name);
			}

			this.send(socket, peer.address, {...(newRecipients.has(peer) ? wholeState : state), ...this.echoOf(peer), ...(asked.includes(peer) ? {asksDigest: true} : {})});
		}

		if (sendsToSeeds) {
			for (const address of seeds().filter(seed => canBeSentTo(seed))) {
				this.send(socket, address, {...wholeState, asksDigest: true});
			}
		}
	}

	/** Aggregators of a large fleet have the same state, so this asks one of them for it, in rotation. */
	private digestSources(targets: readonly Peer[]): readonly Peer[] {
		const {peers, topology} = this.services;
		if (peers.heard.length === 0) {
			return targets;
		}

		return topology.isLarge ? targets.slice(this.rounds % Math.max(1, targets.length)).slice(0, 1) : [];
	}

	/** Builds the fields common to all messages, with the next sequence number. */
	private head(memberCount: number, isSuccession = false): Pick<GossipMessage, 'sender' | 'incarnation' | 'sequence' | 'uptime' | 'wall' | 'members'> {
		const {self, incarnation, peers, clock, topology} = this.services;
		return {
			sender: self,
			incarnation,
			sequence: this.nextSequence(),
			uptime: Math.round(peers.uptime),
			wall: Math.round(peers.ownTime),
			members: topology.membersToName(memberCount, this.rounds, isSuccession).map(({address}) => address),
		};
	}

	private nextSequence(): number {
		const now = this.services.clock.monotonic();
		this.sequence++;
		this.sentAt.set(this.sequence, now);
		for (const [sequence, at] of this.sentAt) {
			if (now - at < sendTimeRetention) {
				break;
			}

			this.sentAt.delete(sequence);
		}

		return this.sequence;
	}

	private echoOf({last, heardAt}: Peer): Pick<GossipMessage, 'echo'> {
		return last
			? {echo: {incarnation: last.incarnation, sequence: last.sequence, age: Math.floor(this.services.clock.monotonic() - heardAt)}}
			: {};
	}

	private send(socket: Socket, {host, port}: Omit<MemberAddress, 'name'>, message: GossipMessage): void {
		const data = encodeGossip(message);
		this.services.traffic.count('sent', data.length);
		socket.send(data, port, host, ignore);
	}

	/** What a datagram causes ends with the datagram: an exception in the listener would end the process, with all its requests. */
	private receiveContained(socket: Socket, data: Uint8Array, from: DatagramAddress): void {
		try {
			this.receive(socket, data, from);
		} catch (error) {
			this.services.log.write('datagramFailed', {from: `${from.host}:${from.port}`, bytes: data.length, detail: String(error)});
		}
	}

	private receive(socket: Socket, data: Uint8Array, from: DatagramAddress): void {
		const {
			peers, topology, self, applyMessage, applyDigest, applyUrgent, incarnation,
		} = this.services;
		if (applyUrgent(data)) {
			return;
		}

		const message = decodeGossip(data);
		if (!message) {
			this.services.applyOther(data, from);
			return;
		}

		if (message.sender.name === self.name || !canBeSentTo(message.sender)) {
			return;
		}

		peers.addMembers(message.members);
		const meeting = peers.recordMessage(message);
		if (meeting === undefined) {
			return;
		}

		const madeAt = this.timeMade(message, incarnation);
		if (madeAt !== undefined && message.proofAge !== undefined) {
			this.services.recordProof(message.version, madeAt - message.proofAge);
		}

		if (message.digest) {
			peers.recordFleetSize(message.digest.boxes);
			applyDigest(message, message.digest, madeAt);
		} else {
			applyMessage(message, meeting, madeAt);
		}

		if (message.asksDigest === true || (topology.isLarge && !message.digest)) {
			this.answer(socket, message.sender.name, message.asksDigest === true);
		}
	}

	/**
	 * Answers at once, so that the answer is as recent as possible and no list of recipients is needed. A box that does not ask
	 * for a digest receives the fleet size and new updates, which also show it that this box receives its messages.
	 */
	private answer(socket: Socket, name: string, isWhole: boolean): void {
		const {peers, commonUpdate, digestFor, clock} = this.services;
		const peer = peers.named(name);
		if (!peer) {
			return;
		}

		this.send(socket, peer.address, {
			...this.head(isWhole ? membersNamed : membersAcknowledged, isWhole),
			...commonUpdate(isWhole),
			// The median of many clocks: a box that hears few others cannot tell which of their clocks is wrong.
			wall: Math.round(peers.commonTime),
			quota: [], isWhole: false, work: [], usage: [],
			...this.echoOf(peer),
			digest: digestFor(peer, isWhole),
		});
	}

	/**
	 * Dates a message on this box's own clock, however long the datagram was delayed: the echo says how long before sending the
	 * sender received a message of this box, and this box knows when it sent that message.
	 *
	 * @returns Monotonic milliseconds before which the message cannot have been made; `undefined` if unknown.
	 */
	private timeMade({echo}: GossipMessage, incarnation: string): number | undefined {
		const leftAt = echo?.incarnation === incarnation ? this.sentAt.get(echo.sequence) : undefined;
		return leftAt === undefined ? undefined : leftAt + echo!.age;
	}
}

const ignore = () => undefined;
