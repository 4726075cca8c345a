/** Builds dist/waydrift: one bundle, put into a copy of Node as a single executable. */
import {spawnSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync, readFileSync,
} from 'node:fs';
import process from 'node:process';
import {inject} from 'postject';
import {bundle} from './bundle.js';

const bundleFile = 'dist/waydrift.cjs';
const configuration = 'dist/sea-config.json';
const blob = 'dist/waydrift.blob';
const binary = 'dist/waydrift';
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', {recursive: true});
await bundle(bundleFile);

writeFileSync(configuration, JSON.stringify({
	main: bundleFile, output: blob, disableExperimentalSEAWarning: true, useCodeCache: true,
}));
const {status} = spawnSync(process.execPath, ['--experimental-sea-config', configuration], {stdio: ['ignore', 2, 2]});
if (status !== 0) {
	process.exit(status ?? 1);
}

rmSync(binary, {force: true});
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
await inject(binary, 'NODE_SEA_BLOB', readFileSync(blob), {sentinelFuse: fuse});
