/**
 * Soaks seed after seed: `npm run soak -- --seeds 50 --seed 1 --seconds 20 [--processes 4]`. Of a broken promise are kept: the faults,
 * what was broken and all log lines, in a file; and the one command that plays it again is printed; exit 1.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import process from 'node:process';
import yargs from 'yargs';
import {soak, type SoakReport} from './soak.js';

const millisecondsPerSecond = 1000;
/** Bytes that a relay takes: of 24 under the load of a soak the largest took 122 MB. */
const bytesPerRelay = 150_000_000;
/** Part of the machine's memory that a soak may take. */
const memoryPart = 0.5;
const mostRelays = 40;
const brokenShown = 20;

const options = await yargs(process.argv.slice(2))
	.option('seeds', {type: 'number', default: 1, describe: 'How many seeds'})
	.option('seed', {type: 'number', default: 1, describe: 'The first one'})
	.option('seconds', {type: 'number', default: 20, describe: 'Seconds in which faults begin'})
	.option('processes', {
		alias: 'relays', type: 'number', default: 4, describe: 'Relays, each a process of its own',
	})
	.option('logs', {type: 'string', default: 'target/soak', describe: 'Folder for the logs of runs that break a promise'})
	.check(({processes}) => {
		const most = Math.min(mostRelays, Math.floor(totalmem() * memoryPart / bytesPerRelay));
		if (processes > most) {
			throw new Error(`This machine has memory for ${most} relays at most.`);
		}

		return true;
	})
	.strict()
	.parseAsync();

const linesOf = (values: readonly unknown[]): string => values.map(value => `${JSON.stringify(value)}\n`).join('');

function keepLog(seed: number, {plan, broken, lines}: SoakReport): string {
	mkdirSync(options.logs, {recursive: true});
	const file = `${options.logs}/seed-${seed}.log`;
	writeFileSync(file, linesOf([...plan, ...broken, ...lines]));
	return file;
}

for (const seed of Array.from({length: options.seeds}, (_, index) => options.seed + index)) {
	const report = await soak({seed, length: options.seconds * millisecondsPerSecond, relays: options.processes});
	const {plan, attempts, served, broken} = report;
	process.stdout.write(`seed ${seed}: ${plan.length} faults, ${attempts} tries, ${served} served, ${broken.length} broken\n`);
	if (broken.length > 0) {
		process.exitCode = 1;
		process.stdout.write(broken.slice(0, brokenShown).map(line => `  ${line}\n`).join(''));
		process.stdout.write(`  its log: ${keepLog(seed, report)}; again: npm run soak -- --seed ${seed} --seconds ${options.seconds} --processes ${options.processes}\n`);
	}
}

process.exit();
