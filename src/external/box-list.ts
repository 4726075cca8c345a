/**
 * The platform's list of boxes, which may be outdated, and its reclaim notices, which arrive promptly.
 */
import type * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import {BoxId, DataCentre, PoolName} from '../base/identifiers.js';
import type {StoreFailure} from './object-store.js';

/** The kind of process that runs on a box. */
export const BoxRole = Schema.Literals(['entry', 'model-engine', 'plain-service']);

/** An entry of the box list. */
export const Box = Schema.Struct({
	id: BoxId,
	role: BoxRole,
	dataCentre: DataCentre,
	host: Schema.String,
	port: Schema.Number,
	/** Port for connections between entry boxes; absent for upstreams. */
	peerPort: Schema.optionalKey(Schema.Number),
	/** Pool of an upstream; absent for entry boxes. */
	pool: Schema.optionalKey(PoolName),
	machineClass: Schema.String,
	reclaimable: Schema.Boolean,
	/** Price units an hour. */
	price: Schema.Number,
	state: Schema.Literals(['live', 'leaving']),
});
export type Box = typeof Box.Type;

/** The box list at one version. */
export type BoxListing = {
	readonly version: number;
	readonly boxes: readonly Box[];
	/** Descriptions of the faults of invalid entries, which are skipped. */
	readonly unreadable?: readonly string[];
};

/** Notice that the platform reclaims a box. */
export type ReclaimNotice = {
	readonly box: BoxId;
	/** Milliseconds from the platform's answer until it removes the box. */
	readonly remaining: number;
};

/** Reclaim notices after a position. */
export type ReclaimNotices = {
	readonly position: number;
	readonly notices: readonly ReclaimNotice[];
	/** Descriptions of the faults of invalid notices, which are skipped. */
	readonly unreadable?: readonly string[];
};

/** Reads the box list and the reclaim notices. */
export abstract class BoxList {
	/**
	 * @param after - Known version.
	 * @param wait - Maximum milliseconds to wait for a newer version.
	 * @returns The list, or `undefined` if it did not change in that time.
	 */
	abstract boxes(after: number, wait: number): Effect.Effect<BoxListing | undefined, StoreFailure>;

	/**
	 * @param after - Position up to which notices were read.
	 * @param wait - Maximum milliseconds to wait for a new notice.
	 * @returns The new notices; none if none arrived in that time.
	 */
	abstract notices(after: number, wait: number): Effect.Effect<ReclaimNotices, StoreFailure>;
}
