/**
 * Runs the compiled tests with Node's runner; a name part as parameter runs only the files that contain it. The tests of
 * KNOWN-RED.txt are run and printed with the others; their failure is no failure of the run, and one that passes is told, since it may
 * fail now and then only.
 */
import {readdirSync} from 'node:fs';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';
import {readKnownRed} from './known-red.js';

const testsAtOnce = 2;
const part = process.argv[2] ?? '';
const files = ['build/src', 'build/platform', 'build/development']
	.flatMap(folder => readdirSync(folder, {recursive: true}).map(name => `${folder}/${name}`))
	.filter(name => name.endsWith('.test.js') && name.includes(part))
	.sort();
const knownRed = readKnownRed();
const isKnownRed = name => knownRed.some(test => test.name === name);
const wrong = [];
const passed = [];
let testsRun = 0;

// Options of this process hold for the processes of the tests.
process.execArgv.push('--enable-source-maps');
const results = run({files, concurrency: testsAtOnce});
results.on('test:fail', ({name, details}) => {
	testsRun++;
	// A file fails with its tests.
	if (!isKnownRed(name) && details.error?.failureType !== 'subtestsFailed') {
		wrong.push(`failed: ${name}`);
	}
});
results.on('test:pass', ({name, skip}) => {
	testsRun++;
	if (isKnownRed(name) && skip === undefined) {
		passed.push(name);
	}
});
const report = results.compose(new SpecReporter());
report.once('end', () => {
	if (testsRun === 0) {
		wrong.push('no test was run');
	}

	const lines = [
		...knownRed.map(({name, cause, issue}) => `known red${passed.includes(name) ? ', passed this time' : ''}: ${name} (${cause}; issue ${issue})`),
		...wrong,
	];
	process.stdout.write(lines.map(line => `${line}\n`).join(''));
	process.exitCode = wrong.length === 0 ? 0 : 1;
});
report.pipe(process.stdout);
