import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {Child} from '../../../development/harness/child.js';
import {RelayInstallation, freePort, until} from '../../../development/relay/relay-installation.js';
import {freeRelayPorts, relaySettingsText, type RelayPorts} from '../../../development/relay/relay-settings-text.js';

let folder: string;
let child: Child | undefined;
let installation: RelayInstallation | undefined;

beforeEach(() => {
	folder = mkdtempSync(path.join(tmpdir(), 'waydrift-relay-'));
});

afterEach(async () => {
	await child?.kill();
	await installation?.close();
	child = undefined;
	installation = undefined;
	rmSync(folder, {recursive: true});
});

const settingsText = (ports: RelayPorts, storePort: number, grace = 8): string => relaySettingsText({
	name: 'box-1', ports, storePort, grace,
});

const file = (): string => path.join(folder, 'settings.yaml');
const write = (text: string) => {
	writeFileSync(file(), text);
};

const statusOf = async (port: number, target: string): Promise<number> => new Promise(resolve => {
	request({host: '127.0.0.1', port, path: target}, answer => {
		answer.resume();
		resolve(answer.statusCode ?? 0);
	}).on('error', () => {
		resolve(0);
	}).end();
});

const linesOf = (name: string) => child!.lines.filter(({eventName}) => eventName === name);
const start = () => {
	child = Child.start('src/command/main.js', ['relay', '--settings', file()]);
};

test('missing and invalid settings are logged and do not end the process; corrected settings are applied without a signal', async () => {
	installation = await RelayInstallation.start({relays: 0, replicas: ['i-1']});
	const ports = await freeRelayPorts();
	start();
	const missing = await child!.line(({eventName}) => eventName === 'settingsInvalid');
	assert.match(String(missing.detail), /ENOENT/v);
	write(settingsText(ports, installation.store.port).replace('grace: 8', 'grace: soon'));
	const bad = await child!.line(({eventName, detail}) => eventName === 'settingsInvalid' && !String(detail).includes('ENOENT'));
	assert.match(String(bad.detail), /bounds\.grace/v);
	write(settingsText(ports, installation.store.port));
	await child!.line(({eventName}) => eventName === 'relayStarted');
	let status = 0;
	await until(() => {
		void statusOf(ports.ready, '/api/readyz').then(found => {
			status = found;
		});
		return status === 200;
	});
	assert.equal(child!.isEnded, false);
});

async function stopAfter(event: string): Promise<number | undefined> {
	start();
	await child!.line(({eventName}) => eventName === event);
	child!.signal('SIGTERM');
	await until(() => child!.isEnded);
	return child!.exited;
}

test('a signal to stop during the start ends the process, whether or not it has valid settings', async () => {
	assert.equal(await stopAfter('settingsInvalid'), 0);
	write(settingsText(await freeRelayPorts(), await freePort()));
	assert.equal(await stopAfter('settingsApplied'), 0);
});

test('if the store is unreachable at the start, the relay logs it, answers 503 and keeps running', async () => {
	const ports = await freeRelayPorts();
	write(settingsText(ports, await freePort()));
	start();
	await child!.line(({eventName}) => eventName === 'storeLost');
	assert.equal(await statusOf(ports.ready, '/api/readyz'), 503);
	assert.equal(await statusOf(ports.front, '/calls/x'), 503);
	assert.equal(child!.isEnded, false);
});

test('repeated SIGHUPs reload the settings without ending the process; invalid settings leave those in force unchanged', async () => {
	const ports = await freeRelayPorts();
	write(settingsText(ports, await freePort()));
	start();
	await child!.line(({eventName}) => eventName === 'relayStarted');
	write(settingsText(ports, 1, 9));
	for (let signal = 0; signal < 20; signal++) {
		child!.signal('SIGHUP');
	}

	await child!.line(({eventName, isReload}) => eventName === 'settingsApplied' && isReload === true);
	write('node: [');
	child!.signal('SIGHUP');
	await child!.line(({eventName}) => eventName === 'settingsInvalid');
	assert.equal(linesOf('settingsApplied').length, 2);
	assert.equal(child!.isEnded, false);
	child!.signal('SIGTERM');
	await child!.line(({eventName}) => eventName === 'relayStopping');
	child!.signal('SIGTERM');
	await child!.exited;
	assert.equal(linesOf('relayStopped').length, 1, 'the process stops in an orderly way despite the second SIGTERM');
});

// The listeners were removed some milliseconds before the exit, so that a signal then ended the process by its default action.
test('stop signals that arrive while the process exits change nothing', async () => {
	const ports = await freeRelayPorts();
	write(settingsText(ports, await freePort()));
	start();
	await child!.line(({eventName}) => eventName === 'relayStarted');
	child!.signal('SIGTERM');
	await child!.line(({eventName}) => eventName === 'relayStopped');
	while (!child!.isEnded) {
		for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
			child!.signal(signal);
		}

		await pause(1);
	}

	assert.equal(await child!.exited, 0);
});

/** Returns a module loader hook that delays the relay's modules until a file exists, to simulate slow loading on a busy machine. */
const delayedLoading = (releaseFile: string): string => `import {existsSync} from 'node:fs';
export async function resolve(specifier, context, next) {
	while (specifier.endsWith('relay-command.js') && !existsSync(${JSON.stringify(releaseFile)})) {
		await new Promise(resume => setTimeout(resume, 10));
	}

	return next(specifier, context);
}`;
const asModule = (code: string): string => `data:text/javascript,${encodeURIComponent(code)}`;

test('a SIGHUP while the program is loading does not end the process', async () => {
	const ports = await freeRelayPorts();
	write(settingsText(ports, await freePort()));
	const releaseFile = path.join(folder, 'loaded');
	const registration = asModule(`import {register} from 'node:module'; register(${JSON.stringify(asModule(delayedLoading(releaseFile)))});`);
	child = Child.start('src/command/main.js', ['relay', '--settings', file()], ['--import', registration]);
	// Node has no signal handler of its own: wait until the program has registered one.
	await until(() => child!.hasListenerFor('SIGHUP'));
	assert.equal(child.lines.length, 0, 'the relay has not started yet');
	child.signal('SIGHUP');
	writeFileSync(releaseFile, '');
	await child.line(({eventName}) => eventName === 'relayStarted');
	assert.equal(child.isEnded, false);
});

/** @returns The lines that the log of the relay has left out; 0 if the relay does not answer. */
async function countLostLines(port: number): Promise<number> {
	try {
		const answer = await fetch(`http://127.0.0.1:${port}/metrics`);
		return Number(/^waydrift_relay_log_lines_left_out_total (?<count>\d+)$/mv.exec(await answer.text())?.groups?.count ?? 0);
	} catch {
		return 0;
	}
}

test('a relay keeps serving after the reader of its log has exited, and counts the lost lines', async () => {
	installation = await RelayInstallation.start({relays: 0, replicas: ['i-1']});
	const ports = await freeRelayPorts();
	write(settingsText(ports, installation.store.port));
	start();
	await child!.line(({eventName}) => eventName === 'relayStarted');
	child!.closeOutput();
	write('node: [');
	let lostLines = 0;
	await until(() => {
		child!.signal('SIGHUP');
		void countLostLines(ports.metrics).then(count => {
			lostLines = count;
		});
		return lostLines > 1 || child!.isEnded;
	});
	assert.equal(child!.isEnded, false);
	assert.equal(await statusOf(ports.ready, '/api/readyz'), 200);
});

// A box that was still starting when it got the signal counted its grace period from the end of its start, and was killed with requests in progress.
test('the grace period counts from the stop signal, also if the box is waiting for its port then', async () => {
	const grace = 4;
	const waitTime = 2500;
	installation = await RelayInstallation.start({relays: 0, replicas: ['i-1']});
	installation.replicas.get('i-1')!.behave({events: 1000, gap: 20});
	const ports = await freeRelayPorts();
	const previous = createServer().listen(ports.front, '127.0.0.1');
	write(settingsText(ports, installation.store.port, grace));
	start();
	await child!.line(({eventName}) => eventName === 'settingsApplied');
	await pause(500);
	const signalledAt = performance.now();
	child!.signal('SIGTERM');
	await pause(waitTime);
	previous.close();
	await child!.line(({eventName}) => eventName === 'relayStopping');
	// A stream that the box takes now would last beyond the grace period.
	const status = await statusOf(ports.front, '/stream/late');
	assert.equal(await child!.exited, 0);
	assert.ok(performance.now() - signalledAt < grace * 1000, `exit after ${Math.round(performance.now() - signalledAt)} ms`);
	assert.notEqual(status, 200);
});
