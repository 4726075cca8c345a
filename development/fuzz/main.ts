/**
 * Runs all fuzz suites for a given time: `npm run fuzz -- --minutes 3 --seed 1 [--suite claims]`. On a failure, the seed and the path that
 * replay it are printed, and the exit code is 1.
 */
import process from 'node:process';
import yargs from 'yargs';
import {suites} from './suites.js';
import {runSuite} from './suite.js';

const runsPerRound = 25;

const options = await yargs(process.argv.slice(2))
	.option('minutes', {type: 'number', default: 1})
	.option('seed', {type: 'number', default: 1})
	.option('suite', {type: 'string', describe: 'Runs only this suite'})
	.option('path', {type: 'string', describe: 'Replays the failure with this path, as printed'})
	.strict()
	.parseAsync();

const describeCause = (error: unknown): string => error instanceof Error && error.cause instanceof Error ? error.cause.message : '';

const chosen = suites.filter(({name}) => options.suite === undefined || name === options.suite);
const endsAt = performance.now() + (options.minutes * 60_000);
const totals = new Map(chosen.map(({name}) => [name, {histories: 0, steps: 0, faults: 0}]));
let {seed} = options;
try {
	while (performance.now() < endsAt) {
		for (const suite of chosen) {
			const report = await runSuite(suite, {seed, runs: runsPerRound, ...(options.path === undefined ? {} : {path: options.path})});
			const total = totals.get(suite.name)!;
			total.histories += report.histories;
			total.steps += report.steps;
			total.faults += report.faults;
		}

		seed++;
	}

	process.stdout.write('no violated invariant found\n');
} catch (error) {
	process.stdout.write(`${String(error)}\n${describeCause(error)}\n`);
	process.exitCode = 1;
}

for (const [name, {histories, steps, faults}] of totals) {
	process.stdout.write(`${name}: ${histories} histories, ${steps} steps, ${faults} faults, seeds ${options.seed} to ${seed}\n`);
}

process.exit();
