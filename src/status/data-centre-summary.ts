/**
 * What the boxes of a data centre are doing, in one object that the holder of a lease writes. Operators read
 * it; no decision rests on it.
 */
import * as Schema from 'effect/Schema';
import {BoxId, DataCentre} from '../base/identifiers.js';

/** One entry box of a summary. */
export const BoxSummary = Schema.Struct({
	box: BoxId,
	tableVersion: Schema.Number,
	inProgress: Schema.Number,
	isStopping: Schema.Boolean,
});

/** The summary. */
export const DataCentreSummary = Schema.Struct({
	dataCentre: DataCentre,
	/** Box that wrote it. */
	writer: BoxId,
	/** Grows with each writing, so that a reader can tell a summary that is no longer written. */
	sequence: Schema.Number,
	boxes: Schema.Array(BoxSummary),
	/** Upstreams that are leaving. */
	leaving: Schema.Array(BoxId),
});
export type DataCentreSummary = typeof DataCentreSummary.Type;

const prefix = 'summaries/';

/**
 * @param dataCentre - Which one.
 * @returns Name of the object that holds its summary.
 */
export function summaryKey(dataCentre: DataCentre): string {
	return prefix + dataCentre;
}

/** How the names of all summaries begin. */
export const summaryPrefix = prefix;

const decode = Schema.decodeUnknownResult(Schema.fromJsonString(DataCentreSummary));

/**
 * @param value - Value of the object.
 * @returns The summary, or why it does not decode.
 */
export function decodeSummary(value: string) {
	return decode(value);
}
