/**
 * The interface that an entry box offers to its peers, implemented by the local box and by the client of a remote one.
 */
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import type {
	Exchange, ExchangeAnswer, LeavingReport, RecordQuery, RecordSnapshot, StoredTable,
} from './peer-messages.js';

/** A call to a peer failed or timed out; whether the peer processed the message is not known. */
export class PeerFailure extends Data.TaggedError('PeerFailure')<{
	readonly detail: string;
}> {}

/** An entry box, as its peers see it. */
export abstract class Peer {
	/**
	 * Exchanges state and requests shares of ceilings.
	 *
	 * @param exchange - State and demands of the caller.
	 * @returns The state of the peer and the rates that it grants.
	 */
	abstract exchange(exchange: Exchange): Effect.Effect<ExchangeAnswer, PeerFailure>;

	/**
	 * Reports boxes that are leaving, without waiting for the next exchange.
	 *
	 * @param reports - The boxes and the time until they stop.
	 */
	abstract announceLeaving(reports: readonly LeavingReport[]): Effect.Effect<void, PeerFailure>;

	/** @returns The active table at the peer; `undefined` where it has none. */
	abstract fetchTable(): Effect.Effect<StoredTable | undefined, PeerFailure>;

	/**
	 * @param query - Key of the record, and whether the caller continues the request.
	 * @returns The record; `undefined` where the peer has none.
	 */
	abstract fetchRecord(query: RecordQuery): Effect.Effect<RecordSnapshot | undefined, PeerFailure>;

	/**
	 * Hands over requests for the peer to continue.
	 *
	 * @param records - The requests; their runs have ended at the sender.
	 * @returns The number of requests that the peer accepted.
	 */
	abstract adoptRecords(records: readonly RecordSnapshot[]): Effect.Effect<number, PeerFailure>;
}
