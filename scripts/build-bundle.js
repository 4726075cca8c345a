/**
 * Builds what runs on the users' platform: a loader, the bundle and V8's code cache of it. The first parameter is the folder; the others are the
 * options of Node with which the program will run, since V8 takes a cache only if it was made with the same ones.
 */
import {spawnSync} from 'node:child_process';
import {copyFileSync, mkdirSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {bundle} from './bundle.js';

const [folder = 'target', ...options] = process.argv.slice(2);
const inFolder = name => path.join(folder, name);
/** Milliseconds after which the program is taken to hang while its code cache is made. */
const timeout = 60_000;

mkdirSync(folder, {recursive: true});
rmSync(inFolder('waydrift.cache'), {force: true});
await bundle(inFolder('waydrift-bundle.cjs'));
copyFileSync('scripts/bundle-loader.cjs', inFolder('waydrift.cjs'));
await bundle(inFolder('warm-up.cjs'), 'development/relay/warm-up.ts');
const {status} = spawnSync(process.execPath, [...options, inFolder('warm-up.cjs'), path.resolve(inFolder('waydrift.cjs'))], {stdio: ['ignore', 2, 2], timeout});
if (status !== 0) {
	console.error('The code cache could not be made; the program works without it and starts more slowly.');
}
