/**
 * Soaks seed after seed: `npm run soak -- --seeds 50 --seed 1 --seconds 20 [--relays 4]`. A broken promise is printed with
 * the seed that plays it again, and its log lines go to a file; exit 1.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {soak} from './soak.js';

const millisecondsPerSecond = 1000;
const logFolder = 'target/soak';

const options = await yargs(process.argv.slice(2))
	.option('seeds', {type: 'number', default: 1, describe: 'How many seeds'})
	.option('seed', {type: 'number', default: 1, describe: 'The first one'})
	.option('seconds', {type: 'number', default: 20, describe: 'Seconds in which faults begin'})
	.option('relays', {type: 'number', default: 4})
	.strict()
	.parseAsync();

for (const seed of Array.from({length: options.seeds}, (_, index) => options.seed + index)) {
	const {plan, attempts, served, broken, lines} = await soak({seed, length: options.seconds * millisecondsPerSecond, relays: options.relays});
	process.stdout.write(`seed ${seed}: ${plan.length} faults, ${attempts} tries, ${served} served, ${broken.length} broken\n`);
	if (broken.length > 0) {
		process.exitCode = 1;
		mkdirSync(logFolder, {recursive: true});
		writeFileSync(`${logFolder}/seed-${seed}.log`, lines.map(line => `${JSON.stringify(line)}\n`).join(''));
		process.stdout.write(broken.slice(0, 20).map(line => `  ${line}\n`).join(''));
		process.stdout.write(`  again: npm run soak -- --seed ${seed} --seconds ${options.seconds} --relays ${options.relays}; its log: ${logFolder}/seed-${seed}.log\n`);
	}
}

process.exit();
