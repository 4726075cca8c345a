/**
 * The record of the duties in the store: their holder and its last decisions. A new holder can continue from it after
 * any write.
 */
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';

/** A standing order: the desired number of replicas of each kind in a data centre. */
const StandingOrder = Schema.Struct({
	service: Schema.String,
	dataCentre: Schema.String,
	/** Replicas that the platform may reclaim. */
	reclaimable: Schema.Number,
	/** Replicas that the platform does not reclaim. */
	kept: Schema.Number,
});
export type StandingOrder = typeof StandingOrder.Type;

/** A decided usage report; a retry sends the same counts. */
const DecidedReport = Schema.Struct({
	window: Schema.Number,
	counts: Schema.Array(Schema.Tuple([Schema.String, Schema.Number])),
});

/** The record of the duties. */
export const DutyRecord = Schema.Struct({
	/** Name of the box; empty if no box holds the duties. */
	holder: Schema.String,
	incarnation: Schema.String,
	/** Name of the box that held the duties before; absent if there was none. */
	formerHolder: Schema.optionalKey(Schema.String),
	/** Fencing token; increases with each holder, even if the store has lost holders: see `firstFenceOf`. */
	fence: Schema.Number,
	/** Increases with each decision, so that each write changes the object. */
	decision: Schema.Number,
	report: Schema.optionalKey(DecidedReport),
	/** Windows before this one may have been reported by a holder that the store has lost; absent if it has lost none. */
	reportsFrom: Schema.optionalKey(Schema.Number),
	orders: Schema.Array(StandingOrder),
	/** The first fleet of each service: its replicas when the system first started. */
	baseline: Schema.Array(Schema.Struct({
		service: Schema.String,
		replicas: Schema.Number,
		/** Whether the first fleet is no longer ordered. */
		isSettled: Schema.optionalKey(Schema.Boolean),
		/** Replicas needed for the load, as last measured; absent before any load. */
		needed: Schema.optionalKey(Schema.Number),
	})),
});
export type DutyRecord = typeof DutyRecord.Type;
/** The first fleet of one service. */
export type FirstFleet = DutyRecord['baseline'][number];

/** Fences reserved for each era of the store. */
const fencesPerEra = 1_000_000;

/**
 * @param era - Era of the store.
 * @returns The lowest fence of a holder in that era. A restore begins a new era and may lose holders, whose fences must not be reused.
 */
export const firstFenceOf = (era: number): number => (era * fencesPerEra) + 1;

/** The record before any box has held the duties. */
export const firstRecord: DutyRecord = {
	holder: '', incarnation: '', fence: 0, decision: 0, orders: [], baseline: [],
};

/** Decodes the record. */
export const decodeDutyRecord = createDecoder(DutyRecord, 'ignore');
