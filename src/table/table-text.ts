/**
 * Text formats of the table for editing: YAML for the whole table, CSV for its rows. The first line holds the version
 * that was read, so that concurrent changes of two operators are detected.
 */
import {parse} from 'csv-parse/sync';
import {stringify} from 'csv-stringify/sync';
import * as Result from 'effect/Result';
import {stringify as stringifyYaml} from 'yaml';
import type {Fault} from '../base/faults.js';
import type {ObjectVersion} from '../external/object-store.js';
import {checkTable, type Table} from './table.js';

const columns = ['account', 'kind', 'service', 'share', 'ceiling', 'priority', 'repeatable'] as const;
const versionLine = /^# waydrift table, version (?<version>\d+)\s*$/mv;

const versionHeader = (version: ObjectVersion) => `# waydrift table, version ${version}\n`;

/**
 * @param text - Content of a file that this module wrote.
 * @returns The version in its first lines; `undefined` if there is none.
 */
export function readVersion(text: string): ObjectVersion | undefined {
	const version = versionLine.exec(text)?.groups?.version;
	return version === undefined ? undefined : Number(version);
}

/**
 * @param version - Version of the table.
 * @param table - The table.
 * @returns The table as YAML.
 */
export function toYaml(version: ObjectVersion, table: Table): string {
	return versionHeader(version) + stringifyYaml(table, {lineWidth: 0});
}

/**
 * @param version - Version of the table.
 * @param table - The table.
 * @returns The rows of the table as CSV, for a spreadsheet.
 */
export function toCsv(version: ObjectVersion, table: Table): string {
	return versionHeader(version) + stringify(table.rows.map(row => ({...row, repeatable: String(row.repeatable)})), {header: true, columns: [...columns]});
}

type Line = {readonly record: Readonly<Record<string, string>>; readonly info: {readonly lines: number}};

const booleanOf = (text: string | undefined): unknown => text === 'true' ? true : (text === 'false' ? false : text);
const numberOf = (text: string | undefined): unknown => text === undefined || text.trim() === '' || Number.isNaN(Number(text)) ? text : Number(text);

/**
 * Replaces the rows of a table with rows from CSV.
 *
 * @param text - CSV text.
 * @param table - The table that provides services and client accounts.
 * @returns The new table, or all faults at once.
 */
export function fromCsv(text: string, table: Table): Result.Result<Table, readonly Fault[]> {
	const lines = parseLines(text);
	if (Result.isFailure(lines)) {
		return Result.fail(lines.failure);
	}

	const rows = lines.success.map(({record}) => ({
		...record,
		share: numberOf(record.share),
		ceiling: numberOf(record.ceiling),
		priority: numberOf(record.priority),
		repeatable: booleanOf(record.repeatable),
	}));
	const lineOf = (path: string): number | undefined => {
		const [part, index] = path.split('.');
		return part === 'rows' ? lines.success[Number(index)]?.info.lines : undefined;
	};

	return Result.mapError(checkTable({...table, rows}), faults => faults.map(fault => {
		const line = lineOf(fault.path);
		return line === undefined ? fault : {...fault, line};
	}));
}

function parseLines(text: string): Result.Result<readonly Line[], readonly Fault[]> {
	try {
		return Result.succeed(parse(text, {
			columns: true, comment: '#', comment_no_infix: true, skip_empty_lines: true, trim: true, info: true,
		}) as unknown as readonly Line[]);
	} catch (error) {
		return Result.fail([{path: '', value: undefined, expected: `valid CSV (${(error as Error).message})`}]);
	}
}
