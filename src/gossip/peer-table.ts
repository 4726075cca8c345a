/**
 * The other boxes: which there are, and what was heard of each.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {medianOf} from '../base/median.js';
import {canBeSentTo, type GossipMessage, type MemberAddress} from './gossip-message.js';

/** Milliseconds after which a box of which nothing is heard no longer counts as one of the system's. */
const memberLifetime = 20_000;

/** Milliseconds for which the boxes heard lately are not looked through anew, unless one is heard or told. */
const viewLifetime = 20;

/** Milliseconds for which the size of the fleet counts that others told. */
const toldSizeLifetime = 20_000;
/** Milliseconds since its start up to which a box of a large fleet is taken to have told nobody else before. */
const newcomerUptime = 2500;

/** How a message's sender is met; see `QuotaLedger.takeCounts`. */
export type Meeting = 'known' | 'younger' | 'other' | 'apart';

/** Another box. */
export type Peer = {
	readonly address: MemberAddress;
	/** The newest message; `undefined` before the first. */
	readonly last: GossipMessage | undefined;
	/** Monotonic milliseconds of this box. */
	readonly heardAt: number;
	readonly listedAt: number;
	/** Its time of day, less this box's monotonic clock. */
	readonly wallOffset: number;
	/** Messages that were sent to it since it was last heard. */
	readonly unanswered: number;
};

/** The other boxes. */
export class PeerTable {
	/**
	 * @param self - Name of this box.
	 * @param clock - For ages.
	 * @param log - Where gains and losses are told.
	 * @returns A table that knows of none.
	 */
	static create(self: string, clock: Clock, log: EventLog): PeerTable {
		return new PeerTable(self, clock, log);
	}

	/** Milliseconds within which a box that is heard of has been heard. */
	heardWithin = 1000;
	/** Whether the fleet is so large that a box hears only some of the others. */
	isLarge = false;
	/** Rises with each change of what is known of a box. */
	changes = 0;
	private readonly peers = new Map<string, Peer>();
	/** Lists that are asked for many times between two messages; dropped with each change. */
	private listed: readonly Peer[] | undefined;
	private heardLately: {readonly peers: readonly Peer[]; readonly at: number; readonly within: number} | undefined;
	/** When each box was last heard, also those that count as gone. */
	private readonly heardLast = new Map<string, number>();
	private readonly lost = new Set<string>();
	private toldSize = {boxes: 0, at: Number.NEGATIVE_INFINITY};
	private readonly startedAt: number;
	/** Time less the monotonic clock, and the wake after which it was found. */
	private anchor: {readonly offset: number; readonly at: number};

	private constructor(private readonly self: string, private readonly clock: Clock, private readonly log: EventLog) {
		this.startedAt = clock.monotonic();
		this.anchor = {offset: clock.wall() - clock.monotonic(), at: clock.lastResumedAt()};
	}

	/** All other boxes that may be there. */
	get all(): readonly Peer[] {
		this.listed ??= [...this.peers.values()];
		return this.listed;
	}

	/**
	 * @param name - Name of a box.
	 * @returns What is known of it; `undefined` where it is not known.
	 */
	named(name: string): Peer | undefined {
		return this.peers.get(name);
	}

	/**
	 * @param name - Name of a box.
	 * @param within - Milliseconds.
	 * @returns Whether it was heard in that time.
	 */
	wasHeardWithin(name: string, within: number): boolean {
		const at = this.heardLast.get(name) ?? Number.NEGATIVE_INFINITY;
		return this.clock.monotonic() - at <= within;
	}

	/**
	 * @param within - Milliseconds.
	 * @returns Whether every other box was heard in that time.
	 */
	hasHeardAllWithin(within: number): boolean {
		const since = this.clock.monotonic() - within;
		return this.knownBoxes >= this.boxes && this.all.every(({heardAt}) => heardAt >= since);
	}

	/** Those that were heard lately. */
	get heard(): readonly Peer[] {
		const now = this.clock.monotonic();
		const known = this.heardLately;
		const wokenAt = this.clock.lastResumedAt();
		if (known?.within === this.heardWithin && now - known.at < viewLifetime && known.at >= wokenAt) {
			return known.peers;
		}

		const since = Math.max(now - this.heardWithin, wokenAt);
		const peers = this.all.filter(({heardAt}) => heardAt >= since);
		this.heardLately = {peers, at: now, within: this.heardWithin};
		return peers;
	}

	/** Part of all boxes that are heard of, this one too; above 0, at most 1. */
	get heardPart(): number {
		return (this.heard.length + 1) / this.boxes;
	}

	/** How many boxes there are, this one too. */
	get boxes(): number {
		const isTold = this.clock.monotonic() - this.toldSize.at < toldSizeLifetime;
		return Math.max(this.knownBoxes, isTold ? this.toldSize.boxes : 0);
	}

	/** How many boxes this one knows of itself, this one too. */
	get knownBoxes(): number {
		return this.peers.size + 1;
	}

	/** Milliseconds since this process started. */
	get uptime(): number {
		return this.clock.monotonic() - this.startedAt;
	}

	/** True time less this box's monotonic clock: the middle of all clocks, since some may be off. */
	get wallOffset(): number {
		return medianOf([this.ownOffset, ...this.heard.map(({wallOffset}) => wallOffset)]);
	}

	/** True time in milliseconds since the epoch, the same on all boxes that hear each other. */
	get commonTime(): number {
		return this.clock.monotonic() + this.wallOffset;
	}

	/**
	 * Time as this box tells it, in milliseconds since the epoch: its wall clock as it stood at the start, carried on by the steady one. A
	 * wall clock that is set later, on whichever part of the boxes, moves nothing: while all were set at once, six usage windows of five
	 * seconds were off by 36 to 85 in 100, and none is since (one recorded day each).
	 */
	get ownTime(): number {
		return this.clock.monotonic() + this.ownOffset;
	}

	/** After a suspension, which the steady clock has not counted, the others tell how long it was. */
	private get ownOffset(): number {
		const wokenAt = this.clock.lastResumedAt();
		const {heard} = this;
		if (wokenAt > this.anchor.at && heard.length > 0) {
			this.anchor = {offset: medianOf(heard.map(({wallOffset}) => wallOffset)), at: wokenAt};
		}

		return this.anchor.offset;
	}

	/** @param boxes - How many boxes another one knows of. */
	noteFleetSize(boxes: number): void {
		const now = this.clock.monotonic();
		// In a part of the fleet that is cut off all would soon know of few others, and each part would spend the whole quota.
		if (boxes >= this.toldSize.boxes || now - this.toldSize.at > toldSizeLifetime) {
			this.toldSize = {boxes, at: now};
		}
	}

	/** @param name - A box that a message is sent to. */
	noteTold(name: string): void {
		const peer = this.peers.get(name);
		if (peer) {
			this.put({...peer, unanswered: peer.unanswered + 1});
		}
	}

	/** @param members - Boxes that somebody knows of; those that nothing can be sent to are none. */
	learn(members: readonly MemberAddress[]): void {
		const now = this.clock.monotonic();
		for (const address of members.filter(member => canBeSentTo(member))) {
			const known = this.peers.get(address.name);
			const isElsewhere = known && (known.address.host !== address.host || known.address.port !== address.port || known.address.capacity !== address.capacity);
			if (address.name !== this.self && (!known || (isElsewhere && now - known.heardAt > this.heardWithin))) {
				this.put({
					address, last: undefined, heardAt: Number.NEGATIVE_INFINITY, listedAt: now, wallOffset: 0, unanswered: 0,
				});
			}
		}
	}

	/**
	 * Takes a message.
	 *
	 * @param message - What a box tells.
	 * @returns How it is met; `undefined` where the message is older than the newest.
	 */
	take(message: GossipMessage): Meeting | undefined {
		const now = this.clock.monotonic();
		const {sender, incarnation, sequence} = message;
		const known = this.peers.get(sender.name);
		const isSameStart = known?.last?.incarnation === incarnation;
		if (isSameStart && known.last.sequence >= sequence) {
			return undefined;
		}

		const meeting = this.meet(message, known, now);
		this.heardLast.set(sender.name, now);
		this.put({
			address: sender, last: message, heardAt: now, listedAt: known?.listedAt ?? now, wallOffset: message.wall - now, unanswered: 0,
		});
		if (!known || now - known.heardAt > this.heardWithin) {
			this.lost.delete(sender.name);
			this.log.write('memberHeard', {member: sender.name, incarnation, meeting});
		}

		return meeting;
	}

	/**
	 * @param message - What a box tells whose counters were never taken.
	 * @returns How it is met, as though it had not been heard before.
	 */
	meetAnew({uptime}: GossipMessage): Meeting {
		const isYounger = this.isLarge ? uptime < newcomerUptime : uptime < this.uptime;
		return isYounger ? 'younger' : this.otherMeeting;
	}

	/** Drops boxes that have not been heard for long, and tells of losses. */
	sweep(): void {
		const now = this.clock.monotonic();
		for (const [name, {heardAt, listedAt}] of this.peers) {
			const silence = now - Math.max(heardAt, listedAt);
			if (silence > this.heardWithin && heardAt > 0 && !this.lost.has(name)) {
				this.lost.add(name);
				this.log.write('memberLost', {member: name, silence: Math.round(silence)});
			}

			if (silence > memberLifetime) {
				this.peers.delete(name);
				this.lost.delete(name);
				this.dropViews();
			}
		}
	}

	private put(peer: Peer): void {
		this.peers.set(peer.address.name, peer);
		this.dropViews();
	}

	private dropViews(): void {
		this.changes++;
		this.listed = undefined;
		this.heardLately = undefined;
	}

	/** In a large fleet most boxes have never told this one, and what they say of the bucket is no news. */
	private get otherMeeting(): Meeting {
		return this.isLarge ? 'apart' : 'other';
	}

	private meet(message: GossipMessage, known: Peer | undefined, now: number): Meeting {
		if (known?.last?.incarnation === message.incarnation) {
			return now - known.heardAt <= this.heardWithin ? 'known' : this.otherMeeting;
		}

		return this.meetAnew(message);
	}
}
