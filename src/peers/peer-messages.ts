/**
 * Messages between entry boxes, with the schemas that validate them on receipt.
 */
import * as Schema from 'effect/Schema';
import {
	BoxId, ClientAccountName, DataCentre, RequestKey,
} from '../base/identifiers.js';

/** Maximum size of one message in bytes; a hand-over of records is split into batches below it. */
export const maxMessageBytes = 16 * 1024 * 1024;

/** Report to a peer that a box is leaving. */
export const LeavingReport = Schema.Struct({
	box: BoxId,
	/** Milliseconds until it stops; absent where that is not known. */
	remaining: Schema.optionalKey(Schema.Number),
});
export type LeavingReport = typeof LeavingReport.Type;

/** State that a box reports of itself. */
export const PeerState = Schema.Struct({
	box: BoxId,
	dataCentre: DataCentre,
	tableVersion: Schema.Number,
	inProgress: Schema.Number,
	isStopping: Schema.Boolean,
	leaving: Schema.Array(LeavingReport),
});
export type PeerState = typeof PeerState.Type;

/** Sent about once a second on every link. */
export const Exchange = Schema.Struct({
	state: PeerState,
	/** Demands of the sender for ceilings that the receiver owns: pairs of a row index in the table and a rate. */
	demands: Schema.Array(Schema.Number),
});
export type Exchange = typeof Exchange.Type;

/** The answer to {@link Exchange}. */
export const ExchangeAnswer = Schema.Struct({
	state: PeerState,
	/** Granted rates, encoded like the demands; empty where the receiver has another version of the table. */
	grants: Schema.Array(Schema.Number),
});
export type ExchangeAnswer = typeof ExchangeAnswer.Type;

/** The table in the form of the store, for a box that cannot read the store. */
export const StoredTable = Schema.Struct({
	version: Schema.Number,
	value: Schema.String,
});
export type StoredTable = typeof StoredTable.Type;

/** Serialised request record for transfer to another box. */
export const RecordSnapshot = Schema.Struct({
	origin: Schema.Struct({
		account: ClientAccountName,
		key: RequestKey,
		fingerprint: Schema.String,
		service: Schema.String,
		kind: Schema.String,
		body: Schema.Record(Schema.String, Schema.Unknown),
		requestId: Schema.String,
		isNamed: Schema.Boolean,
	}),
	state: Schema.Literals(['running', 'paused', 'finished', 'refused']),
	events: Schema.Array(Schema.String),
	usageEvent: Schema.optionalKey(Schema.String),
	/** Milliseconds until the client's deadline. */
	remaining: Schema.Number,
});
export type RecordSnapshot = typeof RecordSnapshot.Type;

/** Query for a request record at a peer. */
export const RecordQuery = Schema.Struct({
	account: ClientAccountName,
	key: RequestKey,
	/** Whether the sender continues the request: the peer then stops its own run and removes the record. */
	isTakingOver: Schema.Boolean,
});
export type RecordQuery = typeof RecordQuery.Type;
