/**
 * What commands print: tables for people, JSON for scripts.
 */
import process from 'node:process';

/** How to print. */
export type OutputFormat = 'text' | 'json' | 'yaml' | 'csv';

/** A table for people. */
export type TextTable = {
	readonly head: readonly string[];
	readonly rows: ReadonlyArray<readonly string[]>;
};

/**
 * @param table - Cells.
 * @returns Lines with aligned columns.
 */
export function renderTable({head, rows}: TextTable): string {
	const lines = [head, ...rows];
	const widths = head.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
	return lines
		.map(line => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
		.join('\n');
}

/**
 * Prints a line to standard output.
 *
 * @param text - What to print.
 */
export function print(text: string): void {
	process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
}

/**
 * Prints a value: as JSON for scripts, or as a table for people.
 *
 * @param format - How.
 * @param value - For scripts.
 * @param table - For people.
 */
export function printValue(format: OutputFormat, value: unknown, table: () => TextTable): void {
	print(format === 'json' ? JSON.stringify(value, undefined, 2) : renderTable(table()));
}
