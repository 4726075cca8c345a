/**
 * Runs soak tests for consecutive seeds: `npm run soak -- --seeds 50 --seed 1 --seconds 20 [--processes 4] [--parts]`. If a run violates an
 * invariant, its faults, violations and log lines are written to a file, the command that repeats the run is printed, and the exit code
 * is 1.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import process from 'node:process';
import yargs from 'yargs';
import {soak, type SoakReport} from './soak.js';

const millisecondsPerSecond = 1000;
/** Bytes of memory budgeted per relay: the largest of 24 relays under the load of a soak test used 122 MB. */
const bytesPerRelay = 150_000_000;
/** Fraction of the machine's memory that the relays may use. */
const memoryShare = 0.5;
/** Maximum number of relays, however much memory the machine has. */
const maxRelays = 40;
/** Maximum number of violations that are printed. */
const violationsShown = 20;

const options = await yargs(process.argv.slice(2))
	.option('seeds', {type: 'number', default: 1, describe: 'Number of seeds to run'})
	.option('seed', {type: 'number', default: 1, describe: 'First seed'})
	.option('seconds', {type: 'number', default: 20, describe: 'Seconds during which new faults start'})
	.option('processes', {
		alias: 'relays', type: 'number', default: 4, describe: 'Number of relay processes',
	})
	.option('parts', {type: 'boolean', default: false, describe: 'Whether the requests that crash replicas differ and share a part of their prompts'})
	.option('rollout', {type: 'boolean', default: false, describe: 'Whether a bad version is rolled out meanwhile'})
	.option('crowds', {type: 'boolean', default: true, describe: 'Whether clients that do not behave connect to the relays'})
	.option('logs', {type: 'string', default: 'target/soak', describe: 'Folder for the logs of runs that violate an invariant'})
	.check(({processes}) => {
		const most = Math.min(maxRelays, Math.floor(totalmem() * memoryShare / bytesPerRelay));
		if (processes > most) {
			throw new Error(`This machine has memory for at most ${most} relays.`);
		}

		return true;
	})
	.strict()
	.parseAsync();

const linesOf = (values: readonly unknown[]): string => values.map(value => `${JSON.stringify(value)}\n`).join('');

function writeLog(seed: number, {plan, violations, lines}: SoakReport): string {
	mkdirSync(options.logs, {recursive: true});
	const file = `${options.logs}/seed-${seed}.log`;
	writeFileSync(file, linesOf([...plan, ...violations, ...lines]));
	return file;
}

for (const seed of Array.from({length: options.seeds}, (_, index) => options.seed + index)) {
	const report = await soak({
		seed, length: options.seconds * millisecondsPerSecond, relays: options.processes, hasParts: options.parts, hasRollout: options.rollout, hasCrowds: options.crowds,
	});
	const {plan, crowdConnections, attempts, served, violations} = report;
	process.stdout.write(`seed ${seed}: ${plan.length} faults, ${crowdConnections} connections of crowds, ${attempts} attempts, ${served} served, ${violations.length} violations\n`);
	if (violations.length > 0) {
		process.exitCode = 1;
		process.stdout.write(violations.slice(0, violationsShown).map(line => `  ${line}\n`).join(''));
		process.stdout.write(`  log: ${writeLog(seed, report)}; to repeat: npm run soak -- --seed ${seed} --seconds ${options.seconds} --processes ${options.processes}${options.parts ? ' --parts' : ''}${options.rollout ? ' --rollout' : ''}${options.crowds ? '' : ' --no-crowds'}\n`);
	}
}

process.exit();
