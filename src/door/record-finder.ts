/**
 * Finds records of requests at other boxes.
 */
import type * as Effect from 'effect/Effect';
import type {RecordName} from '../records/request-record.js';
import type {RecordSnapshot} from '../peers/peer-messages.js';

/** Looks up records at the peers. */
export abstract class RecordFinder {
	/**
	 * @param name - Client account and key.
	 * @param isTakingOver - Whether this box is going to continue the request.
	 * @returns The record with the most events among the peers; `undefined` where no peer has one.
	 */
	abstract lookUp(name: RecordName, isTakingOver: boolean): Effect.Effect<RecordSnapshot | undefined>;
}
