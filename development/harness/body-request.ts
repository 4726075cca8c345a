/**
 * A request whose body a test pushes, without a connection. Development only.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import * as Effect from 'effect/Effect';
import type {RequestBodies} from '../../src/resources/request-bodies.js';
import type {RequestBody} from '../../src/resources/request-body.js';

/** A request whose head has been received. */
export class BodyRequest {
	/**
	 * @param bodies - The memory of its body.
	 * @param length - Announced length in bytes; absent for a body in chunks.
	 * @returns The request, of whose body nothing has arrived.
	 */
	static create(bodies: RequestBodies, length?: number): BodyRequest {
		return new BodyRequest(bodies, length);
	}

	readonly body: RequestBody;
	/** Bytes of the body that was read, the reason and verdict of a refusal, or `none`. */
	outcome = 'none';
	/** Bytes that were pushed. */
	pushed = 0;
	private readonly incoming: IncomingMessage;

	private constructor(bodies: RequestBodies, length: number | undefined) {
		this.incoming = Object.assign(new PassThrough(), {
			headers: length === undefined ? {'transfer-encoding': 'chunked'} : {'content-length': String(length)}, socket: new PassThrough(), complete: false,
		}) as unknown as IncomingMessage;
		this.body = bodies.receive(this.incoming);
	}

	/**
	 * Begins to read the body.
	 *
	 * @param limit - Maximum size in bytes.
	 * @returns The request.
	 */
	read(limit: number): this {
		Effect.runFork(this.body.read(limit).pipe(
			Effect.map(({length}) => `${length} bytes`),
			Effect.catchTag('Refusal', ({reason, verdict}) => Effect.succeed(`${reason}, ${verdict}`)),
			Effect.tap(outcome => Effect.sync(() => {
				this.outcome = outcome;
			})),
		));
		return this;
	}

	/**
	 * @param bytes - Bytes that arrive.
	 * @returns The request.
	 */
	push(bytes: number): this {
		this.pushed += bytes;
		this.incoming.push(Buffer.alloc(bytes));
		return this;
	}

	/** Completes the body. */
	end(): void {
		Object.assign(this.incoming, {complete: true});
		this.incoming.push(null);
	}
}
