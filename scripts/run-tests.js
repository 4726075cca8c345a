/** Runs the compiled tests with Node's runner; a name part as parameter runs only the files that contain it. */
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
import process from 'node:process';

const part = process.argv[2] ?? '';
const files = ['build/src', 'build/platform', 'build/development']
	.flatMap(folder => readdirSync(folder, {recursive: true}).map(name => `${folder}/${name}`))
	.filter(name => name.endsWith('.test.js') && name.includes(part))
	.sort();
const {status} = spawnSync(process.execPath, ['--enable-source-maps', '--test', '--test-concurrency=2', '--test-reporter=spec', ...files], {stdio: 'inherit'});
process.exit(status ?? 1);
