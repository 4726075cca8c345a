/**
 * Entry point of the program.
 */
import process from 'node:process';
import {version} from './version.js';

/**
 * Ignores SIGHUP, the signal to reload the settings. Without a listener, Node ends the process on a SIGHUP while modules are still
 * loading, which takes about 0.4 s on a busy machine. No reload is lost: the settings are read after loading.
 */
const ignoreReloadSignals = (): void => {
	process.on('SIGHUP', () => undefined);
};

/**
 * Runs a command. `relay` without options is loaded without the other commands, so that a relay that was killed serves again as soon
 * as possible.
 */
const run = async (args: readonly string[]): Promise<number> => {
	if (args[0] === 'relay') {
		ignoreReloadSignals();
	}

	if (args.length === 1 && args[0] === 'relay') {
		const {relay} = await import('./relay-command.js');
		return relay(undefined);
	}

	const {runCommandLine} = await import('./command-line.js');
	return runCommandLine(args, version);
};

const start = async (): Promise<void> => {
	// Exit explicitly: an open handle, such as an idle connection or a watch, must not keep a finished command alive.
	process.exit(await run(process.argv.slice(2)));
};

void start();
