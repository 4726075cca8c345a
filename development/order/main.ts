/**
 * Measures the order of streams of relay processes, also of another build:
 * `npm run order -- --case cuts --seed 1 --seeds 3 [--program build/src/command/main.js] [--logs FOLDER]`. Prints a line of JSON for
 * each run. The exit code is 1 if a stream was out of order, repeated, of several versions or complete before its last event.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {seededBy} from '../soak/seeded-by.js';
import {orderCases} from './order-case.js';
import {OrderFleet} from './order-fleet.js';

const options = await yargs(process.argv.slice(2))
	.option('case', {choices: Object.keys(orderCases), demandOption: true, describe: 'Class of disturbances'})
	.option('seed', {type: 'number', default: 1, describe: 'First seed; it also selects the variant'})
	.option('seeds', {type: 'number', default: 1, describe: 'Number of seeds to run'})
	.option('program', {type: 'string', default: 'build/src/command/main.js', describe: 'Compiled entry point of the relays'})
	.option('logs', {type: 'string', default: 'target/order', describe: 'Folder for the logs of runs with a violation'})
	.strict()
	.parseAsync();

const name = options.case;
const orderCase = orderCases[name]!;
for (const seed of Array.from({length: options.seeds}, (_, index) => options.seed + index)) {
	const fleet = await OrderFleet.start({
		program: path.resolve(options.program), random: seededBy(seed, name), versions: orderCase.versions, cutsHeads: orderCase.cutsHeads,
	});
	await Promise.all([fleet.beginStreams(orderCase.duration), orderCase.disturb(fleet, seed)]);
	await fleet.untilEnded();
	const {result, violationLines} = fleet;
	await fleet.close();
	process.stdout.write(`${JSON.stringify({case: name, seed, ...result})}\n`);
	if (result.joined + result.gaps + result.repeats + result.completeBefore > 0) {
		process.exitCode = 1;
		mkdirSync(options.logs, {recursive: true});
		writeFileSync(path.join(options.logs, `${name}-${seed}.log`), violationLines.map(line => `${JSON.stringify(line)}\n`).join(''));
	}
}

process.exit();
