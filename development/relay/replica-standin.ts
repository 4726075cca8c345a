/**
 * A stand-in for a replica of a service on the platform, with faults. Development only.
 */
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {header} from '../../platform/names.js';
import {resetConnection} from '../harness/reset-connection.js';
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

/** A replica turns requests away and asks for a time without any. */
export type Shedding = {
	/** Of so many requests the last is turned away. */
	readonly every: number;
	/** What the answer says of the time. */
	readonly retryAfter: string;
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
	/** Milliseconds without requests that its answer asked for; `undefined` where it was not turned away so. */
	readonly pauseAsked: number | undefined;
	/** Whether its answer said that the replica leaves. */
	readonly saidLeaving: boolean;
	isAbandoned: boolean;
	/** Whether it is a stream that was written to its end, as it should be, and read. */
	isRightStream: boolean;
};

const millisecondsPerSecond = 1000;
/** Bytes of an event that come before a cut inside it. */
const partOfEvent = 14;
/** Faults of a stream itself; with another one a request for a stream is answered as one for a whole answer. */
const streamFaults: ReadonlySet<ReplicaConduct['fault']> = new Set(['none', 'cut-stream', 'mute-stream']);
const calm: ReplicaConduct = {
	delay: 5, events: 0, gap: 5, stream: wholeStream, fault: 'none',
};

/**
 * @param replica - Id of a replica.
 * @param request - Id of a request that it ran.
 * @returns What an answer names as its maker where replicas name requests too.
 */
export const makerOf = (replica: string, request: string): string => `${replica} for ${request}`;

/**
 * @param maker - Who made it.
 * @returns Body of a whole answer.
 */
export const wholeAnswerOf = (maker: string): string => `answer of ${maker}`;

/**
 * @param replica - Id of a replica.
 * @returns The signature on its answers.
 */
export const stampOf = (replica: string): string => `stamp-${replica}`;

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
	/** What its answers name as the requests a second that it takes of all boxes, as text, whatever else goes wrong; `undefined` where they name none. */
	limit: string | undefined;
	/** Whether its answers say that it leaves. */
	isLeaving = false;
	/** How it turns requests away; `undefined` where it does not. */
	shedding: Shedding | undefined;
	/** Under which body it ends; `undefined` where none ends it. */
	crashMark: CrashMark | undefined;
	/** How the stream is written that answers a body; `undefined` where the conduct tells it. */
	scriptOf: ((body: string) => Partial<StreamConduct>) | undefined;
	/** Events of an answer to a path under `/stream/`; zero leaves that to the conduct. */
	streamEvents = 0;
	/** Whether answers name the request too, so that those of two requests differ. */
	namesRequests = false;
	private server!: Server;
	private readonly unframed = new Set<Socket>();

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

	/** @returns Connections that are open to it. */
	async openConnections(): Promise<number> {
		return new Promise(resolve => {
			this.server.getConnections((_, count) => {
				resolve(count);
			});
		});
	}

	/** Closes all connections and stops. Answers without a length end by a reset: nobody could tell their end from the whole. */
	async close(): Promise<void> {
		for (const socket of this.unframed) {
			resetConnection(socket);
		}

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
		const {shedding} = this;
		const isShed = shedding !== undefined && (this.seen.length + 1) % shedding.every === 0;
		const hasRun = !isElsewhere && !isShed && conduct.fault !== 'refuse';
		const seen: SeenRequest = {
			id, method: request.method, target: incoming.url ?? '', body: request.body, headers, hasRun, at: performance.now(), isAbandoned: false, isRightStream: false,
			pauseAsked: isShed ? Number(shedding.retryAfter) * millisecondsPerSecond : undefined, saidLeaving: this.isLeaving,
		};
		this.seen.push(seen);
		response.once('close', () => {
			seen.isAbandoned = !response.writableFinished;
		});
		const own = {
			'Attempt-Id': id,
			'Server-Stamp': stampOf(this.id),
			...(this.limit === undefined ? {} : {'Server-Limit': this.limit}),
			...(this.isLeaving ? {'Server-Leaving': '1'} : {}),
			...(isShed ? {'Retry-After': shedding.retryAfter} : {}),
		};
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
		if (events > 0 && streamFaults.has(conduct.fault)) {
			const isRight = await this.stream(request, {...conduct, events}, own);
			response.once('finish', () => {
				seen.isRightStream = isRight;
			});
			return;
		}

		this.answerWhole(request, conduct, own);
	}

	private answerWhole({response, incoming}: StandinRequest, {fault}: ReplicaConduct, own: Readonly<Record<string, string>>): void {
		const body = wholeAnswerOf(this.makerFor(own['Attempt-Id']!));
		const length = {'Content-Length': String(body.length)};
		switch (fault) {
			case 'mute': {
				return;
			}

			case 'reset': {
				resetConnection(incoming.socket);
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
					resetConnection(socket);
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

	private makerFor(request: string): string {
		return this.namesRequests ? makerOf(this.id, request) : this.id;
	}

	private async stream({response, headers, body, incoming: {socket}}: StandinRequest, conduct: ReplicaConduct, own: Readonly<Record<string, string>>): Promise<boolean> {
		const {events, gap} = conduct;
		const script = {...streamOf(conduct), ...this.scriptOf?.(body)};
		if (script.framing === 'none') {
			this.unframed.add(socket);
			socket.once('close', () => this.unframed.delete(socket));
		}

		return StreamWriter.create(response, {
			conduct: script, replica: this.makerFor(own['Attempt-Id']!), events, gap, after: Number(headers[header.lastEvent] ?? 0), headers: own,
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
