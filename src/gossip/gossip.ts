/**
 * The exchange between boxes: each tells its state to the others by datagrams, several times a second.
 *
 * @remarks Source: docs/PLATFORM.md, "A mechanism for each rule".
 */
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import type * as Scope from 'effect/Scope';
import type {Clock} from '../base/clock.js';
import {decodeGossip, type GossipMessage, type MemberAddress} from './gossip-message.js';
import type {Meeting, Peer, PeerTable} from './peer-table.js';

/** Milliseconds between two rounds. */
const roundInterval = 200;
/** Boxes told in one round. */
const largestFanOut = 24;
/** Boxes named in one message. */
const membersNamed = 6;
/** Rounds whose moment of sending is kept, to date what others prove. */
const roundsKept = 64;

/** What a message holds besides what the exchange itself adds. */
export type LocalState = Pick<GossipMessage, 'version' | 'proofAge' | 'isStopping' | 'storeAge' | 'quota' | 'work' | 'departed' | 'usage'>;

/** What the exchange needs. */
export type GossipServices = {
	readonly self: MemberAddress;
	/** Names this start of the process. */
	readonly incarnation: string;
	readonly clock: Clock;
	readonly peers: PeerTable;
	/** @returns What to tell. */
	readonly state: () => LocalState;
	/** Takes what a box tells. */
	readonly take: (message: GossipMessage, meeting: Meeting) => void;
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
	private readonly sentAt = new Map<number, number>();
	private turn = 0;

	private constructor(private readonly services: GossipServices) {}

	/** @returns Tells and hears until interrupted. */
	run(): Effect.Effect<never> {
		const rounds = Effect.gen({self: this}, function * () {
			const socket = yield * this.open();
			for (;;) {
				this.round(socket);
				yield * Effect.sleep(roundInterval);
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
				this.hear(data);
			});
			socket.bind(self.port, self.host);
			return socket;
		}), socket => Effect.sync(() => socket.close()));
	}

	private round(socket: Socket): void {
		const {peers, clock} = this.services;
		peers.sweep();
		this.sequence++;
		this.sentAt.set(this.sequence, clock.monotonic());
		this.sentAt.delete(this.sequence - roundsKept);
		const known = peers.all;
		const fanOut = Math.min(known.length, largestFanOut);
		// A box is heard again only after all others had their turn.
		peers.heardWithin = Math.max(1000, 5 * roundInterval * Math.ceil(known.length / largestFanOut));
		const common = this.commonPart(known);
		const told = Array.from({length: fanOut}, (_, index) => known[(this.turn + index) % known.length]!);
		this.turn = known.length === 0 ? 0 : (this.turn + fanOut) % known.length;
		for (const peer of told) {
			this.tell(socket, peer.address, {...common, ...this.echoOf(peer)});
		}

		if (peers.heard.length === 0 || this.sequence % 25 === 0) {
			for (const {host, port} of this.services.seeds()) {
				this.tell(socket, {host, port}, common);
			}
		}
	}

	private commonPart(known: readonly Peer[]): GossipMessage {
		const {self, incarnation, peers, clock, state} = this.services;
		const first = known.length === 0 ? 0 : this.sequence % known.length;
		return {
			sender: self,
			incarnation,
			sequence: this.sequence,
			uptime: Math.round(peers.uptime),
			wall: clock.wall(),
			members: [...known, ...known].slice(first, first + Math.min(membersNamed, known.length)).map(({address}) => address),
			...state(),
		};
	}

	private echoOf({last, heardAt}: Peer): Pick<GossipMessage, 'echo'> {
		return last
			? {echo: {incarnation: last.incarnation, sequence: last.sequence, age: Math.floor(this.services.clock.monotonic() - heardAt)}}
			: {};
	}

	private tell(socket: Socket, {host, port}: Omit<MemberAddress, 'name'>, message: GossipMessage): void {
		socket.send(Buffer.from(JSON.stringify(message)), port, host, ignore);
	}

	private hear(data: Uint8Array): void {
		const message = parse(data);
		const {peers, self, take, incarnation} = this.services;
		if (!message || message.sender.name === self.name) {
			return;
		}

		peers.learn(message.members);
		const meeting = peers.take(message);
		if (meeting === undefined) {
			return;
		}

		this.noteProof(message, incarnation);
		take(message, meeting);
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

function parse(data: Uint8Array): GossipMessage | undefined {
	try {
		const decoded = decodeGossip(JSON.parse(Buffer.from(data).toString()));
		return Result.isSuccess(decoded) ? decoded.success : undefined;
	} catch {
		return undefined;
	}
}

const ignore = () => undefined;
