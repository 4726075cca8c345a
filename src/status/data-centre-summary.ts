/**
 * Summary of the boxes of a data centre, in one object that the holder of a lease writes. It is for operators only;
 * the system makes no decision from it.
 */
import * as Schema from 'effect/Schema';
import {BoxId, DataCentre} from '../base/identifiers.js';

/** State of one entry box in a summary. */
export const BoxSummary = Schema.Struct({
	box: BoxId,
	tableVersion: Schema.Number,
	inProgress: Schema.Number,
	isStopping: Schema.Boolean,
});

/** Summary of one data centre. */
export const DataCentreSummary = Schema.Struct({
	dataCentre: DataCentre,
	/** Box that wrote it. */
	writer: BoxId,
	/** Increases with each write, so that a reader can detect a summary that is no longer updated. */
	sequence: Schema.Number,
	boxes: Schema.Array(BoxSummary),
	/** Upstreams that are leaving. */
	leaving: Schema.Array(BoxId),
});
export type DataCentreSummary = typeof DataCentreSummary.Type;

const prefix = 'summaries/';

/**
 * @param dataCentre - Name of the data centre.
 * @returns Name of the object that holds its summary.
 */
export function summaryKey(dataCentre: DataCentre): string {
	return prefix + dataCentre;
}

/** Prefix of the names of all summary objects. */
export const summaryPrefix = prefix;

const decode = Schema.decodeUnknownResult(Schema.fromJsonString(DataCentreSummary));

/**
 * @param value - Value of the object.
 * @returns The summary, or the decoding error.
 */
export function decodeSummary(value: string) {
	return decode(value);
}
