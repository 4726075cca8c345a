/**
 * Looks for a record at every peer that answers.
 */
import * as Effect from 'effect/Effect';
import {RecordFinder} from '../door/record-finder.js';
import type {ReachablePeer} from '../peers/peer-links.js';
import type {RecordSnapshot} from '../peers/peer-messages.js';
import type {RecordName} from '../records/request-record.js';

/** Asks peers. */
export class PeerRecordFinder extends RecordFinder {
	/**
	 * @param peers - Says which answer.
	 * @returns The finder.
	 */
	static create(peers: () => readonly ReachablePeer[]): PeerRecordFinder {
		return new PeerRecordFinder(peers);
	}

	private constructor(private readonly peers: () => readonly ReachablePeer[]) {
		super();
	}

	override lookUp({account, key}: RecordName, isTakingOver: boolean): Effect.Effect<RecordSnapshot | undefined> {
		const asked = Effect.all(this.peers().map(({peer}) => peer.fetchRecord({account, key, isTakingOver})
			.pipe(Effect.catch(() => Effect.succeed(undefined)))), {concurrency: 'unbounded'});
		return asked.pipe(Effect.map(answers => answers
			.filter(snapshot => snapshot !== undefined)
			.sort((left, right) => right.events.length - left.events.length || rankOf(left) - rankOf(right))[0]));
	}
}

/** As many events may be all of them, or those that came before a break. */
function rankOf({state}: RecordSnapshot): number {
	return state === 'finished' ? 0 : 1;
}
