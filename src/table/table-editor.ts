/**
 * Changes the table in the Object API. A change names the version that it is based on, so that concurrent changes are
 * detected as a conflict. If the answer to a write is lost, the id of the edit is read back.
 */
import {randomUUID} from 'node:crypto';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import type {ObjectStore, ObjectVersion, StoreFailure} from '../external/object-store.js';
import {emptyTable, type Table} from './table.js';
import {
	decodeVersionedTable, encodeVersionedTable, historyKey, tableKey, type TableEdit, type VersionedTable,
} from './versioned-table.js';

/** Another operator changed the table since the base version. The edit was not applied. */
export class TableConflict extends Data.TaggedError('TableConflict')<{
	/** The table that the change is based on; `undefined` if it is not in the history. */
	readonly base: VersionedTable | undefined;
	/** The table in force. */
	readonly current: VersionedTable;
}> {}

/** The object in the store cannot be decoded as a table. */
export class TableUnreadable extends Data.TaggedError('TableUnreadable')<{
	readonly detail: string;
}> {}

/** It is unknown whether the change took effect, since the store did not answer. */
export class EditUnsettled extends Data.TaggedError('EditUnsettled')<{
	readonly edit: string;
	readonly detail: string;
}> {}

/** A proposed change of the table. */
export type TableProposal = {
	readonly base: ObjectVersion;
	readonly table: Table;
	readonly author: string;
	readonly comment: string;
};

/** Attempts to write an edit until its outcome is known. */
const maxWriteAttempts = 10;
/** Milliseconds between two attempts. */
const writeAttemptIntervalMs = 300;
/** Maximum number of tables read from the history to find a certain version or edit. */
const maxHistorySearch = 200;

const noEdit: TableEdit = {
	id: '', author: '', comment: '', at: 0, base: 0, previous: '',
};

/** Reads and changes the table. */
export class TableEditor {
	/**
	 * @param store - The store that holds the table.
	 * @returns The editor.
	 */
	static create(store: ObjectStore): TableEditor {
		return new TableEditor(store);
	}

	private constructor(private readonly store: ObjectStore) {}

	/** @returns The table in force; an empty one at version zero if there is none. */
	read(): Effect.Effect<VersionedTable, StoreFailure | TableUnreadable> {
		return this.store.read(tableKey).pipe(Effect.flatMap(({version, value}) => version === 0
			? Effect.succeed({version, edit: noEdit, table: emptyTable})
			: decode(version, value)));
	}

	/**
	 * Changes the table.
	 *
	 * @param proposal - The proposed change.
	 * @returns The changed table with its version.
	 */
	apply(proposal: TableProposal): Effect.Effect<VersionedTable, StoreFailure | TableUnreadable | TableConflict | EditUnsettled> {
		return Effect.gen({self: this}, function * () {
			const current = yield * this.read();
			if (current.version !== proposal.base) {
				return yield * this.conflict(proposal.base, current);
			}

			const edit: TableEdit = {
				id: randomUUID(),
				author: proposal.author,
				comment: proposal.comment,
				at: Date.now(),
				base: proposal.base,
				previous: current.edit.id,
			};
			const value = encodeVersionedTable(edit, proposal.table);
			// The history is written first, so that it always contains the table in force.
			yield * this.store.write(historyKey(edit.id), value, 0).pipe(Effect.catchTag('VersionConflict', () => Effect.void));
			const version = yield * this.writeUntilSettled(edit, value);
			return {version, edit, table: proposal.table};
		});
	}

	/**
	 * @param maxTables - Maximum number of tables to read.
	 * @returns The tables in force now and before, newest first.
	 */
	history(maxTables: number): Effect.Effect<readonly VersionedTable[], StoreFailure | TableUnreadable> {
		return Effect.gen({self: this}, function * () {
			const tables: VersionedTable[] = [];
			let table: VersionedTable | undefined = yield * this.read();
			while (table !== undefined && table.version > 0 && tables.length < maxTables) {
				tables.push(table);
				table = yield * this.previousTable(table);
			}

			return tables;
		});
	}

	/** Repeats the write until it is known whether the edit took effect. */
	private writeUntilSettled(edit: TableEdit, value: string): Effect.Effect<ObjectVersion, StoreFailure | TableUnreadable | TableConflict | EditUnsettled> {
		return Effect.gen({self: this}, function * () {
			let detail = '';
			for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
				const written = yield * Effect.result(this.store.write(tableKey, value, edit.base));
				if (Result.isSuccess(written)) {
					return written.success;
				}

				detail = written.failure._tag === 'StoreFailure' ? written.failure.detail : '';
				const now = yield * Effect.result(this.read());
				if (Result.isSuccess(now) && now.success.edit.id === edit.id) {
					return now.success.version;
				}

				if (Result.isSuccess(now) && now.success.version !== edit.base) {
					return yield * this.findAppliedVersion(edit, now.success);
				}

				yield * Effect.sleep(writeAttemptIntervalMs);
			}

			return yield * Effect.fail(new EditUnsettled({edit: edit.id, detail}));
		});
	}

	/** Handles another edit in force, which may be based on this one: then this edit was applied before it. */
	private findAppliedVersion(edit: TableEdit, current: VersionedTable): Effect.Effect<ObjectVersion, StoreFailure | TableUnreadable | TableConflict> {
		return this.history(maxHistorySearch).pipe(Effect.flatMap(tables => {
			const own = tables.find(table => table.edit.id === edit.id);
			return own ? Effect.succeed(own.version) : this.conflict(edit.base, current);
		}));
	}

	private conflict(base: ObjectVersion, current: VersionedTable): Effect.Effect<never, StoreFailure | TableUnreadable | TableConflict> {
		return this.history(maxHistorySearch).pipe(Effect.flatMap(tables => Effect.fail(new TableConflict({
			base: base === 0 ? {version: 0, edit: noEdit, table: emptyTable} : tables.find(({version}) => version === base),
			current,
		}))));
	}

	private previousTable({edit}: VersionedTable): Effect.Effect<VersionedTable | undefined, StoreFailure | TableUnreadable> {
		return edit.previous === ''
			? Effect.succeed(undefined)
			: this.store.read(historyKey(edit.previous)).pipe(Effect.flatMap(({version, value}) => version === 0
				? Effect.succeed(undefined)
				: decode(edit.base, value)));
	}
}

function decode(version: ObjectVersion, value: string): Effect.Effect<VersionedTable, TableUnreadable> {
	const decoded = decodeVersionedTable(version, value);
	return Result.isSuccess(decoded)
		? Effect.succeed(decoded.success)
		: Effect.fail(new TableUnreadable({detail: decoded.failure.map(({path, expected}) => `${path}: expected ${expected}`).join('; ')}));
}
