/**
 * The exchange between boxes: each tells its state to others by datagrams, several times a second.
 *
 * @remarks Source: docs/DESIGN.md, "The exchange".
 */
import {createSocket, type Socket} from 'node:dgram';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {Clock} from '../base/clock.js';
import type {ExchangeTopology} from './exchange-topology.js';
import type {ExchangeTraffic} from './exchange-traffic.js';
import {decodeGossip, encodeGossip} from './gossip-codec.js';
import {
	canBeSentTo, type FleetDigest, type GossipMessage, type MemberAddress,
} from './gossip-message.js';
import {ListenerBook} from './listener-book.js';
import type {Meeting, Peer, PeerTable} from './peer-table.js';

/** Boxes named in one message, besides the aggregators. */
export const membersNamed = 6;
/** The same in an answer to a box that did not ask. */
export const membersAcknowledged = 2;
/** Milliseconds for which the moment of sending a message is kept, to date what others prove. */
const sentMemory = 15_000;
/** Rounds of a large fleet after which a box tells all its counters, not those alone that changed lately. */
export const roundsBetweenWholeStates = 8;
/** Rounds after which the seeds are told again, whoever is heard. */
const roundsBetweenSeeds = 25;

/** What every message holds besides what the exchange itself adds. */
export type LocalNews = Pick<GossipMessage, 'version' | 'proofAge' | 'isStopping' | 'storeAge' | 'departed' | 'replicas' | 'ends' | 'statements'>;

/** What a box tells of its own work. */
export type LocalState = LocalNews & Pick<GossipMessage, 'quota' | 'isWhole' | 'work' | 'demand' | 'usage'>;

/** What the exchange needs. */
export type GossipServices = {
	readonly self: MemberAddress;
	/** Names this start of the process. */
	readonly incarnation: string;
	readonly clock: Clock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly traffic: ExchangeTraffic;
	/** @returns What to tell in any message: all that others must know, or only what is new. */
	readonly news: (isWhole: boolean) => LocalNews;
	/** @returns What to tell of this box's own work, too: all its counters, or those that changed lately. */
	readonly state: (isWhole: boolean) => LocalState;
	/** @returns What to tell one box of all others: all that is known, or only what is new. */
	readonly digest: (peer: Peer, isWhole: boolean) => FleetDigest;
	/** Takes what a box tells of itself. */
	readonly take: (message: GossipMessage, meeting: Meeting) => void;
	/** Takes what an aggregator tells of all boxes. */
	readonly takeDigest: (message: GossipMessage, digest: FleetDigest) => void;
	/** Takes the moment at which a version is known to have been the newest, by this box's monotonic clock. */
	readonly prove: (version: number, at: number) => void;
	/** Addresses at which boxes may be, before any is known. */
	readonly seeds: () => ReadonlyArray<Omit<MemberAddress, 'name'>>;
};

/** The exchange. */
export class Gossip {
	/**
	 * @param services - What it needs.
	 * @returns The exchange, silent until it is run.
	 */
	static create(services: GossipServices): Gossip {
		return new Gossip(services);
	}

	private sequence = 0;
	/** Counted from anywhere: what is done every few rounds is done by boxes in turn. */
	private rounds = Math.floor(Math.random() * roundsBetweenSeeds);
	private readonly sentAt = new Map<number, number>();
	private readonly listeners = ListenerBook.create();

	private constructor(private readonly services: GossipServices) {}

	/** @returns Tells and hears until interrupted. */
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

	private open(): Effect.Effect<Socket, never, Scope.Scope> {
		const {self} = this.services;
		return Effect.acquireRelease(Effect.sync(() => {
			const socket = createSocket('udp4');
			// A datagram that cannot be sent is one that is lost.
			socket.on('error', ignore);
			socket.on('message', data => {
				this.services.traffic.note('heard', data.length);
				this.hear(socket, data);
			});
			socket.bind(self.port, self.host);
			return socket;
		}), socket => Effect.sync(() => socket.close()));
	}

	private round(socket: Socket): void {
		const {
			peers, topology, seeds, traffic,
		} = this.services;
		peers.sweep();
		peers.isLarge = topology.isLarge;
		peers.heardWithin = topology.heardWithin;
		this.rounds++;
		traffic.tell({boxes: peers.boxes, heard: peers.heard.length, isAggregator: topology.isLarge && topology.isAggregator});
		const isLonely = peers.heard.length === 0;
		const head = this.head(membersNamed);
		const targets = topology.targets(this.rounds);
		const asked = this.askedFor(targets);
		const isWholeRound = !topology.isLarge || this.rounds % roundsBetweenWholeStates === 0;
		const strangers = this.listeners.strangersAmong(targets);
		const tellsSeeds = isLonely || this.rounds % roundsBetweenSeeds === 0;
		const isWholeNeeded = isWholeRound || tellsSeeds || strangers.size > 0;
		const state = {...head, ...this.services.state(isWholeRound)};
		const wholeState = isWholeNeeded && !isWholeRound ? {...head, ...this.services.state(true)} : state;
		for (const peer of targets) {
			peers.noteTold(peer.address.name);
			this.tell(socket, peer.address, {...(strangers.has(peer) ? wholeState : state), ...this.echoOf(peer), ...(asked.includes(peer) ? {asksDigest: true} : {})});
		}

		if (tellsSeeds) {
			for (const address of seeds().filter(seed => canBeSentTo(seed))) {
				this.tell(socket, address, {...wholeState, asksDigest: true});
			}
		}
	}

	/** Aggregators of a large fleet know the same: one of them is asked for it, each in turn. */
	private askedFor(targets: readonly Peer[]): readonly Peer[] {
		const {peers, topology} = this.services;
		if (peers.heard.length === 0) {
			return targets;
		}

		return topology.isLarge ? targets.slice(this.rounds % Math.max(1, targets.length)).slice(0, 1) : [];
	}

	/** What every message begins with; it has a number of its own. */
	private head(named: number, isSuccession = false): Pick<GossipMessage, 'sender' | 'incarnation' | 'sequence' | 'uptime' | 'wall' | 'members'> {
		const {self, incarnation, peers, clock, topology} = this.services;
		return {
			sender: self,
			incarnation,
			sequence: this.nextSequence(),
			uptime: Math.round(peers.uptime),
			wall: Math.round(peers.ownTime),
			members: topology.namesToTell(named, this.rounds, isSuccession).map(({address}) => address),
		};
	}

	private nextSequence(): number {
		const now = this.services.clock.monotonic();
		this.sequence++;
		this.sentAt.set(this.sequence, now);
		for (const [sequence, at] of this.sentAt) {
			if (now - at < sentMemory) {
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

	private tell(socket: Socket, {host, port}: Omit<MemberAddress, 'name'>, message: GossipMessage): void {
		const data = encodeGossip(message);
		this.services.traffic.note('sent', data.length);
		socket.send(data, port, host, ignore);
	}

	private hear(socket: Socket, data: Uint8Array): void {
		const message = decodeGossip(data);
		const {
			peers, topology, self, take, takeDigest, incarnation,
		} = this.services;
		if (!message || message.sender.name === self.name || !canBeSentTo(message.sender)) {
			return;
		}

		peers.learn(message.members);
		const meeting = peers.take(message);
		if (meeting === undefined) {
			return;
		}

		this.noteProof(message, incarnation);
		if (message.digest) {
			peers.noteFleetSize(message.digest.boxes);
			takeDigest(message, message.digest);
		} else {
			take(message, meeting);
		}

		if (message.asksDigest === true || (topology.isLarge && !message.digest)) {
			this.answer(socket, message.sender.name, message.asksDigest === true);
		}
	}

	/**
	 * The answer comes at once, so that it is as new as can be and needs no list of whom to tell. Who does not ask for all
	 * that is known is told how large the fleet is and what is new, so that it knows that this box hears it.
	 */
	private answer(socket: Socket, name: string, isWhole: boolean): void {
		const {peers, news, digest, clock} = this.services;
		const peer = peers.named(name);
		if (!peer) {
			return;
		}

		this.tell(socket, peer.address, {
			...this.head(isWhole ? membersNamed : membersAcknowledged, isWhole),
			...news(isWhole),
			// The middle of many clocks: a box that hears few others cannot tell which of them is off.
			wall: Math.round(peers.commonTime),
			quota: [], isWhole: false, work: [], usage: [],
			...this.echoOf(peer),
			digest: digest(peer, isWhole),
		});
	}

	/**
	 * Dates a proof by this box's own clock, though the datagram may have waited anywhere: the sender had this
	 * box's message some time before it sent, and this box knows when that message left.
	 */
	private noteProof({echo, proofAge, version}: GossipMessage, incarnation: string): void {
		if (!echo || proofAge === undefined || echo.incarnation !== incarnation) {
			return;
		}

		const leftAt = this.sentAt.get(echo.sequence);
		if (leftAt !== undefined) {
			this.services.prove(version, leftAt + echo.age - proofAge);
		}
	}
}

const ignore = () => undefined;
