/**
 * The command line: all commands, with their help and examples.
 */
import process from 'node:process';
import * as Effect from 'effect/Effect';
import yargs, {type Argv} from 'yargs';
import {
	createAccount, createService, listAccounts, listServices, rotateKey,
} from './account-commands.js';
import {checkFiles} from './check-command.js';
import type {CommandFailure} from './command-failure.js';
import {exitCode, type ExitCode} from './exit-code.js';
import {connectOperator, type Operator} from './operator.js';
import type {OutputFormat} from './output.js';
import {relay} from './relay-command.js';
import {printRollouts} from './rollout-command.js';
import {serve} from './serve-command.js';
import {printBoxes, printStatus} from './status-command.js';
import {
	applyTable, diffTable, editTable, getTable, printHistory, type ApplyOptions,
} from './table-commands.js';

/** Default of a service's deadline, in seconds. */
const defaultDeadline = 60;
/** Default number of history entries to print. */
const defaultHistory = 20;

/** Options that all commands for operators share. */
type CommonOptions = {
	readonly platform: string | undefined;
	readonly output: string;
};

/** Runs a command and holds its exit code. */
class CommandRunner {
	code: ExitCode = exitCode.done;

	/**
	 * Runs a command that needs a connection to the platform, and closes the connection afterwards.
	 *
	 * @param options - The shared options, with the address of the platform.
	 * @param action - The command.
	 */
	async runWithOperator(options: CommonOptions, action: (operator: Operator, format: OutputFormat) => Effect.Effect<void, CommandFailure>): Promise<void> {
		await this.run(connectOperator(options.platform).pipe(Effect.flatMap(operator => action(operator, options.output as OutputFormat).pipe(Effect.ensuring(Effect.sync(() => {
			operator.close();
		}))))));
	}

	/**
	 * Runs a command; if it fails, prints the message to standard error and sets the exit code.
	 *
	 * @param command - The command.
	 */
	async run(command: Effect.Effect<void, CommandFailure>): Promise<void> {
		await Effect.runPromise(command.pipe(Effect.catch(error => Effect.sync(() => {
			process.stderr.write(`${error.lines.join('\n')}\n`);
			this.code = error.exitCode;
		}))));
	}
}

const withCommonOptions = (command: Argv) => command
	.option('platform', {type: 'string', describe: 'HOST:PORT of the platform; else the variable WAYDRIFT_PLATFORM'})
	.option('output', {
		alias: 'o', choices: ['text', 'json', 'yaml', 'csv'] as const, default: 'text', describe: 'How to print',
	});

const withApplyOptions = (command: Argv) => withCommonOptions(command)
	.option('comment', {type: 'string', default: '', describe: 'Kept with the change'})
	.option('base', {type: 'number', describe: 'Version that the file was edited from, where its first line does not say'})
	.option('wait', {type: 'number', default: 0, describe: 'Seconds to wait until it is in force on every live box'});

const toApplyOptions = ({comment, base, wait, output}: {
	readonly comment: string; readonly base: number | undefined; readonly wait: number; readonly output: string;
}): ApplyOptions => ({
	comment, base, wait, format: output as OutputFormat,
});

const tableCommands = (runner: CommandRunner) => (command: Argv) => command
	.command('get', 'Print the table', builder => withCommonOptions(builder)
		.option('edit', {type: 'string', describe: 'Print the table that this edit made'})
		.example('$0 table get > table.yaml', 'The whole table, to edit and apply')
		.example('$0 table get -o csv > rows.csv', 'The rows, for a spreadsheet'), async options =>
		runner.runWithOperator(options, (operator, format) => getTable(operator, format, options.edit)))
	.command('diff <file>', 'Show what a file would change', builder => withCommonOptions(builder)
		.positional('file', {type: 'string', demandOption: true, describe: 'YAML, or CSV of the rows; - for standard input'}), async options =>
		runner.runWithOperator(options, (operator, format) => diffTable(operator, options.file, format)))
	.command('apply <file>', 'Put a table in force', builder => withApplyOptions(builder)
		.positional('file', {type: 'string', demandOption: true, describe: 'YAML, or CSV of the rows; - for standard input'})
		.example('$0 table apply table.yaml --wait 17', 'Wait until every box has it'), async options =>
		runner.runWithOperator(options, operator => applyTable(operator, options.file, toApplyOptions(options))))
	.command('edit <row> <assignments..>', 'Change fields of one row, add it, or remove it', builder => withApplyOptions(builder)
		.positional('row', {type: 'string', demandOption: true, describe: 'ACCOUNT/SERVICE/KIND'})
		.positional('assignments', {
			type: 'string', array: true, demandOption: true, describe: 'FIELD=VALUE, or "remove"',
		})
		.example('$0 table edit dams/bulletin/write ceiling=5000 priority=1', 'Raise a ceiling')
		.example('$0 table edit dams/bulletin/write remove', 'Take the row away'), async options =>
		runner.runWithOperator(options, operator => editTable(operator, options.row, options.assignments, toApplyOptions(options))))
	.command('history', 'Show who changed the table', builder => withCommonOptions(builder)
		.option('most', {type: 'number', default: defaultHistory, describe: 'Entries to print'}), async options =>
		runner.runWithOperator(options, (operator, format) => printHistory(operator, options.most, format)))
	.demandCommand(1, 'Name a command: get, diff, apply, edit or history.');

const accountCommands = (runner: CommandRunner) => (command: Argv) => command
	.command('create <name>', 'Create a client account and print its key', builder => withCommonOptions(builder)
		.positional('name', {type: 'string', demandOption: true}), async options =>
		runner.runWithOperator(options, (operator, format) => createAccount(operator, options.name, format)))
	.command('list', 'List client accounts', builder => withCommonOptions(builder), async options =>
		runner.runWithOperator(options, (operator, format) => listAccounts(operator, format)))
	.command('rotate-key <name>', 'Give a client account a new key', builder => withCommonOptions(builder)
		.positional('name', {type: 'string', demandOption: true})
		.option('keep-old', {type: 'boolean', default: false, describe: 'The newest old key stays valid until the next rotation'}), async options =>
		runner.runWithOperator(options, (operator, format) => rotateKey(operator, options.name, options.keepOld, format)))
	.demandCommand(1, 'Name a command: create, list or rotate-key.');

const serviceCommands = (runner: CommandRunner) => (command: Argv) => command
	.command('create <name>', 'Create a service', builder => withCommonOptions(builder)
		.positional('name', {type: 'string', demandOption: true})
		.option('type', {choices: ['model', 'plain'] as const, demandOption: true, describe: 'What its upstreams are'})
		.option('pool', {type: 'string', demandOption: true, describe: 'Pool of upstreams, as the box list names it'})
		.option('deadline', {type: 'number', default: defaultDeadline, describe: 'Seconds a request may take'})
		.option('latency-weight', {type: 'number', default: 1, describe: 'How much latency counts against price'}), async options =>
		runner.runWithOperator(options, operator => createService(operator, {
			name: options.name, type: options.type, pool: options.pool, deadline: options.deadline, latencyWeight: options.latencyWeight,
		})))
	.command('list', 'List services', builder => withCommonOptions(builder), async options =>
		runner.runWithOperator(options, (operator, format) => listServices(operator, format)))
	.demandCommand(1, 'Name a command: create or list.');

/**
 * Runs the command line.
 *
 * @param args - Arguments, without the program's name.
 * @param version - Version that `--version` prints.
 * @returns The exit code.
 */
export async function runCommandLine(args: readonly string[], version: string): Promise<ExitCode> {
	const runner = new CommandRunner();
	const parser = yargs([...args])
		.scriptName('waydrift')
		.usage('$0 COMMAND\n\nServes language models and plain services on boxes the cloud may take back at any moment.')
		.command('serve', 'Run the daemon of an entry box', builder => builder
			.option('settings', {type: 'string', demandOption: true, describe: 'Settings file (YAML)'})
			.example('$0 serve --settings box.yaml', 'Serve until stopped'), async ({settings}) => {
			runner.code = await serve(settings);
		})
		.command('relay', 'Run a relay before the replicas of the users\' platform', builder => builder
			.option('settings', {type: 'string', describe: 'Settings file (YAML); by default the one that the platform names'}), async ({settings}) => {
			runner.code = await relay(settings);
		})
		.command('table', 'Read and change the table', tableCommands(runner))
		.command('account', 'Client accounts and their keys', accountCommands(runner))
		.command('service', 'Services', serviceCommands(runner))
		.command('status', 'Show what is in force and what runs', builder => withCommonOptions(builder)
			.option('watch', {type: 'boolean', default: false, describe: 'Print again every two seconds'}), async options =>
			runner.runWithOperator(options, (operator, format) => printStatus(operator, options.watch, format)))
		.command('boxes', 'List the boxes', builder => withCommonOptions(builder), async options =>
			runner.runWithOperator(options, (operator, format) => printBoxes(operator, format)))
		.command('rollout [service]', 'Show the rollouts on the users\' platform and their evidence', builder => withCommonOptions(builder)
			.positional('service', {type: 'string', describe: 'Only this service'})
			.option('store', {type: 'string', demandOption: true, describe: 'IP:PORT of the platform\'s metadata store'})
			.example('$0 rollout --store 10.200.1.7:8225', 'State, share, evidence by route, and why'), async options =>
			runner.run(printRollouts({store: options.store, service: options.service, format: options.output as OutputFormat})))
		.command('check <files..>', 'Check settings and tables, offline', builder => builder
			.positional('files', {type: 'string', array: true, demandOption: true})
			.example('$0 check box.yaml table.yaml', 'All faults at once; nothing is changed'), async ({files}) =>
			runner.run(checkFiles(files)))
		.completion('completion', 'Print a shell completion script')
		.demandCommand(1, 'Name a command; --help lists them.')
		.strict()
		.version(version)
		.help()
		.epilogue('Exit codes: 0 done, 1 failed, 2 invalid, 3 conflict, 4 platform unavailable, 5 not in force everywhere.')
		.fail((message, error) => {
			if (error as unknown) {
				throw error;
			}

			process.stderr.write(`${message}\nSee "waydrift --help".\n`);
			runner.code = exitCode.invalid;
		})
		.exitProcess(false);
	await parser.parseAsync();
	return runner.code;
}
