/**
 * A stand-in for a replica of a service on the platform, with faults. Development only.
 */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {header} from '../../platform/names.js';
import {startStandin, type StandinRequest} from '../standins/standin-server.js';
import {StreamWriter, wholeStream, type StreamConduct} from './stream-writer.js';

/** What a replica does with the next requests. */
export type ReplicaConduct = {
	/** Milliseconds before an answer or before the first event. */
	readonly delay: number;
	/** Events of a stream; zero makes a whole answer. */
	readonly events: number;
	/** Milliseconds between events. */
	readonly gap: number;
	/** How a stream is written. */
	readonly stream: StreamConduct;
	/** How the answer goes wrong. */
	readonly fault:
		'none' | 'reset' | 'refuse' | 'error' | 'cut' | 'mute' | 'wrong-id' | 'extra' | 'unframed' | 'unframed-reset' | 'unframed-crash' | 'encoded' | 'cut-stream' | 'mute-stream' | 'elsewhere';
};

/** A fault of a replica that a request brings about: its process ends. */
export type CrashMark = {
	/** What a body holds under which the replica ends. */
	readonly mark: string;
	/** Milliseconds from the request to the end. */
	readonly delay: number;
	/** Called when it has ended. */
	readonly onEnd: () => void;
};

/** A request that a replica has run or refused. */
export type SeenRequest = {
	readonly id: string;
	readonly method: string;
	readonly target: string;
	readonly body: string;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
	readonly hasRun: boolean;
	/** Monotonic milliseconds at which it came. */
	readonly at: number;
	isAbandoned: boolean;
};

/** Bytes of an event that come before a cut inside it. */
const partOfEvent = 14;
const calm: ReplicaConduct = {
	delay: 5, events: 0, gap: 5, stream: wholeStream, fault: 'none',
};

/** The stand-in. */
export class ReplicaStandin {
	/**
	 * @param id - Its id.
	 * @returns The replica, listening on loopback.
	 */
	static async start(id: string): Promise<ReplicaStandin> {
		const replica = new ReplicaStandin(id);
		replica.server = await startStandin(0, async request => replica.answer(request));
		replica.server.on('connection', () => {
			replica.connections++;
		});
		return replica;
	}

	/** Requests in the order in which they came. */
	readonly seen: SeenRequest[] = [];
	/** Connections that were opened to it. */
	connections = 0;
	conduct: ReplicaConduct = calm;
	/** Under which body it ends; `undefined` where none ends it. */
	crashMark: CrashMark | undefined;
	/** How the stream is written that answers a body; `undefined` where the conduct tells it. */
	scriptOf: ((body: string) => Partial<StreamConduct>) | undefined;
	/** Events of an answer to a path under `/stream/`; zero leaves that to the conduct. */
	streamEvents = 0;
	private server!: Server;

	private constructor(readonly id: string) {}

	/** TCP port. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Whether it takes connections. */
	get isUp(): boolean {
		return this.server.listening;
	}

	/** Requests that it has run. */
	get runs(): readonly SeenRequest[] {
		return this.seen.filter(({hasRun}) => hasRun);
	}

	/**
	 * @param changes - What it does otherwise from now on.
	 */
	behave(changes: Partial<ReplicaConduct>): void {
		this.conduct = {...calm, ...changes};
	}

	/** Closes all connections and stops. */
	async close(): Promise<void> {
		this.server.closeAllConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}

	private async answer(request: StandinRequest): Promise<void> {
		const {conduct} = this;
		const {response, headers, incoming} = request;
		const id = String(headers[header.attempt]);
		const isElsewhere = conduct.fault === 'elsewhere' || (headers[header.expectInstance] !== undefined && headers[header.expectInstance] !== this.id);
		const hasRun = !isElsewhere && conduct.fault !== 'refuse';
		const seen: SeenRequest = {
			id, method: request.method, target: incoming.url ?? '', body: request.body, headers, hasRun, at: performance.now(), isAbandoned: false,
		};
		this.seen.push(seen);
		response.once('close', () => {
			seen.isAbandoned = !response.writableFinished;
		});
		const own = {'Attempt-Id': id, 'Server-Stamp': `stamp-${this.id}`};
		if (!hasRun) {
			response.writeHead(isElsewhere ? 421 : 503, {...own, 'Not-Executed': '1', 'Content-Length': '0'}).end();
			return;
		}

		const {crashMark} = this;
		if (crashMark && request.body.includes(crashMark.mark)) {
			await pause(crashMark.delay);
			// Several such requests at once end it once.
			if (this.server.listening) {
				crashMark.onEnd();
				await this.close();
			}

			return;
		}

		await pause(conduct.delay);
		const events = this.streamEvents > 0 && request.url.pathname.startsWith('/stream/') ? this.streamEvents : conduct.events;
		if (events > 0) {
			await this.stream(request, {...conduct, events}, own);
			return;
		}

		this.answerWhole(request, conduct, own);
	}

	private answerWhole({response, incoming}: StandinRequest, {fault}: ReplicaConduct, own: Readonly<Record<string, string>>): void {
		const body = `answer of ${this.id}`;
		const length = {'Content-Length': String(body.length)};
		switch (fault) {
			case 'mute': {
				return;
			}

			case 'reset': {
				incoming.socket.resetAndDestroy();
				return;
			}

			case 'cut': {
				response.writeHead(200, {...own, 'Content-Length': String(body.length + 10)});
				response.write(body, () => response.socket?.destroy());
				return;
			}

			case 'wrong-id': {
				response.writeHead(200, {...own, ...length, 'Attempt-Id': 'another'}).end(body);
				return;
			}

			case 'encoded': {
				response.writeHead(200, {...own, ...length, 'Content-Encoding': 'gzip'}).end(body);
				return;
			}

			case 'error': {
				response.writeHead(500, {...own, ...length}).end(body);
				return;
			}

			case 'extra': {
				response.writeHead(200, {...own, ...length}).end(body);
				response.socket?.write('HTTP/1.1 200 OK\r\nAttempt-Id: late\r\nContent-Length: 4\r\n\r\nlate');
				return;
			}

			case 'unframed': {
				response.socket?.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${own['Attempt-Id']}\r\nServer-Stamp: ${own['Server-Stamp']}\r\n\r\n${body}`);
				return;
			}

			case 'unframed-reset':
			case 'unframed-crash': {
				const {socket} = incoming;
				const reset = () => {
					socket.resetAndDestroy();
				};

				socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${own['Attempt-Id']}\r\nServer-Stamp: ${own['Server-Stamp']}\r\n\r\n${body.slice(0, 4)}`, () => {
					if (fault === 'unframed-crash') {
						// At once, so that the reader finds bytes and reset together.
						reset();
					} else {
						setTimeout(reset, 20);
					}
				});
				return;
			}

			default: {
				response.writeHead(200, {...own, ...length}).end(body);
			}
		}
	}

	private async stream({response, headers, body}: StandinRequest, conduct: ReplicaConduct, own: Readonly<Record<string, string>>): Promise<void> {
		const {events, gap} = conduct;
		await StreamWriter.create(response, {
			conduct: {...streamOf(conduct), ...this.scriptOf?.(body)}, replica: this.id, events, gap, after: Number(headers[header.lastEvent] ?? 0), headers: own,
		}).write();
	}
}

/** In the middle of a stream: of one from the beginning on, or of any. */
function streamOf({stream, fault, events}: ReplicaConduct): StreamConduct {
	const middle = Math.floor(events / 2) + 1;
	switch (fault) {
		case 'cut-stream': {
			return {...stream, breaksAt: {event: middle, bytes: partOfEvent}};
		}

		case 'mute-stream': {
			return {...stream, silentFrom: middle};
		}

		default: {
			return stream;
		}
	}
}
