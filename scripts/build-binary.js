/** Builds dist/waydrift: one bundle, put into a copy of Node as a single executable. */
import {spawnSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync, readFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {inject} from 'postject';

const bundle = 'dist/waydrift.cjs';
const configuration = 'dist/sea-config.json';
const blob = 'dist/waydrift.blob';
const binary = 'dist/waydrift';
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/** Optional modules that bunyan and ws ask for and do without. */
const absent = ['dtrace-provider', 'mv', 'source-map-support', 'moment', 'safe-json-stringify', 'bufferutil', 'utf-8-validate'];

const emptyModules = {
	name: 'empty-modules',
	setup(bundler) {
		// The bundler's expressions know no flags.
		const filter = new RegExp(`^(?:${absent.join('|')})$`);
		bundler.onResolve({filter}, ({path}) => ({path, namespace: 'empty'}));
		bundler.onLoad({filter: /.*/, namespace: 'empty'}, () => ({contents: 'throw new Error("not in the binary");'}));
	},
};

mkdirSync('dist', {recursive: true});
await build({
	entryPoints: ['src/command/main.ts'],
	outfile: bundle,
	bundle: true,
	minify: true,
	keepNames: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	define: {'import.meta.url': 'moduleUrl'},
	banner: {js: 'const moduleUrl = require("node:url").pathToFileURL(__filename).href;'},
	plugins: [emptyModules],
	logLevel: 'warning',
});

writeFileSync(configuration, JSON.stringify({
	main: bundle, output: blob, disableExperimentalSEAWarning: true, useCodeCache: true,
}));
const {status} = spawnSync(process.execPath, ['--experimental-sea-config', configuration], {stdio: ['ignore', 2, 2]});
if (status !== 0) {
	process.exit(status ?? 1);
}

rmSync(binary, {force: true});
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
await inject(binary, 'NODE_SEA_BLOB', readFileSync(blob), {sentinelFuse: fuse});
