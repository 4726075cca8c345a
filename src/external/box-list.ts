/**
 * The platform's list of boxes, which lags, and its reclaim notices, which are prompt.
 */
import type * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import {BoxId, DataCentre, PoolName} from '../base/identifiers.js';
import type {StoreFailure} from './object-store.js';

/** What runs on a box. */
export const BoxRole = Schema.Literals(['entry', 'model-engine', 'plain-service']);

/** A box of the list. */
export const Box = Schema.Struct({
	id: BoxId,
	role: BoxRole,
	dataCentre: DataCentre,
	host: Schema.String,
	port: Schema.Number,
	/** Port between entry boxes; absent on upstream boxes. */
	peerPort: Schema.optionalKey(Schema.Number),
	/** The pool it serves; absent on entry boxes. */
	pool: Schema.optionalKey(PoolName),
	machineClass: Schema.String,
	reclaimable: Schema.Boolean,
	/** Price units an hour. */
	price: Schema.Number,
	state: Schema.Literals(['live', 'leaving']),
});
export type Box = typeof Box.Type;

/** The list at one moment. */
export type BoxListing = {
	readonly version: number;
	readonly boxes: readonly Box[];
	/** What is wrong with each entry that cannot be read and is left out. */
	readonly unreadable?: readonly string[];
};

/** The platform takes a box back. */
export type ReclaimNotice = {
	readonly box: BoxId;
	/** Milliseconds until the box goes, counted from when the platform answered. */
	readonly remaining: number;
};

/** Notices since a position. */
export type ReclaimNotices = {
	readonly position: number;
	readonly notices: readonly ReclaimNotice[];
	/** What is wrong with each notice that cannot be read and is left out. */
	readonly unreadable?: readonly string[];
};

/** Reads the box list and the notices. */
export abstract class BoxList {
	/**
	 * @param after - Version already known.
	 * @param wait - Milliseconds to wait for a newer one.
	 * @returns The list, or `undefined` where it did not change in that time.
	 */
	abstract boxes(after: number, wait: number): Effect.Effect<BoxListing | undefined, StoreFailure>;

	/**
	 * @param after - Position already read.
	 * @param wait - Milliseconds to wait for further ones.
	 * @returns Further notices; none where none came in that time.
	 */
	abstract notices(after: number, wait: number): Effect.Effect<ReclaimNotices, StoreFailure>;
}
