/**
 * Stand-ins for replicas: they keep themselves in the store, answer with the id of the request and their stamp, and note what they run.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {commonEntry, now, sleep} from './world.mjs';

/** A replica of a service. */
export class Replica {
	/**
	 * @param plan - `id`, `service`, `slots`, `work` (milliseconds of a call, or before the first event), `events` (of a stream; 0 gives a plain
	 * answer), `gap` (milliseconds between events), and `garbles`, called with the number of each answer: whether to spoil its bytes;
	 * `fails`, called in the same way: whether to fail the request after its work.
	 */
	static async start({store, record, host = '127.0.0.1', ...plan}) {
		const replica = new Replica();
		Object.assign(replica, {
			work: 20, events: 0, gap: 50, slots: 32, garbles: () => false, fails: () => false, bodyOf: id => `answer to ${id}`, ...plan, store, record,
		});
		replica.server = createServer((incoming, response) => {
			replica.receive(incoming, response);
		});
		replica.server.keepAliveTimeout = 30_000;
		replica.server.on('connection', socket => {
			replica.sockets.add(socket);
			socket.once('close', () => replica.sockets.delete(socket));
		});
		await new Promise(resolve => {
			replica.server.listen(0, host, resolve);
		});
		replica.address = `${host}:${replica.server.address().port}`;
		replica.list();
		replica.timer = setInterval(() => {
			replica.list();
		}, 1200);
		return replica;
	}

	seq = 0;
	sockets = new Set();
	hasCrashed = false;
	lapse = undefined;
	answers = 0;
	/** Runs: id of the request, and when it began. */
	runs = [];
	state = 'ready';

	list() {
		const {id, service, address: addr, slots, state, store} = this;
		store.put('servers', id, {
			...commonEntry, service, addr, slots, state, seq: ++this.seq,
		});
	}

	async receive(incoming, response) {
		const parts = [];
		incoming.on('data', part => parts.push(part));
		await new Promise(resolve => {
			incoming.once('end', resolve);
			incoming.once('close', resolve);
		});
		const {headers} = incoming;
		const id = headers['attempt-id'] ?? '';
		const common = {'Attempt-Id': id, 'Server-Stamp': `stamp.${this.id}.${id}`};
		if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
			response.writeHead(421, {...common, 'Not-Executed': '1', 'Content-Length': '0'}).end();
			return;
		}

		this.runs.push({
			id, at: now(), headers, url: incoming.url, method: incoming.method, body: Buffer.concat(parts).toString(),
		});
		this.record.write(`${this.id} runs ${id}`);
		await sleep(this.work);
		this.answers++;
		if (response.destroyed) {
			this.record.write(`${this.id} drops ${id}: its connection is closed`);
			return;
		}

		if (this.fails(this.answers)) {
			this.record.write(`${this.id} fails ${id} after its work, with 503 and without Not-Executed`);
			response.writeHead(503, {...common, 'Content-Length': '6'}).end('failed');
			return;
		}

		if (this.garbles(this.answers)) {
			this.garble(id, response);
			return;
		}

		if (this.events === 0) {
			const body = this.bodyOf(id);
			response.writeHead(200, {...common, 'Content-Length': String(Buffer.byteLength(body))}).end(body);
			return;
		}

		response.writeHead(200, {...common, 'Content-Type': 'text/event-stream'});
		for (let number = 1; number <= this.events && !response.destroyed; number++) {
			response.write(`id: ${number}\ndata: ${id} ${number}\n\n`);
			await sleep(this.gap);
		}

		response.end();
	}

	/** One bit of the first digit of the status is wrong: 000 instead of 200. */
	garble(id, response) {
		this.record.write(`${this.id} spoils its answer to ${id}: one wrong bit makes its status 000`);
		const event = `id: 1\ndata: ${id} 1\n\n`;
		response.socket.write([
			'HTTP/1.1 000 OK', `Attempt-Id: ${id}`, `Server-Stamp: stamp.${this.id}.${id}`, 'Content-Type: text/event-stream', `Content-Length: ${event.length}`, '', event,
		].join('\r\n'));
	}

	/** Ends as a crashed process does: its connections are reset, its port refuses connections, and its entry lapses after three heartbeats. */
	crash() {
		this.record.write(`${this.id} crashes`);
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}

		this.hasCrashed = true;
		this.lapse = setTimeout(() => {
			this.store.remove('servers', this.id);
		}, 3600);
	}

	close() {
		clearTimeout(this.lapse);
		clearInterval(this.timer);
		this.server.closeAllConnections();
		this.server.close();
	}
}
