/**
 * A stand-in for a replica of a service on the platform, with fault injection. Development only.
 */
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {header} from '../../platform/names.js';
import {resetConnection} from '../harness/reset-connection.js';
import {startStandin, type StandinRequest} from '../standins/standin-server.js';
import {StreamWriter, wholeStream, type StreamConduct} from './stream-writer.js';

/** How a replica responds to the following requests. */
export type ReplicaConduct = {
	/** Milliseconds before a response or before the first event of a stream. */
	readonly delay: number;
	/** Number of events of a stream; 0 gives a plain response. */
	readonly events: number;
	/** Bytes of a plain response after its text. */
	readonly padding: number;
	/** Milliseconds between events. */
	readonly gap: number;
	/** How a stream is written. */
	readonly stream: StreamConduct;
	/** Milliseconds before the response to a request that it does not run. */
	readonly refusalDelay: number;
	/** Fault of the response. */
	readonly fault:
		'none' | 'reset' | 'refuse' | 'error' | 'cut' | 'mute' | 'wrong-id' | 'extra' | 'unframed' | 'unframed-reset' | 'unframed-crash' | 'encoded' | 'cut-stream' | 'mute-stream' | 'elsewhere';
};

/** Load shedding: a replica refuses requests and asks for a pause with `Retry-After`. */
export type Shedding = {
	/** Refuses every nth request. */
	readonly every: number;
	/** Value of `Retry-After`, in seconds. */
	readonly retryAfter: string;
};

/** A limited number of places, and how a replica that is brittle counts the requests that it rejects for lack of them. */
export type Room = {
	/** Requests that run at once. */
	readonly slots: number;
	/** Requests that may wait for a slot. */
	readonly waiting: number;
	/** Rejections a second above which the replica falls over, as it announces. */
	readonly rejections: number;
};

/** A crash of a replica that a request causes. */
export type CrashMark = {
	/** Text in a request body, or id of a part of its prompt, that makes the replica crash. */
	readonly mark: string;
	/** Milliseconds from the request to the crash. */
	readonly delay: number;
	/** Whether the replica begins its answer before the crash. */
	readonly isAnswering: boolean;
	/** Called at the crash, before the connections are closed. */
	readonly onCrash: () => void;
};

/** A request that a replica received, whether it ran or was refused. */
export type SeenRequest = {
	readonly id: string;
	readonly method: string;
	readonly target: string;
	readonly body: string;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
	readonly hasRun: boolean;
	/** Time of arrival, in monotonic milliseconds. */
	readonly at: number;
	/** Pause in milliseconds that the response asked for; `undefined` if the request was not shed. */
	readonly requestedPause: number | undefined;
	/** Whether the response announced that the replica is leaving. */
	readonly announcedLeaving: boolean;
	isAbandoned: boolean;
	/** Whether the response is a correct stream that was sent completely. */
	isCorrectStream: boolean;
};

const millisecondsPerSecond = 1000;
/** Milliseconds between two checks for a free slot. */
const slotCheckInterval = 2;
/** Number of bytes of an event that are sent before a cut inside it. */
const cutEventBytes = 14;
/** Faults that apply to streams; with any other fault, a request for a stream gets a plain response with that fault. */
const streamFaults: ReadonlySet<ReplicaConduct['fault']> = new Set(['none', 'cut-stream', 'mute-stream']);
/** Events of a stream during which the replica crashes: more than it writes before the crash. */
const crashingEvents = 1000;
const defaultConduct: ReplicaConduct = {
	delay: 5, events: 0, gap: 5, stream: wholeStream, refusalDelay: 0, fault: 'none', padding: 0,
};

/**
 * @param replica - Id of a replica.
 * @param request - Id of a request that it ran.
 * @returns The text by which a response identifies its producer if responses also name their request.
 */
export const producerOf = (replica: string, request: string): string => `${replica} for ${request}`;

/**
 * @param maker - Text that identifies the producer of the response.
 * @returns Body of a plain response.
 */
export const plainResponseOf = (maker: string): string => `answer of ${maker}`;

/**
 * @param replica - Id of a replica.
 * @returns Value of `Server-Stamp` in its responses.
 */
export const stampOf = (replica: string): string => `stamp-${replica}`;

/** The stand-in for a replica. */
export class ReplicaStandin {
	/**
	 * @param id - Id of the replica.
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

	/** Received requests in order of arrival. */
	readonly seen: SeenRequest[] = [];
	/** Number of connections opened to the replica so far. */
	connections = 0;
	conduct: ReplicaConduct = defaultConduct;
	/** Value of `Server-Limit`: requests per second that it accepts from all boxes together, also sent with faults; `undefined` omits the header. */
	limit: string | undefined;
	/** Value of `Server-Load`: running and waiting requests, slots, and optionally the duration of work in per cent; `undefined` omits the header. */
	load: string | undefined;
	/** Whether responses announce that the replica is leaving. */
	isLeaving = false;
	/** How the replica sheds load; `undefined` if it does not. */
	shedding: Shedding | undefined;
	/** Its places, if they are limited. A fall is only counted; the replica goes on. */
	room: Room | undefined;
	/** Monotonic milliseconds at which it would have fallen over. */
	readonly falls: number[] = [];
	/** Which request body crashes the replica; `undefined` if none does. */
	crashMark: CrashMark | undefined;
	/** Changes, by request and number of requests in progress, how the replica responds; `undefined` if the conduct alone decides. */
	conductOf: ((request: StandinRequest, inProgress: number) => Partial<ReplicaConduct>) | undefined;
	/** Changes, by request body, how a stream is written; `undefined` if the conduct alone decides. */
	scriptOf: ((body: string) => Partial<StreamConduct>) | undefined;
	/** Number of events of a response to a path under `/stream/`; if 0, the conduct decides. */
	streamEvents = 0;
	/** Whether responses also name their request, so that responses to different requests differ. */
	namesRequests = false;
	/** Software version that its responses name besides its id; `undefined` if they do not. */
	software: string | undefined;
	private server!: Server;
	private readonly unframedSockets = new Set<Socket>();
	private inProgress = 0;
	private readonly running = new Set<SeenRequest>();
	private rejectedAt: readonly number[] = [];

	private constructor(readonly id: string) {}

	/** TCP port. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Whether the replica accepts connections. */
	get isUp(): boolean {
		return this.server.listening;
	}

	/** Requests that the replica has run. */
	get runs(): readonly SeenRequest[] {
		return this.seen.filter(({hasRun}) => hasRun);
	}

	private get isFull(): boolean {
		return this.room !== undefined && this.inProgress >= this.room.slots + this.room.waiting;
	}

	private get statementHeaders(): Readonly<Record<string, string>> {
		return {
			...(this.limit === undefined ? {} : {'Server-Limit': this.limit}),
			...(this.room ? {'Server-Brittle': String(this.room.rejections)} : {}),
			...(this.isLeaving ? {'Server-Leaving': '1'} : {}),
			...(this.load === undefined ? {} : {'Server-Load': this.load}),
		};
	}

	/**
	 * @param changes - Fields that differ from the default conduct.
	 */
	behave(changes: Partial<ReplicaConduct>): void {
		this.conduct = {...defaultConduct, ...changes};
	}

	/** @returns Number of open connections to the replica. */
	async openConnections(): Promise<number> {
		return new Promise(resolve => {
			this.server.getConnections((_, count) => {
				resolve(count);
			});
		});
	}

	/** Stops and closes all connections. Responses without a length end by a reset, because a close would mark them as complete. */
	async close(): Promise<void> {
		for (const socket of this.unframedSockets) {
			resetConnection(socket);
		}

		this.server.closeAllConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}

	private async answer(request: StandinRequest): Promise<void> {
		const conduct = {...this.conduct, ...this.conductOf?.(request, this.inProgress)};
		const {response, headers, incoming} = request;
		const id = String(headers[header.attempt]);
		const isElsewhere = conduct.fault === 'elsewhere' || (headers[header.expectInstance] !== undefined && headers[header.expectInstance] !== this.id);
		const {shedding, isFull} = this;
		const isShed = shedding !== undefined && (this.seen.length + 1) % shedding.every === 0;
		const hasRun = !isElsewhere && !isShed && !isFull && conduct.fault !== 'refuse';
		const seen: SeenRequest = {
			id, method: request.method, target: incoming.url ?? '', body: request.body, headers, hasRun, at: performance.now(), isAbandoned: false, isCorrectStream: false,
			requestedPause: isShed ? Number(shedding.retryAfter) * millisecondsPerSecond : undefined, announcedLeaving: this.isLeaving,
		};
		this.seen.push(seen);
		response.once('close', () => {
			seen.isAbandoned = !response.writableFinished;
		});
		const commonHeaders = {
			'Attempt-Id': id,
			'Server-Stamp': stampOf(this.id),
			...this.statementHeaders,
			...(isShed ? {'Retry-After': shedding.retryAfter} : {}),
		};
		if (isFull) {
			this.recordRejection();
		}

		if (!hasRun) {
			await this.refuse(response, isElsewhere ? 421 : 503, commonHeaders, conduct.refusalDelay);
			return;
		}

		await this.waitForSlot(request, seen);
		if (this.crashMark && isMarked(request, this.crashMark)) {
			await this.crash(request, this.crashMark, commonHeaders);
			return;
		}

		await pause(conduct.delay);
		const events = this.streamEvents > 0 && request.url.pathname.startsWith('/stream/') ? this.streamEvents : conduct.events;
		if (events > 0 && streamFaults.has(conduct.fault)) {
			const isRight = await this.stream(request, {...conduct, events}, commonHeaders);
			response.once('finish', () => {
				seen.isCorrectStream = isRight;
			});
			return;
		}

		this.answerPlain(request, conduct, commonHeaders);
	}

	private async refuse(response: ServerResponse, status: number, commonHeaders: Readonly<Record<string, string>>, delay: number): Promise<void> {
		if (delay > 0) {
			await pause(delay);
		}

		response.writeHead(status, {...commonHeaders, 'Not-Executed': '1', 'Content-Length': '0'}).end();
	}

	private async crash(request: StandinRequest, {isAnswering, delay, onCrash}: CrashMark, commonHeaders: Readonly<Record<string, string>>): Promise<void> {
		if (isAnswering) {
			void this.stream(request, {...this.conduct, events: crashingEvents}, commonHeaders);
		}

		await pause(delay);
		// Several such requests at once crash the replica only once.
		if (this.server.listening) {
			onCrash();
			await this.close();
		}
	}

	private async waitForSlot({response}: StandinRequest, seen: SeenRequest): Promise<void> {
		this.inProgress++;
		response.once('close', () => {
			this.inProgress--;
			this.running.delete(seen);
		});
		while (this.room && this.running.size >= this.room.slots && !response.destroyed) {
			await pause(slotCheckInterval);
		}

		if (!response.destroyed) {
			this.running.add(seen);
		}
	}

	private recordRejection(): void {
		const now = performance.now();
		this.rejectedAt = [...this.rejectedAt.filter(at => now - at < millisecondsPerSecond), now];
		if (this.rejectedAt.length > (this.room?.rejections ?? Number.POSITIVE_INFINITY)) {
			this.falls.push(now);
			this.rejectedAt = [];
		}
	}

	private answerPlain({response, incoming}: StandinRequest, {fault, padding}: ReplicaConduct, commonHeaders: Readonly<Record<string, string>>): void {
		const body = `${plainResponseOf(this.producerFor(commonHeaders['Attempt-Id']!))}${' '.repeat(padding)}`;
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
				response.writeHead(200, {...commonHeaders, 'Content-Length': String(body.length + 10)});
				response.write(body, () => response.socket?.destroy());
				return;
			}

			case 'wrong-id': {
				response.writeHead(200, {...commonHeaders, ...length, 'Attempt-Id': 'another'}).end(body);
				return;
			}

			case 'encoded': {
				response.writeHead(200, {...commonHeaders, ...length, 'Content-Encoding': 'gzip'}).end(body);
				return;
			}

			case 'error': {
				response.writeHead(500, {...commonHeaders, ...length}).end(body);
				return;
			}

			case 'extra': {
				response.writeHead(200, {...commonHeaders, ...length}).end(body);
				response.socket?.write('HTTP/1.1 200 OK\r\nAttempt-Id: late\r\nContent-Length: 4\r\n\r\nlate');
				return;
			}

			case 'unframed': {
				response.socket?.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${commonHeaders['Attempt-Id']}\r\nServer-Stamp: ${commonHeaders['Server-Stamp']}\r\n\r\n${body}`);
				return;
			}

			case 'unframed-reset':
			case 'unframed-crash': {
				const {socket} = incoming;
				const reset = () => {
					resetConnection(socket);
				};

				socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${commonHeaders['Attempt-Id']}\r\nServer-Stamp: ${commonHeaders['Server-Stamp']}\r\n\r\n${body.slice(0, 4)}`, () => {
					if (fault === 'unframed-crash') {
						// Resets at once, so that the data and the reset arrive together.
						reset();
					} else {
						setTimeout(reset, 20);
					}
				});
				return;
			}

			default: {
				response.writeHead(200, {...commonHeaders, ...length}).end(body);
			}
		}
	}

	private producerFor(request: string): string {
		const name = this.software === undefined ? this.id : `${this.id}@${this.software}`;
		return this.namesRequests ? producerOf(name, request) : name;
	}

	private async stream({response, headers, body, incoming: {socket}}: StandinRequest, conduct: ReplicaConduct, commonHeaders: Readonly<Record<string, string>>): Promise<boolean> {
		const {events, gap} = conduct;
		const script = {...streamConductOf(conduct), ...this.scriptOf?.(body)};
		if (script.framing === 'none') {
			this.unframedSockets.add(socket);
			socket.once('close', () => this.unframedSockets.delete(socket));
		}

		return StreamWriter.create(response, {
			conduct: script, replica: this.producerFor(commonHeaders['Attempt-Id']!), events, gap, after: Number(headers[header.lastEvent] ?? 0), headers: commonHeaders,
		}).write();
	}
}

function isMarked({body, headers}: StandinRequest, {mark}: CrashMark): boolean {
	return body.includes(mark) || String(headers[header.parts] ?? '').split(',').some(part => part.startsWith(`${mark}:`));
}

/** @returns How to write a stream, with a fault of the stream placed at its middle event. */
function streamConductOf({stream, fault, events}: ReplicaConduct): StreamConduct {
	const middle = Math.floor(events / 2) + 1;
	switch (fault) {
		case 'cut-stream': {
			return {...stream, breaksAt: {event: middle, bytes: cutEventBytes}};
		}

		case 'mute-stream': {
			return {...stream, silentFrom: middle};
		}

		default: {
			return stream;
		}
	}
}
