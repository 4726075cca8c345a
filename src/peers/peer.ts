/**
 * What an entry box offers its peers. The same class stands for this box and for a remote one.
 */
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import type {
	Exchange, ExchangeAnswer, LeavingReport, RecordQuery, RecordSnapshot, StoredTable,
} from './peer-messages.js';

/** A peer gave no answer; whether it took the message is not known. */
export class PeerFailure extends Data.TaggedError('PeerFailure')<{
	readonly detail: string;
}> {}

/** An entry box, as its peers see it. */
export abstract class Peer {
	/**
	 * Tells how it stands, and asks for parts of ceilings.
	 *
	 * @param exchange - What the asker says.
	 * @returns How the peer stands, and what it grants.
	 */
	abstract exchange(exchange: Exchange): Effect.Effect<ExchangeAnswer, PeerFailure>;

	/**
	 * Tells of boxes that are leaving, at once.
	 *
	 * @param reports - Which, and how soon.
	 */
	abstract announceLeaving(reports: readonly LeavingReport[]): Effect.Effect<void, PeerFailure>;

	/** @returns The table in force at the peer; `undefined` where it has none. */
	abstract fetchTable(): Effect.Effect<StoredTable | undefined, PeerFailure>;

	/**
	 * @param query - Which record, and whether the asker goes on with it.
	 * @returns The record; `undefined` where the peer has none.
	 */
	abstract fetchRecord(query: RecordQuery): Effect.Effect<RecordSnapshot | undefined, PeerFailure>;

	/**
	 * Hands requests over, which the peer goes on with.
	 *
	 * @param records - The requests; their runs have ended at the sender.
	 * @returns How many the peer took.
	 */
	abstract adoptRecords(records: readonly RecordSnapshot[]): Effect.Effect<number, PeerFailure>;
}
