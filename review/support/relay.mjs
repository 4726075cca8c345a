/**
 * A relay of the project as a separate process, started with the command of the deploy file.
 */
import {spawn} from 'node:child_process';
import {createServer} from 'node:net';
import {readFileSync, writeFileSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '..', '..');
const command = /^run = "(.*)"$/m.exec(readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8'))[1].split(' ');

/** Ports below those that the system assigns to outgoing connections, one of which could otherwise take the port of a relay. */
const firstPort = 16_000;
const portCount = 14_000;

const isFree = async port => {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
};

/** A free port on loopback. */
export async function freePort() {
	for (let attempt = 0; attempt < 100; attempt++) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (await isFree(port)) {
			return port;
		}
	}

	throw new Error('no port is free');
}

export const folder = mkdtempSync(path.join(tmpdir(), 'review-'));

export class Relay {
	exits = [];
	lines = [];

	constructor({name, zone, storePort, dutyPort, seeds, bounds = {}}) {
		Object.assign(this, {
			name, zone, storePort, dutyPort, seeds, bounds,
		});
		this.file = path.join(folder, `${name}.yaml`);
	}

	async choosePorts() {
		[this.front, this.ready, this.control, this.metrics] = await Promise.all([freePort(), freePort(), freePort(), freePort()]);
	}

	write(isFirstStart) {
		const at = port => `127.0.0.1:${port}`;
		const settings = {
			node: this.name,
			dataCentre: this.zone,
			listen: {front: at(this.front), ready: at(this.ready), control: at(this.control)},
			metrics: {port: this.metrics},
			seeds: this.seeds.map(port => at(port)),
			isFirstStart,
			store: {address: at(this.storePort)},
			duties: this.dutyPort === undefined ? {address: null, kinds: null} : {address: at(this.dutyPort), kinds: ['usage_report']},
			limits: {
				processorShare: 0.675, processorSpeed: 1, link: 1000, memory: 350, descriptors: 4100,
			},
			bounds: {
				grace: 8,
				revoke: 5000,
				isRevocationStrict: true,
				retryRatio: 0.2,
				retryWindow: 10,
				retrySlack: 58,
				lease: 3000,
				isFenceRequired: false,
				reportWindow: 5,
				reportDelay: 10,
				drain: 2000,
				heartbeat: 1200,
				...this.bounds,
			},
			scheduling: {placement: 'load'},
		};
		writeFileSync(this.file, JSON.stringify(settings));
	}

	start(isFirstStart = false) {
		this.write(isFirstStart);
		const child = spawn(command[0], command.slice(1), {
			cwd: root, env: {
				PATH: process.env.PATH, HOME: folder, LANG: 'C', WAYDRIFT_NODE_FILE: this.file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		let rest = '';
		const read = text => {
			rest += text;
			const lines = rest.split('\n');
			rest = lines.pop();
			this.lines.push(...lines);
		};

		child.stdout.setEncoding('utf8').on('data', read);
		child.stderr.setEncoding('utf8').on('data', read);
		child.on('exit', (code, signal) => {
			this.exits.push({at: performance.now(), code, signal});
		});
	}

	async isReady() {
		try {
			const response = await fetch(`http://127.0.0.1:${this.ready}/api/readyz`, {signal: AbortSignal.timeout(900)});
			await response.text();
			return response.status === 200;
		} catch {
			return false;
		}
	}

	async untilReady(limit = 15_000) {
		const end = performance.now() + limit;
		while (performance.now() < end) {
			if (await this.isReady()) {
				return true;
			}

			await pause(50);
		}

		return false;
	}

	signal(name) {
		this.child?.kill(name);
	}

	async stop() {
		if (this.child && this.child.exitCode === null && this.child.signalCode === null) {
			const ended = new Promise(resolve => {
				this.child.once('exit', resolve);
			});
			this.child.kill('SIGKILL');
			await ended;
		}
	}
}
