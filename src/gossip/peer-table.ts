/**
 * The other boxes of the fleet, with the newest message received from each.
 */
import type {Clock} from '../base/clock.js';
import type {EventFields, EventLog} from '../base/event-log.js';
import {medianOf} from '../base/median.js';
import {canBeSentTo, type GossipMessage, type MemberAddress} from './gossip-message.js';

/** Milliseconds without a message after which a box no longer counts as a member of the fleet. */
const memberLifetime = 20_000;

/** Milliseconds for which the list of recently heard boxes is cached, unless a message is sent or received. */
const heardCacheLifetime = 20;

/** Milliseconds for which a fleet size received from another box is valid. */
const reportedSizeLifetime = 20_000;
/** Milliseconds since its start for which a box of a large fleet is assumed to have sent its counters to no other box yet. */
const newcomerUptime = 2500;

/** Classification of a message's sender, which decides how its quota counters are applied; see `QuotaLedger.applyCounts`. */
export type SenderRelation = 'known' | 'younger' | 'other' | 'apart';

/** Another box. */
export type Peer = {
	readonly address: MemberAddress;
	/** The newest message; `undefined` before the first. */
	readonly last: GossipMessage | undefined;
	/** When the newest message was received, in monotonic milliseconds of this box; `listedAt` is when the box became known. */
	readonly heardAt: number;
	readonly listedAt: number;
	/** Its wall clock minus this box's monotonic clock, in milliseconds. */
	readonly wallOffset: number;
	/** Messages sent to it since the last one was received from it. */
	readonly unanswered: number;
};

/** The other boxes. */
export class PeerTable {
	/**
	 * @param self - Name of this box.
	 * @param clock - Measures ages.
	 * @param log - Receives a record when a box is found or lost.
	 * @returns An empty table.
	 */
	static create(self: string, clock: Clock, log: EventLog): PeerTable {
		return new PeerTable(self, clock, log);
	}

	/** Milliseconds since its last message for which a box counts as heard. */
	heardWithin = 1000;
	/** Whether the fleet is so large that a box receives messages only from some of the others. */
	isLarge = false;
	/** Whether all other boxes send to this one regularly. If not, only aggregators do, with digests. */
	receivesFromAll = true;
	/** Increases with each change of an entry, so that callers can cache derived lists. */
	changes = 0;
	private readonly peers = new Map<string, Peer>();
	/** Cached lists, which are read many times between two messages; invalidated by each change. */
	private listed: readonly Peer[] | undefined;
	private heardCache: {readonly peers: readonly Peer[]; readonly at: number; readonly within: number} | undefined;
	/** When the last message of each box was received, including boxes that were removed since. */
	private readonly lastHeardAt = new Map<string, number>();
	private readonly lost = new Set<string>();
	private reportedSize = {boxes: 0, at: Number.NEGATIVE_INFINITY};
	private readonly startedAt: number;
	/** Wall clock minus monotonic clock, and the time of the last resume from a suspension when it was determined. */
	private anchor: {readonly offset: number; readonly at: number};

	private constructor(private readonly self: string, private readonly clock: Clock, private readonly log: EventLog) {
		this.startedAt = clock.monotonic();
		this.anchor = {offset: clock.wall() - clock.monotonic(), at: clock.lastResumedAt()};
	}

	/** All other known boxes, also those not heard recently. */
	get all(): readonly Peer[] {
		this.listed ??= [...this.peers.values()];
		return this.listed;
	}

	/**
	 * @param name - Name of a box.
	 * @returns Its entry; `undefined` where the box is not known.
	 */
	named(name: string): Peer | undefined {
		return this.peers.get(name);
	}

	/**
	 * @param name - Name of a box.
	 * @param within - Milliseconds.
	 * @returns Whether a message of the box was received in that time.
	 */
	wasHeardWithin(name: string, within: number): boolean {
		const at = this.lastHeardAt.get(name) ?? Number.NEGATIVE_INFINITY;
		return this.clock.monotonic() - at <= within;
	}

	/**
	 * @param within - Milliseconds.
	 * @returns Whether a message of every other box was received in that time.
	 */
	hasHeardAllWithin(within: number): boolean {
		const since = this.clock.monotonic() - within;
		return this.knownBoxes >= this.boxes && this.all.every(({heardAt}) => heardAt >= since);
	}

	/** Boxes from which a message was received within `heardWithin`, and since this box last resumed from a suspension. */
	get heard(): readonly Peer[] {
		const now = this.clock.monotonic();
		const known = this.heardCache;
		const resumedAt = this.clock.lastResumedAt();
		if (known?.within === this.heardWithin && now - known.at < heardCacheLifetime && known.at >= resumedAt) {
			return known.peers;
		}

		const since = Math.max(now - this.heardWithin, resumedAt);
		const peers = this.all.filter(({heardAt}) => heardAt >= since);
		this.heardCache = {peers, at: now, within: this.heardWithin};
		return peers;
	}

	/**
	 * @param at - Monotonic milliseconds.
	 * @returns Boxes from which a message was received since then. Whether they are reached now is unknown.
	 */
	heardSince(at: number): readonly Peer[] {
		return this.all.filter(({heardAt}) => heardAt >= at);
	}

	/** Fraction of all boxes that are heard, including this one; above 0, at most 1. */
	get heardPart(): number {
		return (this.heard.length + 1) / this.boxes;
	}

	/** Estimated number of boxes in the fleet, including this one. */
	get boxes(): number {
		const isReported = this.clock.monotonic() - this.reportedSize.at < reportedSizeLifetime;
		return Math.max(this.knownBoxes, isReported ? this.reportedSize.boxes : 0);
	}

	/** Number of boxes in this table, including this one. */
	get knownBoxes(): number {
		return this.peers.size + 1;
	}

	/** Milliseconds since this process started. */
	get uptime(): number {
		return this.clock.monotonic() - this.startedAt;
	}

	/** Common time minus this box's monotonic clock, in milliseconds: the median of all clocks, since some may be wrong. */
	get wallOffset(): number {
		return medianOf([this.ownOffset, ...this.heard.map(({wallOffset}) => wallOffset)]);
	}

	/** Common time in milliseconds since the epoch, the same on all boxes that receive each other's messages. */
	get commonTime(): number {
		return this.clock.monotonic() + this.wallOffset;
	}

	/**
	 * Time that this box sends, in milliseconds since the epoch: its wall clock at the start, advanced by the monotonic clock. A wall
	 * clock that is set later has no effect. With the wall clock read at each use, setting the clocks of all boxes at once made six
	 * five-second usage windows wrong by 36 to 85 %.
	 */
	get ownTime(): number {
		return this.clock.monotonic() + this.ownOffset;
	}

	/** After a suspension, during which the monotonic clock did not advance, the offset is taken from the clocks of the other boxes. */
	private get ownOffset(): number {
		const resumedAt = this.clock.lastResumedAt();
		const {heard} = this;
		if (resumedAt > this.anchor.at && heard.length > 0) {
			this.anchor = {offset: medianOf(heard.map(({wallOffset}) => wallOffset)), at: resumedAt};
		}

		return this.anchor.offset;
	}

	/** @param boxes - Number of boxes that another box knows. */
	recordFleetSize(boxes: number): void {
		const now = this.clock.monotonic();
		// A smaller size counts only once the larger one has expired: in a network partition, each part would otherwise soon take
		// itself for the whole fleet and spend the whole quota.
		if (boxes >= this.reportedSize.boxes || now - this.reportedSize.at > reportedSizeLifetime) {
			this.reportedSize = {boxes, at: now};
		}
	}

	/** @param name - Name of the box that a message is sent to. */
	recordSent(name: string): void {
		const peer = this.peers.get(name);
		if (peer) {
			this.put({...peer, unanswered: peer.unanswered + 1});
		}
	}

	/** @param members - Boxes that another box or the store lists; those with an invalid address are ignored. */
	addMembers(members: readonly MemberAddress[]): void {
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
	 * Records a received message.
	 *
	 * @param message - The message.
	 * @returns The classification of its sender; `undefined` where the message is not newer than the newest one received.
	 */
	recordMessage(message: GossipMessage): SenderRelation | undefined {
		const now = this.clock.monotonic();
		const {sender, incarnation, sequence} = message;
		const known = this.peers.get(sender.name);
		const isSameStart = known?.last?.incarnation === incarnation;
		if (isSameStart && known.last.sequence >= sequence) {
			return undefined;
		}

		const meeting = this.classify(message, known, now);
		this.lastHeardAt.set(sender.name, now);
		this.put({
			address: sender, last: message, heardAt: now, listedAt: known?.listedAt ?? now, wallOffset: message.wall - now, unanswered: 0,
		});
		if (!known || now - known.heardAt > this.heardWithin) {
			this.lost.delete(sender.name);
			this.logIfRegular('memberHeard', message, {incarnation, meeting});
		}

		return meeting;
	}

	/**
	 * @param message - A message of a box whose counters have not been applied yet.
	 * @returns The classification of its sender as though this were its first message.
	 */
	classifyAsNew({uptime}: GossipMessage): SenderRelation {
		const isYounger = this.isLarge ? uptime < newcomerUptime : uptime < this.uptime;
		return isYounger ? 'younger' : this.otherMeeting;
	}

	/** Removes boxes that have not been heard within the member lifetime, and logs boxes that are no longer heard. */
	sweep(): void {
		const now = this.clock.monotonic();
		for (const [name, {heardAt, listedAt, last}] of this.peers) {
			const silence = now - Math.max(heardAt, listedAt);
			if (silence > this.heardWithin && heardAt > 0 && !this.lost.has(name)) {
				this.lost.add(name);
				this.logIfRegular('memberLost', last, {member: name, silence: Math.round(silence)});
			}

			if (silence > memberLifetime) {
				this.peers.delete(name);
				this.lost.delete(name);
				this.invalidateLists();
			}
		}
	}

	/** Boxes that send to this one now and then, as to a seed, would be logged as received and lost each time. */
	private logIfRegular(event: 'memberHeard' | 'memberLost', message: GossipMessage | undefined, fields: EventFields): void {
		if (this.receivesFromAll || message?.digest !== undefined) {
			this.log.write(event, {member: message?.sender.name, ...fields});
		}
	}

	private put(peer: Peer): void {
		this.peers.set(peer.address.name, peer);
		this.invalidateLists();
	}

	private invalidateLists(): void {
		this.changes++;
		this.listed = undefined;
		this.heardCache = undefined;
	}

	/** In a large fleet most boxes have never sent to this one, and the bucket levels that they send are no more accurate than its own. */
	private get otherMeeting(): SenderRelation {
		return this.isLarge ? 'apart' : 'other';
	}

	private classify(message: GossipMessage, known: Peer | undefined, now: number): SenderRelation {
		if (known?.last?.incarnation === message.incarnation) {
			return now - known.heardAt <= this.heardWithin ? 'known' : this.otherMeeting;
		}

		return this.classifyAsNew(message);
	}
}
