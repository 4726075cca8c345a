/**
 * HTTP proxy in front of a replica that answers a part of the requests itself, with a damaged head. Development only.
 */
import {once} from 'node:events';
import {
	createServer, request, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {header} from '../../platform/names.js';
import {resetConnection} from '../harness/reset-connection.js';
import {eventOf} from '../relay/stream-writer.js';
import {producerOf, stampOf, type ReplicaStandin} from '../relay/replica-standin.js';
import {portOf} from '../standins/standin-server.js';

/** Part of the requests that get a damaged head. */
const damagedPart = 0.3;
const loopback = '127.0.0.1';
/** Number of events of the answer that follows a head that breaks off. */
const strayEvents = 3;

/** The proxy. */
export class HeadCutter {
	/**
	 * @param replica - The replica to forward to.
	 * @param random - Draws which heads are damaged, and how.
	 * @returns The proxy, listening.
	 */
	static async create(replica: ReplicaStandin, random: () => number): Promise<HeadCutter> {
		const cutter = new HeadCutter(replica, random);
		cutter.server.listen(0, loopback);
		await once(cutter.server, 'listening');
		return cutter;
	}

	private readonly server: Server;

	private constructor(private readonly replica: ReplicaStandin, private readonly random: () => number) {
		this.server = createServer((incoming, response) => {
			if (random() < damagedPart) {
				this.damage(incoming);
			} else {
				this.forward(incoming, response);
			}
		});
	}

	/** Address of the proxy. */
	get address(): string {
		return `${loopback}:${portOf(this.server)}`;
	}

	/** Closes the proxy and its connections. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private forward(incoming: IncomingMessage, response: ServerResponse): void {
		const outgoing = request({
			host: loopback, port: this.replica.port, path: incoming.url, method: incoming.method, headers: incoming.headers, agent: false,
		});
		const destroy = () => {
			outgoing.destroy();
			response.destroy();
		};

		outgoing.on('error', destroy);
		response.on('close', () => outgoing.destroy());
		outgoing.once('response', answer => {
			answer.on('error', destroy);
			response.writeHead(answer.statusCode!, answer.headers);
			response.flushHeaders();
			answer.pipe(response);
		});
		incoming.pipe(outgoing);
	}

	private damage({headers, socket}: IncomingMessage): void {
		const {id} = this.replica;
		const attempt = String(headers[header.attempt]);
		const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Stamp: ${stampOf(id)}\r\nContent-Type: text/event-stream\r\n`;
		const part = head.slice(0, 1 + Math.floor(this.random() * (head.length - 1)));
		const stray = Array.from({length: strayEvents}, (_, index) => eventOf(producerOf(`${id}@stray`, attempt), index + 1)).join('');
		const texts = [part, `${head}\r\n`, `${part}\r\n${head}\r\n${stray}`];
		const isReset = this.random() < 0.5;
		socket.write(texts[Math.floor(this.random() * texts.length)]!, () => {
			if (isReset) {
				resetConnection(socket);
			} else {
				socket.end();
			}
		});
	}
}
