/**
 * Reads and writes the history of software versions: the object in the store, the datagram with which a box sends it to others, and the one that asks for it.
 */
import {Buffer} from 'node:buffer';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import {decodeDatagram} from '../base/json-datagram.js';

const History = Schema.Struct({
	/** Era of the store in which it was written; a restore of the store to an earlier copy may have lost versions. */
	era: Schema.Finite,
	/** Milliseconds since the Unix epoch from which on it contains all versions. */
	completeFrom: Schema.Finite,
	services: Schema.Array(Schema.Struct({
		service: Schema.String,
		versions: Schema.Array(Schema.Struct({
			software: Schema.String,
			/** Milliseconds since the Unix epoch at which it was found to be no longer listed; absent while it is. */
			endedAt: Schema.optionalKey(Schema.Finite),
		})),
	})),
});
const Datagram = Schema.Struct({versions: Schema.Struct({revision: Schema.Finite, history: History})});
const Request = Schema.Struct({versionsWanted: Schema.Literal(true)});
const decodeLayout = createDecoder(Datagram, 'ignore');
const decodeRequest = createDecoder(Request, 'ignore');

/** The content of the object. */
export type StoredHistory = typeof History.Type;

/** The history, and its position in the store. */
export type WrittenHistory = typeof Datagram.Type['versions'];

/** Decodes the content of the object. */
export const decodeHistory = createDecoder(History, 'ignore');

/**
 * @param versions - What was written.
 * @returns The payload.
 */
export const encodeWrittenHistory = (versions: WrittenHistory): Uint8Array => Buffer.from(JSON.stringify({versions}));

/**
 * @param data - A payload from another box.
 * @returns What it wrote; `undefined` if the payload is malformed or of another kind.
 */
export const decodeWrittenHistory = (data: Uint8Array): WrittenHistory | undefined => decodeDatagram(data, decodeLayout)?.versions;

/** @returns The payload that asks another box for the history. */
export const encodeHistoryRequest = (): Uint8Array => Buffer.from(JSON.stringify({versionsWanted: true}));

/**
 * @param data - A payload from another box.
 * @returns Whether it asks for the history.
 */
export const isHistoryRequest = (data: Uint8Array): boolean => decodeDatagram(data, decodeRequest) !== undefined;
