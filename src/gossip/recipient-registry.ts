/**
 * Tracks how often this box has sent its state to each recipient. A new recipient has none of its counters yet, and must not
 * count their later values as new usage.
 */
import type {Peer} from './peer-table.js';

/** Messages with all counters that a new recipient gets; more than one, since datagrams may be lost. */
const initialWholeStates = 3;

type Recipient = {
	/** The start of its process that was sent to; `undefined` where no message was received from it. */
	readonly incarnation: string | undefined;
	readonly times: number;
};

/** Recipients of this box's state in the latest round. */
export class RecipientRegistry {
	/** @returns A registry without recipients. */
	static create(): RecipientRegistry {
		return new RecipientRegistry();
	}

	private recipients: ReadonlyMap<string, Recipient> = new Map();

	private constructor() {
		// Made by create().
	}

	/**
	 * Records the recipients of a round.
	 *
	 * @param targets - The boxes that this box sends to in the round.
	 * @returns Those that received fewer than {@link initialWholeStates} messages in consecutive rounds up to now.
	 */
	newAmong(targets: readonly Peer[]): ReadonlySet<Peer> {
		const before = this.recipients;
		const timesOf = ({address, last}: Peer): number => {
			const known = before.get(address.name);
			return known && known.incarnation === last?.incarnation ? known.times : 0;
		};

		this.recipients = new Map(targets.map(peer => [peer.address.name, {incarnation: peer.last?.incarnation, times: timesOf(peer) + 1}]));
		return new Set(targets.filter(peer => timesOf(peer) < initialWholeStates));
	}
}
