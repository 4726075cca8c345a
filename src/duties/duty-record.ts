/**
 * What stands in the store about the duties: who holds them, and what was last decided. The next holder goes on
 * from it at any step.
 */
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';

/** An order that stands: how many replicas of each sort a data centre is to have. */
const StandingOrder = Schema.Struct({
	service: Schema.String,
	dataCentre: Schema.String,
	/** Replicas that may be withdrawn. */
	reclaimable: Schema.Number,
	kept: Schema.Number,
});
export type StandingOrder = typeof StandingOrder.Type;

/** A report that was decided on; it is never sent with other counts. */
const DecidedReport = Schema.Struct({
	window: Schema.Number,
	counts: Schema.Array(Schema.Tuple([Schema.String, Schema.Number])),
});

/** The record. */
export const DutyRecord = Schema.Struct({
	/** Name of the box; empty where nobody holds the duties. */
	holder: Schema.String,
	incarnation: Schema.String,
	/** Name of the box that held them before; absent where nobody did. */
	formerHolder: Schema.optionalKey(Schema.String),
	/** Rises with each holder, also where the store has lost holders: see `firstFenceOf`. */
	fence: Schema.Number,
	/** Rises with each decision, so that each write changes something. */
	decision: Schema.Number,
	report: Schema.optionalKey(DecidedReport),
	/** Windows before this one may have been reported by a holder that the store has lost; absent where it has lost none. */
	reportsFrom: Schema.optionalKey(Schema.Number),
	orders: Schema.Array(StandingOrder),
	/** Replicas that each service had when the system first started. */
	baseline: Schema.Array(Schema.Struct({
		service: Schema.String,
		replicas: Schema.Number,
		/** Whether that first fleet has been given up. */
		isSettled: Schema.optionalKey(Schema.Boolean),
		/** Replicas that carry the load, as last measured; absent before any load. */
		needed: Schema.optionalKey(Schema.Number),
	})),
});
export type DutyRecord = typeof DutyRecord.Type;
/** The first fleet of one service. */
export type FirstFleet = DutyRecord['baseline'][number];

const fencesPerEra = 1_000_000;

/**
 * @param era - Era of the store.
 * @returns The least fence of a holder in that era. The store may lose holders when a new era begins: their fences must not be given out again.
 */
export const firstFenceOf = (era: number): number => (era * fencesPerEra) + 1;

/** The record before anybody held the duties. */
export const firstRecord: DutyRecord = {
	holder: '', incarnation: '', fence: 0, decision: 0, orders: [], baseline: [],
};

/** Decodes the record. */
export const decodeDutyRecord = createDecoder(DutyRecord, 'ignore');
