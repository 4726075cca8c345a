/**
 * Stand-ins for a small deployment on loopback: the platform's metadata store and duty calls, relays as separate processes with the run
 * command of the deploy file, and the record of a run. Plain Node, without dependencies.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const begin = performance.now();
/** Configuration, settings and entries in the words of the pages. */
const deployment = JSON.parse(readFileSync(new URL('deployment.json', import.meta.url), 'utf8'));

export const sleep = milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

// A fault of the script itself is no broken rule.
process.on('uncaughtException', error => {
	console.error(error);
	process.exit(2);
});

/** Milliseconds since the start of the script. */
export const now = () => performance.now() - begin;

/** The record of a run, one line for each thing that was sent, answered or run. */
export class RunRecord {
	constructor(file) {
		this.file = file;
		writeFileSync(file, '');
	}

	write(text) {
		appendFileSync(this.file, `${(now() / 1000).toFixed(3)} ${text}\n`);
	}
}

/** A port that is free on an address. */
export const freePort = (host = '127.0.0.1') => new Promise((resolve, reject) => {
	const server = createTcpServer();
	server.once('error', reject);
	server.listen(0, host, () => {
		const {port} = server.address();
		server.close(() => {
			resolve(port);
		});
	});
});

const readBody = incoming => new Promise(resolve => {
	const parts = [];
	incoming.on('data', part => parts.push(part));
	incoming.on('end', () => {
		resolve(Buffer.concat(parts).toString());
	});
});

/** The platform's metadata store, as PROTOCOL.md describes it. */
export class Store {
	static async start({record, host = '127.0.0.1'}) {
		const store = new Store();
		store.record = record;
		store.server = createServer(async (incoming, response) => {
			const body = await readBody(incoming);
			store.answer(incoming, response, body);
		});
		store.server.keepAliveTimeout = 60_000;
		await new Promise(resolve => {
			store.server.listen(0, host, resolve);
		});
		store.host = host;
		store.port = store.server.address().port;
		return store;
	}

	revision = 1;
	kinds = new Map();
	history = [];
	watchers = new Set();
	dutyCalls = [];
	/** Called with each write of the system: returns 'lose' to carry it out without an answer, otherwise undefined. */
	onWrite = () => undefined;

	get address() {
		return `${this.host}:${this.port}`;
	}

	objects(kind) {
		if (!this.kinds.has(kind)) {
			this.kinds.set(kind, new Map());
		}

		return this.kinds.get(kind);
	}

	/** A write of the operator or of a replica. */
	put(kind, name, spec) {
		const object = {meta: {name, rev: ++this.revision, finalizers: []}, spec, status: this.objects(kind).get(name)?.status ?? null};
		this.objects(kind).set(name, object);
		this.change(kind, object, false);
		return object;
	}

	remove(kind, name) {
		const object = this.objects(kind).get(name);
		if (object) {
			this.objects(kind).delete(name);
			this.change(kind, {...object, meta: {...object.meta, rev: ++this.revision}}, true);
		}
	}

	change(kind, object, gone) {
		this.history.push({
			kind, object, gone, rev: this.revision,
		});
		for (const watcher of [...this.watchers].filter(one => one.kind === kind)) {
			watcher.wake();
		}
	}

	answer(incoming, response, body) {
		const url = new URL(incoming.url, 'http://store');
		const send = (status, value) => {
			if (!response.destroyed) {
				response.writeHead(status, {'Content-Type': 'application/json'}).end(value === undefined ? '' : JSON.stringify(value));
			}
		};

		if (url.pathname === '/usage' || url.pathname === '/scale') {
			const call = {
				at: now(), path: url.pathname, holder: incoming.headers['duty-holder'], fence: Number(incoming.headers['fence-token']), body,
			};
			this.dutyCalls.push(call);
			this.record.write(`platform gets POST ${call.path} from ${call.holder} with fence ${call.fence}: ${body}`);
			send(200, {});
			return;
		}

		const [kind, name, part] = url.pathname.slice('/api/objects/'.length).split('/').map(text => decodeURIComponent(text));
		if (incoming.method === 'GET') {
			this.read({
				url, kind, name, response, send,
			});
			return;
		}

		const fate = this.onWrite({
			method: incoming.method, kind, name: name ?? JSON.parse(body).meta.name, body,
		});
		const [status, value] = this.write({
			method: incoming.method, url, kind, name, part, body,
		});
		if (fate === 'lose') {
			incoming.socket.destroy();
		} else {
			send(status, value);
		}
	}

	read({url, kind, name, response, send}) {
		if (name !== undefined) {
			const object = this.objects(kind).get(name);
			send(object ? 200 : 404, object);
			return;
		}

		const after = url.searchParams.get('watch');
		if (after === null) {
			send(200, {items: [...this.objects(kind).values()], more: false, at: this.revision});
			return;
		}

		const eventsSince = () => this.history.filter(event => event.kind === kind && event.rev > Number(after)).map(({object, gone}) => ({object, gone}));
		const finish = () => {
			clearTimeout(timer);
			this.watchers.delete(watcher);
			send(200, {events: eventsSince(), at: this.revision});
		};

		const watcher = {kind, wake: finish};
		const timer = setTimeout(finish, Number(url.searchParams.get('wait_ms') ?? 0));
		response.on('close', () => {
			clearTimeout(timer);
			this.watchers.delete(watcher);
		});
		if (eventsSince().length > 0) {
			finish();
		} else {
			this.watchers.add(watcher);
		}
	}

	write({method, url, kind, name, part, body}) {
		if (method === 'DELETE') {
			const held = this.objects(kind).get(name);
			const expected = url.searchParams.get('rev');
			if (!held) {
				return [404];
			}

			if (expected !== null && Number(expected) !== held.meta.rev) {
				return [409, held];
			}

			this.remove(kind, name);
			return [200, held];
		}

		const sent = JSON.parse(body);
		const target = name ?? sent.meta.name;
		const held = this.objects(kind).get(target);
		if (method === 'POST' && held) {
			return [409, held];
		}

		if (method === 'PUT' && !held) {
			return [404];
		}

		if (method === 'PUT' && sent.meta.rev !== undefined && sent.meta.rev !== held.meta.rev) {
			return [409, held];
		}

		const object = {
			meta: {name: target, rev: ++this.revision, finalizers: sent.meta.finalizers ?? []},
			spec: part === 'status' ? held.spec : sent.spec,
			status: part === 'status' ? sent.status : held?.status ?? null,
		};
		this.objects(kind).set(target, object);
		this.change(kind, object, false);
		return [200, object];
	}

	close() {
		this.server.closeAllConnections();
		this.server.close();
	}
}

/** The value of a gap of the template of the settings; a field that does not exist gives null. */
const valueAt = (fields, name) => fields[name] ?? null;

/** Fields of the settings, as DEPLOY.md shows them for a small deployment. */
const commonFields = deployment.settings;

/** A relay as a process of its own, which is started again after it has ended, as the platform does. */
export class Relay {
	static folder = mkdtempSync(path.join(tmpdir(), 'review-'));

	static async plan({name, host, zone = 'ahd-a'}) {
		const [front, ready, control, metrics] = await Promise.all(Array.from({length: 4}, () => freePort(host)));
		return {
			name, host, zone, front, ready, control, metrics,
		};
	}

	constructor({plan, seeds, store, record, fields = {}}) {
		// However the script ends, it leaves no process behind.
		process.on('exit', () => {
			this.child?.kill('SIGKILL');
		});
		this.plan = plan;
		this.record = record;
		this.fields = {
			...commonFields, node: plan.name, zone: plan.zone, 'listen.front': `${plan.host}:${plan.front}`, 'listen.ready': `${plan.host}:${plan.ready}`,
			'listen.control': `${plan.host}:${plan.control}`, seeds, 'provider.addr': store.address, 'cloud.addr': store.address, ...fields,
		};
		this.file = path.join(Relay.folder, `${plan.name}.yaml`);
		this.ends = [];
		this.output = '';
	}

	get pid() {
		return this.child.pid;
	}

	writeSettings() {
		const template = readFileSync(path.join(root, 'deploy/settings.yaml'), 'utf8');
		const text = template.replaceAll(/{{([\w.]+)\|json}}/g, (_, name) => JSON.stringify(valueAt(this.fields, name)))
			.replace(/port: 7615/, `port: ${this.plan.metrics}`);
		writeFileSync(this.file, text);
	}

	start() {
		this.writeSettings();
		const run = /run = "([^"]+)"/.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ');
		const [program, ...args] = run;
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, WAYDRIFT_NODE_FILE: this.file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		const keep = data => {
			this.output = (this.output + data).slice(-2_000_000);
		};

		child.stdout.on('data', keep);
		child.stderr.on('data', keep);
		this.record.write(`${this.plan.name} started as process ${child.pid}`);
		child.once('exit', (code, signal) => {
			this.ends.push({
				at: now(), code, signal, wanted: this.isEnding === true, output: this.output.slice(-1500),
			});
			this.record.write(`${this.plan.name}, process ${child.pid}, ended with ${signal ?? `code ${code}`}${this.isEnding ? '' : ', by itself'}`);
			if (!this.isEnding) {
				// As the platform does: started again after a short delay, with the settings of that moment.
				this.fields.bootstrap = false;
				setTimeout(() => {
					if (!this.isClosed) {
						this.start();
					}
				}, 500);
			}
		});
	}

	async untilReady(limit = 15_000) {
		const end = now() + limit;
		while (now() < end) {
			try {
				const {status} = await fetch(`http://${this.plan.host}:${this.plan.ready}/api/readyz`);
				if (status === 200) {
					return true;
				}
			} catch {
				// Not listening yet.
			}

			await sleep(50);
		}

		return false;
	}

	signal(name) {
		this.record.write(`${this.plan.name} gets ${name}`);
		this.child.kill(name);
	}

	close() {
		this.isClosed = true;
		this.isEnding = true;
		this.child.kill('SIGCONT');
		this.child.kill('SIGKILL');
	}
}

export const removeFolder = () => {
	rmSync(Relay.folder, {recursive: true, force: true});
};

/** A configuration with one tenant, two streaming routes, one of calls that must not be repeated and one of calls that may. */
export const configurationOf = (version, changes = {}) => ({version, ...deployment.configuration, ...changes});

/** Fields of the entry of a replica in the store that are alike for all. */
export const {entry: commonEntry} = deployment;

export const key = 'i9n73hh2b9wu3fexd9dn';
