/**
 * Runs the bundle beside this file with V8's code cache, so that a process that was killed serves again sooner. Without a cache, or with one that was
 * made by another version of Node or with other options, the bundle is compiled as usual.
 */
'use strict';
const {readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const {Script} = require('node:vm');

const bundle = path.join(__dirname, 'waydrift-bundle.cjs');

const readCache = () => {
	try {
		return readFileSync(path.join(__dirname, 'waydrift.cache'));
	} catch {
		return undefined;
	}
};

const cachedData = readCache();
const script = new Script(wrap(readFileSync(bundle, 'utf8')), {filename: bundle, cachedData});
module.exports = {script, isCacheUsed: cachedData !== undefined && script.cachedDataRejected === false};
Reflect.apply(script.runInThisContext(), {}, [{}, require, {exports: {}}, bundle, __dirname]);
