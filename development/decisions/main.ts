/**
 * Prints and plots a summary of each second of a recorded run: `npm run decisions -- run.log --plot run.svg`.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {summariseRun, type SecondSummary} from './run-summary.js';
import {readRunLog, countUnreadableLines} from './run-log.js';
import {writeRunPlot} from './run-plot.js';

/** Default of `--late-after` in milliseconds. */
const defaultLateAfter = 500;

const columns: ReadonlyArray<readonly [title: string, valueOf: (row: SecondSummary) => number | string]> = [
	['second', ({second}) => String(second).padStart(4)],
	['answered', ({answered}) => answered],
	['late', ({late}) => late],
	['left', ({left}) => left],
	['ready', ({ready}) => ready],
	['reclaimable', ({reclaimable}) => reclaimable],
	['kept', ({kept}) => kept],
	['needed', ({needed}) => needed === undefined ? '-' : needed.toFixed(1)],
	['refused orders', ({refusedOrders}) => refusedOrders],
	['lines left out', ({linesLeftOut}) => linesLeftOut],
	['refused', ({refused}) => [...refused].map(([reason, count]) => `${reason} ${count}`).join(', ')],
];

const options = await yargs(process.argv.slice(2))
	.scriptName('npm run decisions --')
	.usage('$0 LOG\n\nPrints the requests and the fleet of each second of a recorded run, from the log lines of its boxes.')
	.option('late-after', {type: 'number', default: defaultLateAfter, describe: 'Milliseconds to the first byte above which a response counts as late'})
	.option('plot', {type: 'string', describe: 'Also write a plot to this SVG file'})
	.example('$0 run.log --plot run.svg', 'Print the table of a run and plot it')
	.demandCommand(1, 1, 'Expected exactly one log file.')
	.strictOptions()
	.help()
	.parse();
const text = readFileSync(String(options._[0]), 'utf8');
const rows = summariseRun(readRunLog(text), {lateAfter: options['late-after']});
const lines = [columns.map(([title]) => title), ...rows.map(row => columns.map(([, valueOf]) => valueOf(row)))];
process.stdout.write(lines.map(cells => `${cells.join('\t')}\n`).join(''));
const unreadable = countUnreadableLines(text);
if (unreadable > 0) {
	process.stderr.write(`${unreadable} lines that hold an event could not be parsed; the table does not count them.\n`);
}

if (options.plot !== undefined) {
	await writeRunPlot(options.plot, rows);
}
