/**
 * A stand-in for a replica in the process of the test. It answers at once, runs any number of requests at a time, and tells what it runs.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {wire} from './wire.mjs';

/** Milliseconds of work of a request. */
const workTime = 15;
/** Milliseconds between two writes of the entry. */
const heartbeat = 1200;

export class Replica {
	runs = [];
	state = 'ready';
	/** Answers a request; by default with a plain body. */
	conduct = ({response, head, run}) => {
		setTimeout(() => {
			const body = `answer of ${this.id} to ${run.id}\n`;
			response.writeHead(200, {...head, 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(body)});
			response.end(body);
		}, workTime);
	};

	constructor({
		store, id, service, zone, slots = 32, onRun = () => undefined,
	}) {
		Object.assign(this, {
			store, id, service, zone, slots, onRun,
		});
	}

	async start() {
		this.server = createServer((request, response) => {
			const parts = [];
			request.on('data', part => {
				parts.push(part);
			});
			request.on('error', () => undefined);
			request.on('end', () => {
				this.answer(request, response, Buffer.concat(parts).toString());
			});
		});
		await new Promise(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		this.port = this.server.address().port;
		this.beat();
		this.timer = setInterval(() => {
			this.beat();
		}, heartbeat);
	}

	beat() {
		this.store.put('servers', this.id, {
			spec: wire({
				service: this.service, addr: `127.0.0.1:${this.port}`, zone: this.zone, version: 1, slots: this.slots, state: this.state, coldLeftMs: 0, seq: this.state === 'ready' ? 1 : 2,
			}),
		});
	}

	stop() {
		clearInterval(this.timer);
		this.server?.closeAllConnections();
		this.server?.close();
	}

	answer(request, response, body) {
		const {headers, url, method} = request;
		const id = headers['attempt-id'];
		if (id === undefined) {
			response.writeHead(400, {'Not-Executed': '1'}).end();
			return;
		}

		const head = {'Attempt-Id': id, 'Server-Stamp': `stamp-${this.id}`};
		if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
			response.writeHead(421, {...head, 'Not-Executed': '1'}).end();
			return;
		}

		const run = {
			at: performance.now(), id, replica: this.id, url, method, body, headers,
		};
		this.runs.push(run);
		this.onRun(run);
		this.conduct({
			request, response, head, run,
		});
	}
}
