/**
 * Looks up a request record at all reachable peers.
 */
import * as Effect from 'effect/Effect';
import {RecordFinder} from '../door/record-finder.js';
import type {ReachablePeer} from '../peers/peer-links.js';
import type {RecordSnapshot} from '../peers/peer-messages.js';
import type {RecordName} from '../records/request-record.js';

/** Finds a record by asking the peers. */
export class PeerRecordFinder extends RecordFinder {
	/**
	 * @param peers - Returns the peers that can be reached.
	 * @returns A finder that asks these peers.
	 */
	static create(peers: () => readonly ReachablePeer[]): PeerRecordFinder {
		return new PeerRecordFinder(peers);
	}

	private constructor(private readonly peers: () => readonly ReachablePeer[]) {
		super();
	}

	override lookUp({account, key}: RecordName, isTakingOver: boolean): Effect.Effect<RecordSnapshot | undefined> {
		const queries = Effect.all(this.peers().map(({peer}) => peer.fetchRecord({account, key, isTakingOver})
			.pipe(Effect.catch(() => Effect.succeed(undefined)))), {concurrency: 'unbounded'});
		return queries.pipe(Effect.map(answers => answers
			.filter(snapshot => snapshot !== undefined)
			.sort((left, right) => right.events.length - left.events.length || rankOf(left) - rankOf(right))[0]));
	}
}

/** Orders records with equally many events: a finished one is complete, any other may have been interrupted after these events. */
function rankOf({state}: RecordSnapshot): number {
	return state === 'finished' ? 0 : 1;
}
