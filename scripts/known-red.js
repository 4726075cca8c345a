/**
 * Reads KNOWN-RED.txt: tests that fail for a real fault that is not fixed yet, one line each: test | cause | issue. Lines of tests under development/crowds have
 * a fourth field, `crowd`.
 */
import {existsSync, readFileSync} from 'node:fs';

const file = 'KNOWN-RED.txt';
/** Maximum number of lines other than those of crowds: more faults than that are fixed before anything else. */
const mostLines = 6;
const crowdMark = 'crowd';
const separator = ' | ';

/**
 * @returns {ReadonlyArray<{name: string, cause: string, issue: string, isOfCrowd: boolean}>} The tests that are known to fail.
 */
export const readKnownRed = () => {
	const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n').filter(line => line.trim() !== '') : [];
	const tests = lines.map(line => {
		const [name, cause, issue, mark] = line.split(separator);
		if (!name || !cause || !issue || (mark !== undefined && mark !== crowdMark)) {
			throw new Error(`${file}: a line is "test${separator}cause${separator}issue" or has "${separator}${crowdMark}" at its end, not "${line}".`);
		}

		return {
			name, cause, issue, isOfCrowd: mark === crowdMark,
		};
	});
	const counted = tests.filter(({isOfCrowd}) => !isOfCrowd);
	if (counted.length > mostLines) {
		throw new Error(`${file} has ${counted.length} lines; ${mostLines} at most are allowed.`);
	}

	return tests;
};
