/**
 * Entry point of the program.
 */
import process from 'node:process';
import {runCommandLine} from './command-line.js';
import {version} from './version.js';

const start = async (): Promise<void> => {
	// What is left open (an idle connection, a watch) must not keep a finished command alive.
	process.exit(await runCommandLine(process.argv.slice(2), version));
};

void start();
