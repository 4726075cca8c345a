/** Installs and compiles where that has not been done, so that one command works on a fresh clone. */
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import process from 'node:process';

const run = (command, parameters) => {
	const {status} = spawnSync(command, parameters, {stdio: ['ignore', 2, 2]});
	if (status !== 0) {
		process.exit(status ?? 1);
	}
};

const installed = 'node_modules/.package-lock.json';
const isInstalled = existsSync(installed) && statSync(installed).mtimeMs >= statSync('package-lock.json').mtimeMs;
if (!isInstalled && process.env.CI !== 'true') {
	run('npm', ['ci', '--no-audit', '--no-fund']);
}

run(process.execPath, ['node_modules/typescript/bin/tsc', '--project', 'tsconfig.build.json']);
