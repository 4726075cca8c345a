/**
 * Prints what became of the requests of a load pattern at fleets of several sizes: `npm run placement -- --replicas 20`.
 */
import process from 'node:process';
import yargs from 'yargs';
import {mixedLoad} from './load-pattern.js';
import {reportIntervalOf, PlacementFleet, type KindOutcome} from './placement-fleet.js';

/** Fraction of reports that are lost. */
const loss = 0.01;

const textOf = ({kind: {name}, asked, inTime, late, refused, expired}: KindOutcome): string => {
	const parts = Object.entries({
		inTime, late, refused, expired,
	}).map(([what, count]) => `${what} ${(count / asked).toFixed(3)}`);
	return `${name}: ${parts.join(', ')}`;
};

const {replicas, seed, boxes} = await yargs(process.argv.slice(2))
	.scriptName('npm run placement --')
	.option('replicas', {type: 'number', default: 20, describe: 'Replicas that serve the load'})
	.option('seed', {type: 'number', default: 1, describe: 'Seed of the load'})
	.option('boxes', {
		type: 'number', array: true, default: [1, 8, 77, 195, 320], describe: 'Sizes of the fleet; one box knows everything',
	})
	.strictOptions()
	.help()
	.parse();
for (const size of boxes) {
	const {kinds, worth, worstImbalance, refusedWithRoom} = PlacementFleet.replay(mixedLoad(replicas), {boxes: size, reportInterval: reportIntervalOf(size), loss}, seed);
	process.stdout.write(`${size} boxes: worth ${worth.toFixed(3)}, imbalance ${worstImbalance.toFixed(2)}, refused with room ${refusedWithRoom}\n`);
	process.stdout.write(kinds.map(kind => `    ${textOf(kind)}\n`).join(''));
}
