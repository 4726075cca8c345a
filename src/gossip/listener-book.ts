/**
 * Whom this box tells its state, and how often it has: one that has only begun to listen knows none of its counters, and
 * must not take those that are told later for new.
 */
import type {Peer} from './peer-table.js';

/** Messages with all counters that a new listener gets: some may be lost. */
const wholeStates = 3;

type Listener = {
	/** The start of its process that was told; `undefined` where it was never heard. */
	readonly incarnation: string | undefined;
	readonly times: number;
};

/** The book. */
export class ListenerBook {
	/** @returns A book of a box that has told nobody. */
	static create(): ListenerBook {
		return new ListenerBook();
	}

	private listeners: ReadonlyMap<string, Listener> = new Map();

	private constructor() {
		// Made by create().
	}

	/**
	 * Notes a round.
	 *
	 * @param targets - Whom this box tells in it.
	 * @returns Those that were told less than a few times in the rounds right before it.
	 */
	strangersAmong(targets: readonly Peer[]): ReadonlySet<Peer> {
		const before = this.listeners;
		const timesOf = ({address, last}: Peer): number => {
			const known = before.get(address.name);
			return known && known.incarnation === last?.incarnation ? known.times : 0;
		};

		this.listeners = new Map(targets.map(peer => [peer.address.name, {incarnation: peer.last?.incarnation, times: timesOf(peer) + 1}]));
		return new Set(targets.filter(peer => timesOf(peer) < wholeStates));
	}
}
