/**
 * Short calls over HTTP with a JSON answer, and what is known when one fails.
 */
import {Buffer} from 'node:buffer';
import {
	Agent, request, type IncomingHttpHeaders, type IncomingMessage,
} from 'node:http';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import {AnswerEnd} from './answer-end.js';

/** An HTTP call that brought no answer. */
export class HttpFailure extends Data.TaggedError('HttpFailure')<{
	/** Whether a byte of the request may have left this box. */
	readonly maySent: boolean;
	readonly detail: string;
}> {}

/** An answer whose head has come. */
export type OpenAnswer = {
	/** Its body is still to be read; destroy it to end the call. */
	readonly message: IncomingMessage;
	readonly end: AnswerEnd;
};

/** A whole answer. */
export type HttpAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** A call. */
export type HttpCall = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
	/** Milliseconds for the whole answer. */
	readonly timeout: number;
	/** Opens a connection for this call alone, so that a failure before it stands proves that nothing was sent. */
	readonly freshConnection?: boolean;
};

const largestAnswer = 16 * 1024 * 1024;

/** One host and port, with the connections kept to it. */
export class HttpClient {
	/**
	 * @param host - IP number.
	 * @param port - TCP port.
	 * @returns A client; close it when done.
	 */
	static create(host: string, port: number): HttpClient {
		return new HttpClient(host, port);
	}

	/** Connections that are kept between calls. */
	readonly agent = new Agent({keepAlive: true, maxSockets: Infinity, keepAliveMsecs: 5000});

	private constructor(readonly host: string, readonly port: number) {}

	/**
	 * Sends a call and reads the whole answer. Interruption destroys the connection.
	 *
	 * @param call - What to send.
	 * @returns The answer, whatever its status; fails with {@link HttpFailure} when there is none.
	 */
	exchange(call: HttpCall): Effect.Effect<HttpAnswer, HttpFailure> {
		return Effect.flatMap(this.open(call), answer => readWhole(answer));
	}

	/**
	 * Sends a call and returns when the head of the answer is there.
	 *
	 * @param call - What to send.
	 * @returns The answer.
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
			});
			const end = AnswerEnd.watch(outgoing);
			const timer = setTimeout(() => {
				// A reset takes back what a cut still holds up: a call that is given up on must not arrive late.
				outgoing.socket?.resetAndDestroy();
				outgoing.destroy(new Error(`no answer within ${call.timeout} ms`));
			}, call.timeout);
			outgoing.once('socket', socket => {
				if (socket.connecting) {
					socket.once('connect', () => {
						isConnected = true;
					});
				} else {
					isConnected = true;
				}
			});
			// Stays: an error that nobody listens for would end the process.
			outgoing.on('error', error => {
				clearTimeout(timer);
				resume(Effect.fail(new HttpFailure({maySent: isConnected, detail: error.message})));
			});
			outgoing.once('response', message => {
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

	/** Closes the connections that are kept; one with an answer in progress closes after it. */
	close(): void {
		this.agent.maxFreeSockets = 0;
		for (const socket of Object.values(this.agent.freeSockets).flatMap(sockets => sockets ?? [])) {
			socket.destroy();
		}
	}
}

/**
 * Reads a body to its end.
 *
 * @param answer - An answer whose body has not been read.
 * @returns The whole answer; fails where it is cut short or too large.
 */
export function readWhole({message, end}: OpenAnswer): Effect.Effect<HttpAnswer, HttpFailure> {
	return Effect.callback<HttpAnswer, HttpFailure>(resume => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		const fail = (detail: string) => {
			resume(Effect.fail(new HttpFailure({maySent: true, detail})));
		};

		message.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > largestAnswer) {
				message.destroy(new Error(`answer over ${largestAnswer} bytes`));
				return;
			}

			chunks.push(chunk);
		});
		message.once('end', () => {
			if (end.isWhole) {
				resume(Effect.succeed({status: message.statusCode ?? 0, headers: message.headers, body: Buffer.concat(chunks)}));
			} else {
				fail('answer cut short');
			}
		});
		message.on('error', error => {
			fail(error.message);
		});
		message.once('close', () => {
			// Each whole answer closes too; building a failure for each would cost more than all else here.
			if (!message.readableEnded) {
				fail('answer cut short');
			}
		});
		return Effect.sync(() => message.destroy());
	});
}
