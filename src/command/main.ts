/**
 * Entry point of the program.
 */
import process from 'node:process';
import {version} from './version.js';

/**
 * Without a listener Node ends a process that is told to read its settings anew while it still loads, some 0.4 s on a busy
 * machine; what it loads reads them afterwards.
 */
const outliveReloads = (): void => {
	process.on('SIGHUP', () => undefined);
};

/**
 * Each command line is loaded by itself: a relay that is killed is missed until it has loaded what it needs, and the
 * operators' commands are not that.
 */
const run = async (words: readonly string[]): Promise<number> => {
	if (words[0] === 'relay') {
		outliveReloads();
	}

	if (words.length === 1 && words[0] === 'relay') {
		const {relay} = await import('./relay-command.js');
		return relay(undefined);
	}

	const {runCommandLine} = await import('./command-line.js');
	return runCommandLine(words, version);
};

const start = async (): Promise<void> => {
	// What is left open (an idle connection, a watch) must not keep a finished command alive.
	process.exit(await run(process.argv.slice(2)));
};

void start();
