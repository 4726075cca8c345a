/** Bundles the program into one CommonJS file. */
import {build} from 'esbuild';

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

/**
 * @param {string} outfile - Where the bundle goes.
 * @param {string} entryPoint - The main module.
 * @returns {Promise<unknown>} Ends when it is written.
 */
export const bundle = async (outfile, entryPoint = 'src/command/main.ts') => build({
	entryPoints: [entryPoint],
	outfile,
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
