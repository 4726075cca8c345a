/**
 * Reads KNOWN-RED.txt: tests that fail for a real fault that is not fixed yet, one line each: test | cause | issue. A fourth field marks lines that do not count
 * against the maximum: `crowd`, tests under development/crowds; `review`, scripts under review/, which `npm test` does not run.
 */
import {existsSync, readFileSync} from 'node:fs';

const file = 'KNOWN-RED.txt';
/** Maximum number of lines without a mark: more faults than that are fixed before anything else. */
const mostLines = 6;
const marks = new Set(['crowd', 'review']);
const separator = ' | ';

/**
 * @returns {ReadonlyArray<{name: string, cause: string, issue: string, mark: string | undefined}>} The tests that are known to fail.
 */
export const readKnownRed = () => {
	const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n').filter(line => line.trim() !== '') : [];
	const tests = lines.map(line => {
		const [name, cause, issue, mark] = line.split(separator);
		if (!name || !cause || !issue || (mark !== undefined && !marks.has(mark))) {
			throw new Error(`${file}: a line is "test${separator}cause${separator}issue" or has one of ${[...marks].join(', ')} as a fourth field, not "${line}".`);
		}

		return {
			name, cause, issue, mark,
		};
	});
	const counted = tests.filter(({mark}) => mark === undefined);
	if (counted.length > mostLines) {
		throw new Error(`${file} has ${counted.length} lines; ${mostLines} at most are allowed.`);
	}

	return tests;
};
