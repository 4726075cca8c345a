/**
 * A stand-in for the platform's metadata store and its duty calls. Everything that the pages do not tell is done as by a sound server.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const answerTime = 4;

export class Store {
	revision = 100;
	kinds = new Map();
	history = [];
	watchers = new Set();
	calls = [];
	duties = [];
	onDuty = undefined;
	doors = [];

	async start() {
		this.server = createServer((request, response) => {
			this.receive(request, response);
		});
		this.server.keepAliveTimeout = 60_000;
		await new Promise(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		this.port = this.server.address().port;
	}

	async stop() {
		for (const door of this.doors) {
			door.closeAllConnections();
			door.close();
		}

		this.server.closeAllConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}

	/** A listener of its own for one machine, which the store can turn away. */
	async openDoor() {
		const door = {isClosed: false, firstCallAt: undefined, port: 0};
		const server = createServer((request, response) => {
			door.firstCallAt ??= performance.now();
			if (door.isClosed) {
				request.resume();
				response.writeHead(503).end();
			} else {
				this.receive(request, response);
			}
		});
		this.doors.push(server);
		await new Promise(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		door.port = server.address().port;
		return door;
	}

	objects(kind) {
		if (!this.kinds.has(kind)) {
			this.kinds.set(kind, new Map());
		}

		return this.kinds.get(kind);
	}

	put(kind, name, {spec, status}) {
		const known = this.objects(kind).get(name);
		const object = {
			meta: {
				name, rev: 0, made: known?.meta.made ?? Date.now(), finalizers: [], deleting: false,
			}, spec: spec ?? known?.spec, status: status ?? known?.status ?? null,
		};
		if (known && JSON.stringify([known.spec, known.status]) === JSON.stringify([object.spec, object.status])) {
			return known;
		}

		this.revision++;
		object.meta.rev = this.revision;
		this.objects(kind).set(name, object);
		this.tell({
			kind, object, gone: false, rev: this.revision,
		});
		return object;
	}

	remove(kind, name) {
		const object = this.objects(kind).get(name);
		if (object) {
			this.revision++;
			this.objects(kind).delete(name);
			this.tell({
				kind, object: {...object, meta: {...object.meta, rev: this.revision}}, gone: true, rev: this.revision,
			});
		}
	}

	tell(change) {
		this.history.push(change);
		for (const watcher of [...this.watchers].filter(({kind}) => kind === change.kind)) {
			this.watchers.delete(watcher);
			clearTimeout(watcher.timer);
			this.sendChanges(watcher);
		}
	}

	sendChanges({kind, after, response}) {
		const events = this.history.filter(change => change.kind === kind && change.rev > after).map(({object, gone}) => ({object, gone}));
		this.send(response, 200, {events, at: this.revision});
	}

	send(response, status, content) {
		setTimeout(() => {
			response.writeHead(status, {'Content-Type': 'application/json'});
			response.end(content === undefined ? '' : JSON.stringify(content));
		}, answerTime);
	}

	receive(request, response) {
		const parts = [];
		request.on('data', part => {
			parts.push(part);
		});
		request.on('end', () => {
			const text = Buffer.concat(parts).toString();
			const url = new URL(request.url, 'http://store');
			this.calls.push({at: performance.now(), method: request.method, path: request.url});
			const [, api, area, kind, name, part] = url.pathname.split('/').map(piece => decodeURIComponent(piece));
			if (api !== 'api' || area !== 'objects') {
				const call = {
					at: performance.now(), path: url.pathname, holder: request.headers['duty-holder'], fence: Number(request.headers['fence-token']), body: text,
				};
				this.duties.push(call);
				this.send(response, this.onDuty?.(call) ?? 200, {});
				return;
			}

			if (request.method === 'GET') {
				this.read(response, {kind, name, url});
			} else {
				this.write(response, {
					method: request.method, kind, name, isStatus: part === 'status', url, body: text === '' ? {} : JSON.parse(text),
				});
			}
		});
	}

	read(response, {kind, name, url}) {
		if (name !== undefined) {
			const object = this.objects(kind).get(name);
			this.send(response, object ? 200 : 404, object ?? {});
			return;
		}

		const watch = url.searchParams.get('watch');
		if (watch === null) {
			this.send(response, 200, {items: [...this.objects(kind).values()], more: false, at: this.revision});
			return;
		}

		const watcher = {kind, after: Number(watch), response};
		if (this.history.some(change => change.kind === kind && change.rev > watcher.after)) {
			this.sendChanges(watcher);
			return;
		}

		this.watchers.add(watcher);
		watcher.timer = setTimeout(() => {
			this.watchers.delete(watcher);
			this.sendChanges(watcher);
		}, Number(url.searchParams.get('wait_ms') ?? 0));
	}

	write(response, {method, kind, name: named, isStatus, url, body}) {
		const name = named ?? body.meta?.name;
		const known = this.objects(kind).get(name);
		const rev = method === 'DELETE' ? url.searchParams.get('rev') ?? undefined : body.meta?.rev;
		if (method === 'POST' ? known : !known) {
			this.send(response, method === 'POST' ? 409 : 404, known ?? {});
			return;
		}

		if (method !== 'POST' && rev !== undefined && Number(rev) !== known.meta.rev) {
			this.send(response, 409, known);
			return;
		}

		if (method === 'DELETE') {
			this.remove(kind, name);
			this.send(response, 200, known);
			return;
		}

		this.send(response, method === 'POST' ? 201 : 200, this.put(kind, name, isStatus ? {status: body.status} : {spec: body.spec}));
	}
}
