/**
 * What entry boxes say to each other, with the schemas that check it at the door between them.
 */
import * as Schema from 'effect/Schema';
import {
	BoxId, ClientAccountName, DataCentre, RequestKey,
} from '../base/identifiers.js';

/** A box that is leaving, as told to a peer. */
export const LeavingReport = Schema.Struct({
	box: BoxId,
	/** Milliseconds until it goes; absent where nobody said. */
	remaining: Schema.optionalKey(Schema.Number),
});
export type LeavingReport = typeof LeavingReport.Type;

/** What a box says of itself. */
export const PeerState = Schema.Struct({
	box: BoxId,
	dataCentre: DataCentre,
	tableVersion: Schema.Number,
	inProgress: Schema.Number,
	isStopping: Schema.Boolean,
	leaving: Schema.Array(LeavingReport),
});
export type PeerState = typeof PeerState.Type;

/** Said a few times a second on every link. */
export const Exchange = Schema.Struct({
	state: PeerState,
	/** What the sender asks for of ceilings that the receiver owns: places in the table and rates in turn. */
	demands: Schema.Array(Schema.Number),
});
export type Exchange = typeof Exchange.Type;

/** The answer to {@link Exchange}. */
export type ExchangeAnswer = {
	readonly state: PeerState;
	/** Like the demands; empty where the receiver has another version of the table. */
	readonly grants: readonly number[];
};

/** The table as the store holds it, for a box that cannot read the store. */
export type StoredTable = {
	readonly version: number;
	readonly value: string;
};

/** A record on its way to another box. */
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
	/** Milliseconds until the caller's deadline. */
	remaining: Schema.Number,
});
export type RecordSnapshot = typeof RecordSnapshot.Type;

/** Asks a peer for a record. */
export const RecordQuery = Schema.Struct({
	account: ClientAccountName,
	key: RequestKey,
	/** The asker goes on with the request: the peer stops its own run and forgets it. */
	isTakingOver: Schema.Boolean,
});
export type RecordQuery = typeof RecordQuery.Type;
