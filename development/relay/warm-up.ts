/**
 * Makes V8's code cache of the bundle: runs a relay on loopback, sends it requests of all kinds, and writes the cache, which then holds the functions that
 * serving requests needs. The parameter is the loader of the bundle. Development only.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import type {Script} from 'node:vm';
import {settingsVariable} from '../../platform/settings.js';
import {RelayInstallation} from './relay-installation.js';
import {freeRelayPorts, relaySettingsText} from './relay-settings-text.js';

/** Requests of each kind. */
const requests = 40;
/** Milliseconds between two requests. */
const requestInterval = 5;
/** Milliseconds from the start of the relay until it serves. */
const startTime = 700;
const paths = ['/calls/x', '/once/x', '/stream/x', '/whole/x', '/absent/x'];

/** Sends requests with and without a prompt, a key and a route. */
async function sendRequests(installation: RelayInstallation, port: number): Promise<void> {
	const answers: Array<Promise<unknown>> = [];
	for (let index = 0; index < requests * paths.length; index++) {
		const isKeyless = index % 17 === 0;
		answers.push(installation.call({
			path: paths[index % paths.length]!,
			method: 'POST',
			body: 'x',
			headers: {
				'Token-Count': '1460,80', 'Prompt-Prefix': `5c1e07a2:800,${index % 9}d3f06:410,${index}:250`, ...(isKeyless ? {Authorization: 'Bearer unknown'} : {}),
			},
		}, {port}));
		await pause(requestInterval);
	}

	await Promise.allSettled(answers);
}

const start = async (): Promise<void> => {
	const loader = process.argv[2]!;
	const folder = mkdtempSync(path.join(tmpdir(), 'waydrift-warm-up-'));
	const settings = path.join(folder, 'settings.yaml');
	const installation = await RelayInstallation.start({relays: 0, replicas: ['i-1', 'i-2', 'i-3']});
	installation.prepareReplicas(replica => {
		replica.streamEvents = 8;
	});
	const ports = await freeRelayPorts();
	writeFileSync(settings, relaySettingsText({
		name: 'warm-up', ports, storePort: installation.store.port, grace: 8,
	}));
	process.env[settingsVariable] = settings;
	process.argv = [process.argv[0]!, loader, 'relay'];
	process.stdout.write = () => true;
	const {script} = createRequire(loader)(loader) as {readonly script: Script};
	await pause(startTime);
	await sendRequests(installation, ports.front);
	writeFileSync(path.join(path.dirname(loader), 'waydrift.cache'), script.createCachedData());
	rmSync(folder, {recursive: true});
	// The relay runs on.
	process.exit(0);
};

void start();
