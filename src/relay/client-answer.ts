/**
 * The answer to a client. It is sent once, and an incomplete answer is never framed as a complete one.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {recordClosing, type ClosingCause} from '../base/closing-cause.js';
import {endLingering} from '../base/lingering-close.js';
import {refusalReasons} from '../base/refusal-reason.js';
import type {Refusal} from '../base/verdict.js';
import {problemOf} from '../door/problem.js';
import {sendBody} from '../resources/send-body.js';
import {abandon} from './replica-exchange.js';

/** Milliseconds that a client has to read buffered data before its connection is destroyed. */
const flushTimeout = 500;

/** Headers to add for the box that forwarded the request; each function returns alternating names and values. */
export type ForwardedAnswerHeaders = {
	readonly ofRefusal: (refusal: Refusal) => readonly string[];
	readonly ofAnswer: () => readonly string[];
};

const noHeaders: ForwardedAnswerHeaders = {ofRefusal: () => [], ofAnswer: () => []};

/** How a complete answer is sent. */
export type Delivery = {
	/** Whether the answer never has a body, as with HEAD, 204 and 304; its `Content-Length` is then passed on unchanged. */
	readonly isBodiless: boolean;
	/** Called when the system has taken a part of the body. */
	readonly onProgress: () => void;
};

/** The answer to one request. */
export class ClientAnswer {
	/**
	 * @param response - Node's response object.
	 * @param isClosing - Called when the head is sent; returns whether the connection closes after this answer.
	 * @param added - Headers to add; none by default.
	 * @returns An answer of which nothing has been sent.
	 */
	static create(response: ServerResponse, isClosing: () => boolean, added = noHeaders): ClientAnswer {
		return new ClientAnswer(response, isClosing, added);
	}

	/** HTTP status that was sent; zero until then. */
	status = 0;
	/** Bytes of the body sent so far. */
	bytes = 0;

	private constructor(private readonly response: ServerResponse, private readonly isClosing: () => boolean, private readonly added: ForwardedAnswerHeaders) {}

	/** Whether the head has been sent. */
	get hasBegun(): boolean {
		return this.response.headersSent;
	}

	/** Whether the write buffer is full because the client reads too slowly. */
	get isCongested(): boolean {
		return this.response.writableNeedDrain;
	}

	/** Bytes that have been written and that the system has not taken yet. */
	get unsentBytes(): number {
		return this.response.writableLength;
	}

	/**
	 * Sends the head.
	 *
	 * @param status - HTTP status.
	 * @param headers - Alternating names and values.
	 */
	begin(status: number, headers: readonly string[]): void {
		this.status = status;
		this.response.writeHead(status, [...headers, ...this.added.ofAnswer(), ...(this.isClosing() ? ['Connection', 'close'] : [])]);
	}

	/**
	 * @param data - The next bytes of the body, one character for each byte.
	 * @param encoding - The encoding that maps each character to one byte.
	 */
	write(data: string, encoding: 'latin1'): void {
		this.bytes += data.length;
		this.response.write(data, encoding);
	}

	/** @param listener - Called once the write buffer has drained. */
	onceDrained(listener: () => void): void {
		this.response.once('drain', listener);
	}

	/** Ends a body that was sent with {@link write}. */
	end(): void {
		this.response.end();
	}

	/**
	 * Sends a complete answer.
	 *
	 * @param status - HTTP status.
	 * @param headers - Alternating names and values, without `Content-Length` unless the answer is bodiless.
	 * @param body - The body.
	 * @param delivery - How it is sent.
	 */
	send(status: number, headers: readonly string[], body: Uint8Array, {isBodiless, onProgress}: Delivery): void {
		this.begin(status, isBodiless ? headers : [...headers, 'Content-Length', String(body.length)]);
		this.bytes = body.length;
		sendBody(this.response, body, onProgress);
	}

	/** @param listener - Called once the answer has been sent or its connection is closed; at once if that has happened. */
	onceClosed(listener: () => void): void {
		if (this.response.closed) {
			listener();
		} else {
			this.response.once('close', listener);
		}
	}

	/** Resets the connection of a client that does not read its answer. */
	reset(): void {
		const {socket} = this.response;
		if (socket) {
			recordClosing(socket, 'unread');
			abandon(socket);
		}
	}

	/**
	 * Refuses the request. If the head was already sent, aborts the connection instead.
	 *
	 * @param refusal - The reason and details to send.
	 */
	refuse(refusal: Refusal): void {
		if (this.hasBegun) {
			this.cut(refusal.reason);
			return;
		}

		const {status} = refusalReasons[refusal.reason];
		const body = Buffer.from(JSON.stringify(problemOf(refusal)));
		const retry = refusal.retryAfter === undefined ? [] : ['Retry-After', String(refusal.retryAfter)];
		const headers = ['Content-Type', 'application/problem+json', ...retry, ...this.added.ofRefusal(refusal)];
		const {req: incoming} = this.response;
		if (!incoming.complete) {
			// The rest of the body is discarded, so the connection cannot be reused.
			this.response.shouldKeepAlive = false;
			this.begin(status, [...headers, 'Content-Length', String(body.length)]);
			this.bytes = body.length;
			this.response.write(body);
			endLingering(incoming, this.response);
			return;
		}

		this.send(status, headers, body, {isBodiless: false, onProgress() {/* Refusals are small. */}});
	}

	/**
	 * Closes the connection after the data already sent, without ending the body, so that the client sees an incomplete answer. A client
	 * that does not read this data in time has its connection destroyed.
	 *
	 * @param cause - Why the answer is not completed.
	 */
	cut(cause: ClosingCause): void {
		const {socket} = this.response;
		if (!socket) {
			return;
		}

		recordClosing(socket, cause);

		// `destroy` would discard data that was just written: Node holds the head back until the first bytes of the body.
		if (this.endsWithConnection) {
			socket.write('', () => {
				abandon(socket);
			});
		} else {
			socket.destroySoon();
		}

		const timer = setTimeout(() => {
			if (this.endsWithConnection) {
				abandon(socket);
			} else {
				socket.destroy();
			}
		}, flushTimeout);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	/** Whether the body of a stream ends where its connection is closed, as for clients of HTTP/1.0: only a reset then shows that it is incomplete. */
	private get endsWithConnection(): boolean {
		return this.hasBegun && !this.response.chunkedEncoding && !this.response.writableEnded;
	}
}
