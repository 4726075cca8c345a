/**
 * Short HTTP calls with a JSON answer. A failure tells whether the request may have been sent.
 */
import {Buffer} from 'node:buffer';
import {
	Agent, request, type IncomingHttpHeaders, type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import {AnswerBounds, maxAnswerHeadBytes, maxBodyBytes} from './answer-bounds.js';
import {AnswerEnd} from './answer-end.js';
import {answerFaultOf} from './answer-head.js';
import {ByteCollector} from './byte-collector.js';
import {containedListener} from './contained-listener.js';

/** An HTTP call that failed without a complete answer. */
export class HttpFailure extends Data.TaggedError('HttpFailure')<{
	/** Whether a part of the request may have been sent. */
	readonly mayHaveBeenSent: boolean;
	readonly detail: string;
}> {}

/** An answer whose head was received. */
export type OpenAnswer = {
	/** The answer with its unread body; destroy it to end the call. */
	readonly message: IncomingMessage;
	/** Tells whether the body was received completely. */
	readonly end: AnswerEnd;
};

/** A complete answer. */
export type HttpAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** An answer that is read whole and counts for the memory of the process. */
export type CountedAnswer = {
	/** Calls `start` when there is memory for a body of a known length in bytes; zero if it is not known. */
	expect(bytes: number, start: () => void): void;
	/** Counts bytes that were read; may call `giveUp` of any answer. */
	add(bytes: number): void;
	/** Frees the memory. */
	end(): void;
};

/** The memory of the process for answers. */
export type AnswerMemory = {
	/** Begins to count an answer; `giveUp` is called with its size in bytes if there is no memory for it. */
	begin(giveUp: (size: number) => void): CountedAnswer;
};

/** A call. */
export type HttpCall = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
	/** Milliseconds until the whole answer must be received. */
	readonly timeout: number;
	/** Opens a new connection for this call, so that a failure to connect proves that nothing was sent. */
	readonly freshConnection?: boolean;
	/** Memory in which the answer counts while it is read; absent if its size is bounded otherwise. */
	readonly memory?: AnswerMemory;
};

/** A client of one host and port that keeps connections alive between calls. */
export class HttpClient {
	/**
	 * @param host - IP address of the server.
	 * @param port - TCP port of the server.
	 * @returns A client; close it when done.
	 */
	static create(host: string, port: number): HttpClient {
		return new HttpClient(host, port);
	}

	/** Keeps connections alive between calls. */
	readonly agent = new Agent({keepAlive: true, maxSockets: Infinity, keepAliveMsecs: 5000});

	private constructor(readonly host: string, readonly port: number) {
		this.agent.on('free', (socket: Socket) => {
			socket.on('data', dropConnection);
		});
	}

	/**
	 * Sends a call and reads the whole answer. Interruption destroys the connection.
	 *
	 * @param call - The call.
	 * @returns The answer with any status; fails with {@link HttpFailure} if there is no complete answer.
	 */
	exchange(call: HttpCall): Effect.Effect<HttpAnswer, HttpFailure> {
		return Effect.flatMap(this.open(call), answer => readWhole(answer, call.memory));
	}

	/**
	 * Sends a call and returns when the head of the answer is received.
	 *
	 * @param call - The call.
	 * @returns The answer with its unread body.
	 */
	open(call: HttpCall): Effect.Effect<OpenAnswer, HttpFailure> {
		return Effect.callback<OpenAnswer, HttpFailure>(resume => {
			let isConnected = false;
			const outgoing = request({
				host: this.host,
				port: this.port,
				method: call.method,
				path: call.path,
				headers: {...call.headers, ...(call.body === undefined ? {} : {'Content-Length': Buffer.byteLength(call.body)})},
				agent: call.freshConnection ? false : this.agent,
				maxHeaderSize: maxAnswerHeadBytes,
			});
			const end = AnswerEnd.watch(outgoing);
			let answer: IncomingMessage | undefined;
			AnswerBounds.watch(outgoing, {
				onExcess(detail) {
					(answer ?? outgoing).destroy(new Error(detail));
				},
			});
			const timer = setTimeout(() => {
				// A reset discards data that is still queued on a cut connection, so that a call that timed out does not arrive later.
				outgoing.socket?.resetAndDestroy();
				outgoing.destroy(new Error(`no answer within ${call.timeout} ms`));
			}, call.timeout);
			outgoing.once('socket', socket => {
				socket.off('data', dropConnection);
				if (socket.connecting) {
					socket.once('connect', () => {
						isConnected = true;
					});
				} else {
					isConnected = true;
				}
			});
			// Not removed after the first error, since an error event without a listener would crash the process.
			outgoing.on('error', error => {
				clearTimeout(timer);
				resume(Effect.fail(new HttpFailure({mayHaveBeenSent: isConnected, detail: error.message})));
			});
			// Node reports an answer that switches protocols only to this listener, and without one destroys the request silently.
			outgoing.once('upgrade', (_, socket) => {
				clearTimeout(timer);
				socket.destroy();
				resume(Effect.fail(new HttpFailure({mayHaveBeenSent: true, detail: 'the server switched to another protocol'})));
			});
			outgoing.once('response', message => {
				const answerFault = answerFaultOf(message);
				if (answerFault !== undefined) {
					message.on('error', ignore);
					outgoing.destroy(new Error(answerFault));
					resume(Effect.fail(new HttpFailure({mayHaveBeenSent: true, detail: answerFault})));
					return;
				}

				answer = message;
				message.once('close', () => {
					clearTimeout(timer);
				});
				resume(Effect.succeed({message, end}));
			});
			outgoing.end(call.body);
			return Effect.sync(() => {
				clearTimeout(timer);
				outgoing.destroy();
			});
		});
	}

	/** Closes idle connections; a connection with an answer in progress closes after it. */
	close(): void {
		this.agent.maxFreeSockets = 0;
		for (const socket of Object.values(this.agent.freeSockets).flatMap(sockets => sockets ?? [])) {
			socket.destroy();
		}
	}
}

/**
 * Reads the whole body of an answer.
 *
 * @param answer - An answer with an unread body.
 * @param memory - Memory in which it counts while it is read.
 * @returns The complete answer; fails if it is truncated or too large.
 */
export function readWhole({message, end}: OpenAnswer, memory?: AnswerMemory): Effect.Effect<HttpAnswer, HttpFailure> {
	let counted: CountedAnswer | undefined;
	return Effect.callback<HttpAnswer, HttpFailure>(resume => {
		const collector = ByteCollector.create();
		let size = 0;
		const fail = (detail: string) => {
			resume(Effect.fail(new HttpFailure({mayHaveBeenSent: true, detail})));
		};

		const collect = containedListener(resume, (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBodyBytes) {
				message.destroy(new Error(`answer over ${maxBodyBytes} bytes`));
				return;
			}

			collector.add(chunk);
			counted?.add(chunk.length);
		});
		message.once('end', containedListener(resume, () => {
			if (end.isWhole) {
				resume(Effect.succeed({status: message.statusCode ?? 0, headers: message.headers, body: collector.concatenate()}));
			} else {
				fail('answer cut short');
			}
		}));
		message.on('error', error => {
			fail(error.message);
		});
		message.once('close', () => {
			// A complete answer closes too. Creating a failure for each would cost more than the rest of this function.
			if (!message.readableEnded) {
				fail('answer cut short');
			}
		});
		const start = () => {
			message.on('data', collect);
		};

		if (memory) {
			counted = memory.begin(bytes => {
				message.destroy(new Error(`no memory for an answer of ${bytes} bytes`));
				counted?.end();
			});
			counted.expect(Number(message.headers['content-length'] ?? 0), start);
		} else {
			start();
		}

		return Effect.sync(() => message.destroy());
	}).pipe(Effect.ensuring(Effect.sync(() => {
		counted?.end();
	})));
}

const ignore = () => undefined;

/** Closes an idle connection on which data arrives, since it belongs to no call. */
function dropConnection(this: Socket): void {
	this.destroy();
}
