/**
 * `waydrift table`: reads and changes the table, which is the only thing that operators edit.
 */
import {readFileSync} from 'node:fs';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import {parseStrictJson} from '../base/bounded-json.js';
import {
	checkTable, decodeTable, rowName, type Table,
} from '../table/table.js';
import {describeChange, differenceOf} from '../table/table-difference.js';
import {
	fromCsv, readVersion, toCsv, toYaml,
} from '../table/table-text.js';
import type {VersionedTable} from '../table/versioned-table.js';
import {CommandFailure} from './command-failure.js';
import {exitCode} from './exit-code.js';
import {waitInForce} from './wait-in-force.js';
import {
	changeTable, describeEditFailure, invalidFile, readTable, type Operator,
} from './operator.js';
import {print, printValue, type OutputFormat} from './output.js';

/** Maximum number of history entries that are searched for an edit. */
const maxHistory = 1000;

const invalid = (...lines: readonly string[]) => new CommandFailure({exitCode: exitCode.invalid, lines});

function render(format: OutputFormat, {version, table}: VersionedTable): string {
	switch (format) {
		case 'json': {
			return JSON.stringify({version, table}, undefined, 2);
		}

		case 'csv': {
			return toCsv(version, table);
		}

		default: {
			return toYaml(version, table);
		}
	}
}

/** Reads a file as a table. A CSV file has only the rows; services and accounts are those of the current table. */
function readFile(file: string, current: Table): Effect.Effect<{readonly table: Table; readonly version: number | undefined}, CommandFailure> {
	return Effect.suspend(() => {
		const text = readFileSync(file === '-' ? 0 : file, 'utf8');
		const decoded = file.endsWith('.csv') ? fromCsv(text, current) : decodeTable(text);
		return Result.isSuccess(decoded)
			? Effect.succeed({table: decoded.success, version: readVersion(text)})
			: Effect.fail(invalidFile(file, decoded.failure));
	});
}

/**
 * `table get`.
 *
 * @param operator - Connection to the platform.
 * @param format - Output format; YAML unless it is JSON or CSV.
 * @param edit - Beginning of the id of an edit, to print the table that it made instead of the table in force.
 */
export function getTable(operator: Operator, format: OutputFormat, edit: string | undefined): Effect.Effect<void, CommandFailure> {
	return Effect.gen(function * () {
		const current = yield * readTable(operator);
		if (edit === undefined) {
			print(render(format, current));
			return;
		}

		const tables = yield * operator.editor.history(maxHistory).pipe(Effect.mapError(failure => describeEditFailure(failure)));
		const found = tables.find(table => table.edit.id.startsWith(edit));
		if (!found) {
			return yield * Effect.fail(invalid(`No edit in the history begins with "${edit}".`));
		}

		// Print it with the version in force, so that the output can be applied without a conflict.
		print(render(format, {...found, version: current.version}));
	});
}

/**
 * `table diff`.
 *
 * @param operator - Connection to the platform.
 * @param file - Path of the file to compare with the table in force.
 * @param format - Output format.
 */
export function diffTable(operator: Operator, file: string, format: OutputFormat): Effect.Effect<void, CommandFailure> {
	return Effect.gen(function * () {
		const current = yield * readTable(operator);
		const {table} = yield * readFile(file, current.table);
		const changes = differenceOf(current.table, table);
		if (format === 'json') {
			print(JSON.stringify(changes, undefined, 2));
		} else {
			print(changes.length === 0 ? 'No difference.' : changes.map(change => describeChange(change)).join('\n'));
		}
	});
}

/** How to apply a change. */
export type ApplyOptions = {
	readonly comment: string;
	/** Version that the file was edited from, if its first line does not name it. */
	readonly base: number | undefined;
	/** Seconds to wait until the change is in force on every live entry box; zero to not wait. */
	readonly wait: number;
	readonly format: OutputFormat;
};

/**
 * `table apply`.
 *
 * @param operator - Connection to the platform.
 * @param file - Path of the file with the new table.
 * @param options - Options of the change.
 */
export function applyTable(operator: Operator, file: string, options: ApplyOptions): Effect.Effect<void, CommandFailure> {
	return Effect.gen(function * () {
		const current = yield * readTable(operator);
		const {table, version} = yield * readFile(file, current.table);
		const base = options.base ?? version;
		if (base === undefined) {
			return yield * Effect.fail(invalid(
				`${file} does not say which version it was edited from.`,
				'Begin with "waydrift table get", which writes it into the first line, or give --base VERSION.',
			));
		}

		const applied = yield * operator.editor.apply({
			base, table, author: operator.author, comment: options.comment,
		}).pipe(Effect.mapError(failure => describeEditFailure(failure, table)));
		yield * report(operator, current.table, applied, options);
	});
}

/**
 * `table edit`: changes fields of one row. It opens no editor, since the program starts no other programs.
 *
 * @param operator - Connection to the platform.
 * @param row - `account/service/kind`.
 * @param assignments - For example `ceiling=500`; `remove` removes the row.
 * @param options - Options of the change.
 */
export function editTable(operator: Operator, row: string, assignments: readonly string[], options: ApplyOptions): Effect.Effect<void, CommandFailure> {
	return Effect.gen(function * () {
		const before = yield * readTable(operator);
		const applied = yield * changeTable(operator, options.comment, table => changeRow(table, row, assignments));
		yield * report(operator, before.table, applied, options);
	});
}

function changeRow(table: Table, name: string, assignments: readonly string[]): Effect.Effect<Table, CommandFailure> {
	const known = table.rows.find(row => rowName(row) === name);
	if (assignments.length === 1 && assignments[0] === 'remove') {
		return known
			? Effect.succeed({...table, rows: table.rows.filter(row => row !== known)})
			: Effect.fail(invalid(`There is no row ${name}.`));
	}

	const [account, service, kind] = name.split('/');
	const fields = Object.fromEntries(assignments.map(assignment => {
		const [field = '', ...value] = assignment.split('=');
		return [field, valueOf(value.join('='))];
	}));
	const row = {...known ?? {account, service, kind}, ...fields};
	const rows = known ? table.rows.map(other => other === known ? row : other) : [...table.rows, row];
	const checked = checkTable({...table, rows});
	return Result.isSuccess(checked) ? Effect.succeed(checked.success) : Effect.fail(invalidFile(name, checked.failure));
}

function valueOf(text: string): unknown {
	try {
		return parseStrictJson(text);
	} catch {
		return text;
	}
}

function report(operator: Operator, before: Table, applied: VersionedTable, {wait, format}: ApplyOptions): Effect.Effect<void, CommandFailure> {
	return Effect.gen(function * () {
		const changes = differenceOf(before, applied.table);
		if (format === 'json') {
			print(JSON.stringify({version: applied.version, edit: applied.edit.id, changes}));
		} else {
			print([`Accepted as version ${applied.version}, edit ${applied.edit.id}.`, ...changes.map(change => describeChange(change))].join('\n'));
		}

		if (wait > 0) {
			yield * waitInForce(operator, applied.version, wait);
			print(format === 'json' ? JSON.stringify({inForce: true}) : 'In force on every live box.');
		}
	});
}

/**
 * `table history`.
 *
 * @param operator - Connection to the platform.
 * @param limit - Maximum number of entries to print.
 * @param format - Output format.
 */
export function printHistory(operator: Operator, limit: number, format: OutputFormat): Effect.Effect<void, CommandFailure> {
	return operator.editor.history(limit).pipe(
		Effect.mapError(failure => describeEditFailure(failure)),
		Effect.map(tables => {
			printValue(format, tables.map(({version, edit}) => ({version, ...edit})), () => ({
				head: ['VERSION', 'EDIT', 'WHEN', 'WHO', 'COMMENT', 'CHANGES'],
				rows: tables.map(({version, edit, table}, index) => [
					String(version),
					edit.id.slice(0, 8),
					new Date(edit.at).toISOString(),
					edit.author,
					edit.comment,
					tables[index + 1] ? String(differenceOf(tables[index + 1]!.table, table).length) : '',
				]),
			}));
		}),
	);
}
