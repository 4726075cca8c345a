/**
 * The answer to a client: sent once, and never made to look whole when it is not.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {refusalReasons} from '../base/refusal-reason.js';
import type {Refusal} from '../base/verdict.js';
import {problemOf} from '../door/problem.js';

/** Milliseconds in which a client reads what it was sent before its connection is cut. */
const readTime = 500;

/** The answer to one request. */
export class ClientAnswer {
	/**
	 * @param response - Where it goes.
	 * @param isClosing - Asked when the head is sent: whether the connection is to end with this answer.
	 * @returns An answer that has not begun.
	 */
	static create(response: ServerResponse, isClosing: () => boolean): ClientAnswer {
		return new ClientAnswer(response, isClosing);
	}

	/** Status that was sent; zero before. */
	status = 0;
	/** Bytes of the body that were sent. */
	bytes = 0;

	private constructor(private readonly response: ServerResponse, private readonly isClosing: () => boolean) {}

	/** Whether the head has been sent. */
	get hasBegun(): boolean {
		return this.response.headersSent;
	}

	/** Whether the client reads slower than it is sent to. */
	get isCongested(): boolean {
		return this.response.writableNeedDrain;
	}

	/**
	 * Sends the head.
	 *
	 * @param status - HTTP status.
	 * @param headers - Names and values in turn.
	 */
	begin(status: number, headers: readonly string[]): void {
		this.status = status;
		this.response.writeHead(status, this.isClosing() ? [...headers, 'Connection', 'close'] : [...headers]);
	}

	/**
	 * @param data - The next bytes of the body.
	 * @param encoding - How characters stand for bytes: one for one.
	 */
	write(data: string, encoding: 'latin1'): void {
		this.bytes += data.length;
		this.response.write(data, encoding);
	}

	/** @param listener - Called when the client has read what was sent. */
	onceDrained(listener: () => void): void {
		this.response.once('drain', listener);
	}

	/** Ends a body that was sent in pieces. */
	end(): void {
		this.response.end();
	}

	/**
	 * Sends a whole answer.
	 *
	 * @param status - HTTP status.
	 * @param headers - Names and values in turn, without a length.
	 * @param body - The body.
	 * @param isBodiless - Whether the answer has a length without a body.
	 */
	send(status: number, headers: readonly string[], body: Uint8Array, isBodiless: boolean): void {
		this.begin(status, isBodiless ? headers : [...headers, 'Content-Length', String(body.length)]);
		this.bytes = body.length;
		this.response.end(body);
	}

	/**
	 * Refuses the request.
	 *
	 * @param refusal - Why.
	 */
	refuse(refusal: Refusal): void {
		if (this.hasBegun) {
			this.cut();
			return;
		}

		const {status} = refusalReasons[refusal.reason];
		const body = Buffer.from(JSON.stringify(problemOf(refusal)));
		const retry = refusal.retryAfter === undefined ? [] : ['Retry-After', String(refusal.retryAfter)];
		this.send(status, ['Content-Type', 'application/problem+json', ...retry], body, false);
	}

	/** Breaks the connection behind what was sent, so that it does not look whole; at once where the client does not read it. */
	cut(): void {
		const {socket} = this.response;
		if (!socket) {
			return;
		}

		// What was written in this moment has not gone out yet: the head waits for the first bytes of the body.
		socket.destroySoon();
		const timer = setTimeout(() => {
			socket.destroy();
		}, readTime);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}
}
