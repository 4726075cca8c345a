/**
 * `waydrift check`: reports all faults of settings files and table files, offline.
 */
import {readFileSync} from 'node:fs';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import {describeFault, type Fault} from '../base/faults.js';
import {decodeSettings} from '../settings/settings.js';
import {decodeTable} from '../table/table.js';
import {CommandFailure} from './command-failure.js';
import {exitCode} from './exit-code.js';
import {print} from './output.js';

/** Matches a top-level key of a table. Settings files have none of these keys. */
const tableKeyPattern = /^(?:rows|accounts|services)\s*:/mv;

function faultsOf(file: string): readonly Fault[] {
	try {
		const text = readFileSync(file, 'utf8');
		const decoded: Result.Result<unknown, readonly Fault[]> = tableKeyPattern.test(text) ? decodeTable(text) : decodeSettings(text);
		return Result.isSuccess(decoded) ? [] : decoded.failure;
	} catch (error) {
		return [{path: '', value: undefined, expected: `a file that can be read (${(error as Error).message})`}];
	}
}

/**
 * @param files - Paths of settings files or table files.
 * @returns Ends when all files are valid; fails with all faults of all files.
 */
export function checkFiles(files: readonly string[]): Effect.Effect<void, CommandFailure> {
	return Effect.suspend(() => {
		const lines = files.flatMap(file => faultsOf(file).map(fault => describeFault(file, fault)));
		if (lines.length > 0) {
			return Effect.fail(new CommandFailure({exitCode: exitCode.invalid, lines: [...lines, `${lines.length} fault(s).`]}));
		}

		print(`${files.length} file(s) without faults.`);
		return Effect.void;
	});
}
