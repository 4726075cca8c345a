/**
 * The table with its version, as it stands in the Object API.
 */
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {decodeWithFaults, type Fault} from '../base/faults.js';
import type {ObjectVersion} from '../external/object-store.js';
import {checkTable, type Table} from './table.js';

/** Name of the object that holds the table in force. */
export const tableKey = 'table';

/**
 * @param edit - Id of an edit.
 * @returns Name of the object that keeps the table it made.
 */
export const historyKey = (edit: string): string => `history/${edit}`;

/** Who changed the table, when and how; kept with it. */
export const TableEdit = Schema.Struct({
	/** Unique a change, so that a lost answer can be settled by reading back. */
	id: Schema.String,
	author: Schema.String,
	comment: Schema.String,
	/** Milliseconds since the epoch on the operator's machine; for people only. */
	at: Schema.Number,
	/** Version it was edited from. */
	base: Schema.Number,
	/** The edit that made that version; empty for the first. */
	previous: Schema.String,
});
export type TableEdit = typeof TableEdit.Type;

const Envelope = Schema.Struct({edit: TableEdit, table: Schema.Unknown});

/** A table that was accepted. */
export type VersionedTable = {
	readonly version: ObjectVersion;
	readonly edit: TableEdit;
	readonly table: Table;
};

/**
 * @param edit - Who and how.
 * @param table - The new table.
 * @returns The value to store.
 */
export function encodeVersionedTable(edit: TableEdit, table: Table): string {
	return JSON.stringify({edit, table});
}

/**
 * @param version - Version of the object.
 * @param value - Its value.
 * @returns The table, or what is wrong with it.
 */
export function decodeVersionedTable(version: ObjectVersion, value: string): Result.Result<VersionedTable, readonly Fault[]> {
	return Result.flatMap(
		Result.flatMap(parseJson(value), input => decodeWithFaults(Envelope, input)),
		({edit, table}) => Result.map(checkTable(table), checked => ({version, edit, table: checked})),
	);
}

function parseJson(text: string): Result.Result<unknown, readonly Fault[]> {
	try {
		return Result.succeed(JSON.parse(text) as unknown);
	} catch {
		return Result.fail([{path: '', value: text.slice(0, 20), expected: 'JSON'}]);
	}
}
