/**
 * Output of commands: text tables for people, JSON for scripts.
 */
import process from 'node:process';

/** An output format of the option `--output`. */
export type OutputFormat = 'text' | 'json' | 'yaml' | 'csv';

/** A table to print as text. */
export type TextTable = {
	readonly head: readonly string[];
	readonly rows: ReadonlyArray<readonly string[]>;
};

/**
 * @param table - Cells of the table.
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
 * Prints text to standard output, with a line break at its end.
 *
 * @param text - The text.
 */
export function print(text: string): void {
	process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
}

/**
 * Prints a value as JSON, or as a text table for all other formats.
 *
 * @param format - Output format.
 * @param value - The value to print as JSON.
 * @param table - Returns the table to print as text.
 */
export function printValue(format: OutputFormat, value: unknown, table: () => TextTable): void {
	print(format === 'json' ? JSON.stringify(value, undefined, 2) : renderTable(table()));
}
