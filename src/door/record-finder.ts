/**
 * Finds records at other boxes.
 */
import type * as Effect from 'effect/Effect';
import type {RecordName} from '../records/request-record.js';
import type {RecordSnapshot} from '../peers/peer-messages.js';

/** Asks the peers. */
export abstract class RecordFinder {
	/**
	 * @param name - Client account and key.
	 * @param isTakingOver - Whether this box goes on with the request.
	 * @returns The furthest record that a peer has; `undefined` where none has one.
	 */
	abstract lookUp(name: RecordName, isTakingOver: boolean): Effect.Effect<RecordSnapshot | undefined>;
}
