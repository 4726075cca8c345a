/**
 * Decides which boxes exchange messages: in a small fleet each box sends to all others; in a large one each sends to a few
 * aggregators, which answer with a digest of the state received from all boxes.
 *
 * @remarks Source: docs/DESIGN.md, "The exchange".
 */
import {getOrCreate} from '../base/get-or-create.js';
import {hashText, rankOwners} from '../base/rendezvous.js';
import type {MemberAddress} from './gossip-message.js';
import type {Peer, PeerTable} from './peer-table.js';

/** Maximum number of boxes in a fleet in which each box sends to all others. */
const maxSmallFleet = 12;
/** Aggregators of a large fleet: two may fail at once without a gap. */
export const aggregatorCount = 3;
/**
 * Boxes named in a digest from the start of the aggregator order: boxes that lose their aggregators must fail over to the same
 * successors. With different ones, each would receive the state of a few boxes only.
 */
const successorsNamed = 15;
/** Jitter of the pause between two rounds, as a fraction of the interval. */
const pauseJitter = 0.5;
/** Mean milliseconds between two rounds in a small fleet. */
const smallInterval = 200;
/** Mean milliseconds between two rounds in a large fleet, until this grows with the number of boxes. */
const largeInterval = 400;
/** Number of boxes above which the interval of a large fleet grows, so that an aggregator's work does not grow with the fleet. */
const boxesAtLargeInterval = 100;
/** Consecutive messages without an answer after which an aggregator is skipped. */
export const maxUnanswered = 5;
/** Exclusive upper bound of the hashes of names. */
const hashRange = 2 ** 32;
/** Rounds between two messages to a skipped box, which detect that it answers again. */
const roundsBetweenTrials = 5;
/** Rounds without a message after which a box counts as silent. */
const roundsHeardWithin = 5;
/** Minimum milliseconds without a message after which a box counts as silent. */
const minHeardWithin = 1000;

/**
 * @param boxes - Size of the fleet.
 * @returns Whether its boxes receive digests from aggregators instead of messages from every other box.
 */
export function isLargeFleet(boxes: number): boolean {
	return boxes > maxSmallFleet;
}

/**
 * @param boxes - Size of the fleet.
 * @returns Mean milliseconds between two rounds of a box.
 */
export function exchangeInterval(boxes: number): number {
	return isLargeFleet(boxes) ? largeInterval * Math.max(1, boxes / boxesAtLargeInterval) : smallInterval;
}

/**
 * Adds jitter, so that the rounds of different boxes drift apart. Boxes that start together would otherwise send to an
 * aggregator at the same moment; its answers would overflow the queue of its link, and the last ones would be lost in each
 * round.
 *
 * @param interval - Mean milliseconds between two rounds.
 * @param random - A number from 0 to 1.
 * @returns Milliseconds until the next round.
 */
export function exchangePause(interval: number, random: number): number {
	return interval * (1 + (pauseJitter * (random - 0.5)));
}

/** A peer and its rank in the aggregator order; lower ranks come first. */
type Ranked = {readonly peer: Peer; readonly rank: number};

/**
 * The topology from the view of one box. Aggregators are not configured: the order follows from the names and capacities of the
 * boxes that answer.
 */
export class ExchangeTopology {
	/**
	 * @param self - This box.
	 * @param peers - The other boxes.
	 * @returns The topology.
	 */
	static create({name, capacity}: Pick<MemberAddress, 'name' | 'capacity'>, peers: PeerTable): ExchangeTopology {
		return new ExchangeTopology({name, capacity: capacity ?? 0}, peers);
	}

	private readonly name: string;
	private readonly ownRank: number;
	/** Hashes of names, cached because the order is needed for each message and each request. */
	private readonly ranks = new Map<string, number>();
	private order: {readonly ranked: readonly Ranked[]; readonly isFirst: boolean; readonly changes: number} | undefined;

	private constructor(self: {readonly name: string; readonly capacity: number}, private readonly peers: PeerTable) {
		this.name = self.name;
		this.ownRank = this.rankOf(self);
	}

	/** Whether boxes receive digests from aggregators instead of messages from every other box. */
	get isLarge(): boolean {
		return isLargeFleet(this.peers.boxes);
	}

	/** Whether this box receives messages from all others and watches the store. */
	get isAggregator(): boolean {
		return !this.isLarge || this.orderNow().isFirst;
	}

	/** The other boxes that receive messages from all boxes; in a small fleet all others. */
	get aggregators(): readonly Peer[] {
		return this.isLarge ? this.ranked().slice(0, aggregatorCount).map(({peer}) => peer) : this.peers.all;
	}

	/**
	 * @param name - Name of a task that only one box should do.
	 * @returns Whether this box should do it: all boxes that receive messages from the same boxes agree on the owner, which is
	 * an aggregator in a large fleet.
	 */
	owns(name: string): boolean {
		return this.isAmongOwners(name, 1);
	}

	/**
	 * @param name - Name of a task that several boxes do.
	 * @param count - Number of these boxes.
	 * @returns Whether this box does it, as far as it hears the others.
	 */
	isAmongOwners(name: string, count: number): boolean {
		return this.isAggregator && this.ownersOf(name, count).includes(this.name);
	}

	/**
	 * @param name - Name of a task that several boxes do.
	 * @param count - Number of these boxes.
	 * @returns The names of the boxes that do it, as far as this box hears them.
	 */
	ownersOf(name: string, count: number): readonly string[] {
		return rankOwners(name, this.isLarge ? this.aggregatorNames : [this.name, ...this.peers.heard.map(({address}) => address.name)]).slice(0, count);
	}

	/** Milliseconds between two rounds, on average. */
	get interval(): number {
		return exchangeInterval(this.peers.boxes);
	}

	/**
	 * @param random - A number from 0 to 1.
	 * @returns Milliseconds until the next round.
	 */
	pause(random: number): number {
		return exchangePause(this.interval, random);
	}

	/** Milliseconds within which a message is expected from each box that sends to this one. */
	get heardWithin(): number {
		return Math.max(minHeardWithin, this.interval * roundsHeardWithin);
	}

	/**
	 * @param round - Number of the round.
	 * @returns The boxes to send to in this round.
	 */
	targets(round: number): readonly Peer[] {
		const {aggregators} = this;
		if (!this.isLarge) {
			return aggregators;
		}

		const skipped = round % roundsBetweenTrials === 0
			? this.peers.all.filter(({unanswered}) => unanswered >= maxUnanswered)
			: [];
		const [trial] = skipped.sort((left, right) => this.rankOf(left.address) - this.rankOf(right.address));
		return trial ? [...aggregators, trial] : aggregators;
	}

	/**
	 * @param count - Number of boxes to name.
	 * @param round - Number of the round; the names rotate from round to round.
	 * @param includesSuccessors - Whether to add the aggregators and their successors, at the front.
	 * @returns Boxes to list as members in a message.
	 */
	membersToName(count: number, round: number, includesSuccessors = true): readonly Peer[] {
		const {heard} = this.peers;
		const first = this.isLarge && includesSuccessors ? this.ranked().filter(({peer}) => heard.includes(peer)).slice(0, successorsNamed).map(({peer}) => peer) : [];
		const all = this.isLarge ? heard : this.peers.all;
		const start = all.length === 0 ? 0 : (round * count) % all.length;
		const others = [...all, ...all].slice(start, start + Math.min(count, all.length));
		return [...new Set([...first, ...others])];
	}

	/** Names of all aggregators of a large fleet. This box, if it is one, takes the place of the last other box. */
	private get aggregatorNames(): readonly string[] {
		const others = this.aggregators.map(({address}) => address.name);
		return this.isAggregator ? [this.name, ...others.slice(0, aggregatorCount - 1)] : others;
	}

	/** Peers that are believed to answer, in the order that all boxes agree on. */
	private ranked(): readonly Ranked[] {
		return this.orderNow().ranked;
	}

	private orderNow(): NonNullable<typeof this.order> {
		const {changes} = this.peers;
		if (this.order?.changes !== changes) {
			const ranked = this.peers.all
				.filter(({unanswered, last}) => unanswered < maxUnanswered && last?.isStopping !== true)
				.map(peer => ({peer, rank: this.rankOf(peer.address)}))
				.sort((left, right) => left.rank - right.rank);
			const before = ranked.findIndex(({rank}) => rank >= this.ownRank);
			this.order = {ranked, isFirst: (before === -1 ? ranked.length : before) < aggregatorCount, changes};
		}

		return this.order;
	}

	/** Boxes with more capacity come first; the hash of the name orders boxes of equal capacity. */
	private rankOf({name, capacity = 0}: Pick<MemberAddress, 'name' | 'capacity'>): number {
		return getOrCreate(this.ranks, name, () => hashText(`aggregator\n${name}`)) - (capacity * hashRange);
	}
}
