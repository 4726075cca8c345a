/**
 * Who tells whom: in a small fleet each box tells all others; in a large one each tells a few aggregators, which answer
 * with a digest of what all boxes told them.
 *
 * @remarks Source: docs/DESIGN.md, "The exchange".
 */
import {hashText} from '../base/rendezvous.js';
import type {Peer, PeerTable} from './peer-table.js';

/** Boxes up to which each tells all others. */
const largestSmallFleet = 12;
/** Aggregators of a large fleet: two may go at once without a gap. */
const aggregatorCount = 3;
/**
 * Boxes, first in order, that are named in a digest: those that lose their aggregators must go on to the same ones, or
 * each would hear a few boxes alone.
 */
const successorsTold = 15;
/** Milliseconds between two rounds. */
const smallInterval = 200;
const largeInterval = 400;
/** Boxes from which rounds of a large fleet grow longer, so that an aggregator's work does not grow with the fleet. */
const boxesAtLargeInterval = 100;
/** Messages without an answer after which an aggregator is passed over. */
const mostUnanswered = 5;
/** Rounds after which one that was passed over is asked again. */
const roundsBetweenTrials = 5;
/** Rounds without a message after which a box counts as silent. */
const roundsHeardWithin = 5;
const leastHeardWithin = 1000;

const rankOf = (name: string): number => hashText(`aggregator\n${name}`);

/** The topology, as one box sees it. No box is set aside: the order follows from the names of those that answer. */
export class ExchangeTopology {
	/**
	 * @param self - Name of this box.
	 * @param peers - The other boxes.
	 * @returns The topology.
	 */
	static create(self: string, peers: PeerTable): ExchangeTopology {
		return new ExchangeTopology(self, peers);
	}

	private readonly ownRank: number;

	private constructor(self: string, private readonly peers: PeerTable) {
		this.ownRank = rankOf(self);
	}

	/** Whether digests of aggregators take the place of each box's own word. */
	get isLarge(): boolean {
		return this.peers.boxes > largestSmallFleet;
	}

	/** Whether this box is told by all others and follows the store. */
	get isAggregator(): boolean {
		return !this.isLarge || this.ranked().filter(({rank}) => rank < this.ownRank).length < aggregatorCount;
	}

	/** The other boxes that are told by all; in a small fleet all others. */
	get aggregators(): readonly Peer[] {
		return this.isLarge ? this.ranked().slice(0, aggregatorCount).map(({peer}) => peer) : this.peers.all;
	}

	/** Milliseconds between two rounds. */
	get interval(): number {
		return this.isLarge ? largeInterval * Math.max(1, this.peers.boxes / boxesAtLargeInterval) : smallInterval;
	}

	/** Milliseconds within which a box that tells this one has been heard. */
	get heardWithin(): number {
		return Math.max(leastHeardWithin, this.interval * roundsHeardWithin);
	}

	/**
	 * @param round - Number of the round.
	 * @returns The boxes to tell in it.
	 */
	targets(round: number): readonly Peer[] {
		const {aggregators} = this;
		if (!this.isLarge) {
			return aggregators;
		}

		const passedOver = round % roundsBetweenTrials === 0
			? this.peers.all.filter(({unanswered}) => unanswered >= mostUnanswered)
			: [];
		const [trial] = passedOver.sort((left, right) => rankOf(left.address.name) - rankOf(right.address.name));
		return trial ? [...aggregators, trial] : aggregators;
	}

	/** @returns Boxes to name to others: the aggregators first. */
	namesToTell(count: number, round: number): readonly Peer[] {
		const {heard} = this.peers;
		const first = this.isLarge ? this.ranked().filter(({peer}) => heard.includes(peer)).slice(0, successorsTold).map(({peer}) => peer) : [];
		const all = this.isLarge ? heard : this.peers.all;
		const start = all.length === 0 ? 0 : (round * count) % all.length;
		const others = [...all, ...all].slice(start, start + Math.min(count, all.length));
		return [...new Set([...first, ...others])];
	}

	/** Those that answer as far as is known, in the order that all boxes agree on. */
	private ranked(): ReadonlyArray<{readonly peer: Peer; readonly rank: number}> {
		return this.peers.all
			.filter(({unanswered, last}) => unanswered < mostUnanswered && last?.isStopping !== true)
			.map(peer => ({peer, rank: rankOf(peer.address.name)}))
			.sort((left, right) => left.rank - right.rank);
	}
}
