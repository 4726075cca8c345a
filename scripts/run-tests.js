/**
 * Runs the compiled tests with Node's runner; a name part as parameter runs only the files that contain it. Tests that measure the memory of a process run
 * first, one file at a time. The tests of
 * KNOWN-RED.txt are run and printed with the others; their failure is no failure of the run, and one that passes is told, since it may
 * fail now and then only.
 */
import {once} from 'node:events';
import {readdirSync} from 'node:fs';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';
import {readKnownRed} from './known-red.js';

const testsAtOnce = 2;
/** Folder of the tests that run without others beside them. */
const exclusiveFolder = 'build/development/crowds/';
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

/** Resolves when all tests of the files have been run and reported. */
const runFiles = async (files, concurrency) => {
	const results = run({files, concurrency});
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
	report.pipe(process.stdout, {end: false});
	await once(report, 'end');
};

const exclusive = files.filter(name => name.startsWith(exclusiveFolder));
const others = files.filter(name => !name.startsWith(exclusiveFolder));
if (exclusive.length > 0) {
	await runFiles(exclusive, 1);
}

if (others.length > 0) {
	await runFiles(others, testsAtOnce);
}

if (testsRun === 0) {
	wrong.push('no test was run');
}

const lines = [
	...knownRed.map(({name, cause, issue}) => `known red${passed.includes(name) ? ', passed this time' : ''}: ${name} (${cause}; issue ${issue})`),
	...wrong,
];
process.stdout.write(lines.map(line => `${line}\n`).join(''));
process.exitCode = wrong.length === 0 ? 0 : 1;
