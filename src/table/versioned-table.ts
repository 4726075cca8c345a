/**
 * The table with its version, as stored in the Object API.
 */
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {parseStrictJson} from '../base/bounded-json.js';
import {decodeWithFaults, type Fault} from '../base/faults.js';
import type {ObjectVersion} from '../external/object-store.js';
import {checkTable, type Table} from './table.js';

/** Name of the object that holds the table in force. */
export const tableKey = 'table';

/**
 * @param edit - Id of an edit.
 * @returns Name of the object in the history that holds the resulting table.
 */
export const historyKey = (edit: string): string => `history/${edit}`;

/** Describes a change of the table; stored with the table. */
export const TableEdit = Schema.Struct({
	/** Unique id, by which a writer whose answer was lost can find out whether the change was applied. */
	id: Schema.String,
	author: Schema.String,
	comment: Schema.String,
	/** Milliseconds since the epoch by the operator's clock; for display only. */
	at: Schema.Number,
	/** Version that the change is based on. */
	base: Schema.Number,
	/** Id of the edit that created the base version; empty for the first edit. */
	previous: Schema.String,
});
export type TableEdit = typeof TableEdit.Type;

const Envelope = Schema.Struct({edit: TableEdit, table: Schema.Unknown});

/** A valid table with its version. */
export type VersionedTable = {
	readonly version: ObjectVersion;
	readonly edit: TableEdit;
	readonly table: Table;
};

/**
 * @param edit - Description of the change.
 * @param table - The new table.
 * @returns The value to store.
 */
export function encodeVersionedTable(edit: TableEdit, table: Table): string {
	return JSON.stringify({edit, table});
}

/**
 * @param version - Version of the object.
 * @param value - Value of the object.
 * @returns The table, or its faults.
 */
export function decodeVersionedTable(version: ObjectVersion, value: string): Result.Result<VersionedTable, readonly Fault[]> {
	return Result.flatMap(
		Result.flatMap(parseJson(value), input => decodeWithFaults(Envelope, input)),
		({edit, table}) => Result.map(checkTable(table), checked => ({version, edit, table: checked})),
	);
}

function parseJson(text: string): Result.Result<unknown, readonly Fault[]> {
	try {
		return Result.succeed(parseStrictJson(text));
	} catch {
		return Result.fail([{path: '', value: text.slice(0, 20), expected: 'JSON'}]);
	}
}
