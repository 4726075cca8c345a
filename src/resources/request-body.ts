/**
 * The body of one request, which is collected from the moment at which its head arrives.
 */
import type {IncomingMessage} from 'node:http';
import * as Effect from 'effect/Effect';
import {containedListener} from '../base/contained-listener.js';
import {Refusal} from '../base/verdict.js';
import {BodyBuffer} from './body-buffer.js';
import {holdReading, releaseReading} from './request-feed.js';

/** Maximum bytes of a body that is collected without waiting for memory. */
const smallBodyBytes = 65_536;
/** Bytes that have been read, but not collected, from a connection that is not read any further: what is left of one read, and another. */
const readAheadBytes = 131_072;

/** The memory that bodies are collected in. */
export abstract class BodyMemory {
	/** Called when a body has grown; may call {@link RequestBody.giveUp} of any body. */
	abstract recordGrowth(body: RequestBody, bytes: number): void;
	/** Called when a body needs memory for `bytes` more; calls {@link RequestBody.proceed} when it is available. */
	abstract requestMemory(body: RequestBody, bytes: number): void;
	/** Called when a body is complete, which needs no more memory than its size. */
	abstract recordCompletion(body: RequestBody): void;
	/** Called when the memory of a body is free again. */
	abstract recordEnd(body: RequestBody): void;
}

const tooLarge = (limit: number) => Refusal.create('body-too-large', `A body may have ${limit} bytes at most.`);

/** The body of one request. */
export class RequestBody {
	/**
	 * Begins to collect, up to {@link smallBodyBytes}; then the connection is not read until {@link read} is called and there is memory.
	 *
	 * @param incoming - A request whose head has just arrived.
	 * @param memory - The memory of all bodies.
	 * @returns The body.
	 */
	static receive(incoming: IncomingMessage, memory: BodyMemory): RequestBody {
		return new RequestBody(incoming, memory);
	}

	/** Bytes that count for this body. */
	charged = 0;
	private readonly buffer: BodyBuffer;
	private readonly expected: number | undefined;
	/** Maximum size in bytes; `undefined` before {@link read}. */
	private limit: number | undefined;
	/** Whether it has all the memory that it may need. */
	private hasMemory = false;
	private isPaused = false;
	private isWaiting = false;
	private isComplete = false;
	private isReleased = false;
	private fault: Refusal | undefined;
	private settle: (() => void) | undefined;

	private constructor(private readonly incoming: IncomingMessage, private readonly memory: BodyMemory) {
		const length = incoming.headers['content-length'];
		this.expected = length === undefined ? undefined : Number(length);
		this.buffer = BodyBuffer.create(this.expected);
		const contained = containedListener(() => {
			this.fail(Refusal.create('internal', 'The body could not be read.'));
		}, (piece: Uint8Array | undefined) => {
			this.receive(piece);
		});
		// Node's parser hands over the body with `push`. Pieces that a paused stream buffers take a hundred times the memory of their bytes.
		const push = incoming.push.bind(incoming);
		incoming.push = (piece: unknown) => {
			contained(piece instanceof Uint8Array ? piece : undefined);
			return piece instanceof Uint8Array ? true : push(piece);
		};

		// Node's own would resume the connection.
		incoming._read = () => undefined;
		incoming.on('error', error => {
			this.fail(Refusal.create('malformed', `The body was cut short: ${error.message}.`));
		});
		incoming.resume();
	}

	/** Bytes that have not been received yet; `undefined` if the length is not known. */
	get missingBytes(): number | undefined {
		const hasBody = this.incoming.headers['transfer-encoding'] !== undefined || this.expected !== undefined;
		return hasBody && this.expected === undefined ? undefined : (this.expected ?? 0) - this.size;
	}

	/** Bytes received so far. */
	get size(): number {
		return this.buffer.size;
	}

	/** Whether it waits for its client, and not for memory or to be read. */
	get isReceiving(): boolean {
		return !this.isComplete && !this.isPaused && this.fault === undefined && !this.isReleased;
	}

	/** Whether it is not complete yet. */
	get isIncomplete(): boolean {
		return !this.isComplete && this.fault === undefined && !this.isReleased;
	}

	/**
	 * Waits for the whole body. There is no timeout here, since Node's HTTP server closes connections of slow senders.
	 *
	 * @param limit - Maximum size in bytes.
	 * @returns The body; fails as soon as the limit is exceeded, without reading the rest, or if there is no memory for it.
	 */
	read(limit: number): Effect.Effect<Uint8Array, Refusal> {
		return Effect.callback<Uint8Array, Refusal>(resume => {
			this.limit = limit;
			this.settle = () => {
				if (this.fault) {
					resume(Effect.fail(this.fault));
				} else if (this.isComplete) {
					resume(Effect.succeed(this.buffer.content));
				}
			};

			if ((this.expected ?? 0) > limit || this.size > limit) {
				this.fail(tooLarge(limit));
			}

			this.settle();
			if (this.isIncomplete && this.needsMemory) {
				this.wait();
			}
		});
	}

	/** @returns An effect that completes when the read in which the head arrived has been parsed: a small request is complete then. */
	untilReadOnce(): Effect.Effect<void> {
		return Effect.suspend(() => this.incoming.complete
			? Effect.void
			: Effect.callback<void>(resume => {
				setImmediate(() => {
					resume(Effect.void);
				});
			}));
	}

	/** Continues with the memory that was requested. */
	proceed(): void {
		this.isWaiting = false;
		this.hasMemory = true;
		this.buffer.grow(this.maxSize);
		this.resume();
	}

	/** @param refusal - Why the body is not read any further. */
	giveUp(refusal: Refusal): void {
		this.fail(refusal);
	}

	/** Frees the memory. What is still received is discarded. */
	release(): void {
		if (!this.isReleased) {
			this.isReleased = true;
			this.buffer.clear();
			this.memory.recordEnd(this);
			Reflect.deleteProperty(this.incoming, 'push');
			Reflect.deleteProperty(this.incoming, '_read');
			this.resume();
		}
	}

	/** Whether it is larger than what is collected without waiting. */
	private get needsMemory(): boolean {
		return !this.hasMemory && (this.expected === undefined ? this.size >= smallBodyBytes : this.expected > smallBodyBytes);
	}

	private get maxSize(): number {
		return this.expected ?? this.limit ?? smallBodyBytes;
	}

	private receive(piece: Uint8Array | undefined): void {
		if (piece === undefined) {
			this.isComplete ||= this.incoming.complete;
			if (this.isComplete && !this.isReleased) {
				this.memory.recordCompletion(this);
			}

			this.settle?.();
		} else if (this.fault === undefined && !this.isReleased) {
			this.add(piece);
		}
	}

	private add(piece: Uint8Array): void {
		const {capacity} = this.buffer;
		this.buffer.add(piece);
		if (this.limit !== undefined && this.size > this.limit) {
			this.fail(tooLarge(this.limit));
			return;
		}

		if (!this.hasMemory && this.buffer.capacity > capacity) {
			this.memory.recordGrowth(this, this.buffer.capacity - capacity);
		}

		if (this.isIncomplete && this.needsMemory) {
			this.wait();
		}
	}

	/** The rest of the current read still arrives; it is at most one read of the connection. */
	private wait(): void {
		if (!this.isPaused) {
			this.isPaused = true;
			holdReading(this.incoming.socket, 'body-without-memory');
			this.memory.recordGrowth(this, Math.max(0, readAheadBytes - this.charged));
		}

		if (this.limit !== undefined && !this.isWaiting && this.isIncomplete) {
			this.isWaiting = true;
			this.memory.requestMemory(this, Math.max(0, this.maxSize - this.charged));
		}
	}

	private fail(refusal: Refusal): void {
		if (!this.isComplete && this.fault === undefined) {
			this.fault = refusal;
			this.settle?.();
			this.release();
		}
	}

	private resume(): void {
		if (this.isPaused) {
			this.isPaused = false;
			releaseReading(this.incoming.socket, 'body-without-memory');
		}
	}
}
