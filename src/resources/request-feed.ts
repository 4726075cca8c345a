/**
 * Hands the bytes of a connection to Node's HTTP parser in small parts. Node parses all that it has read from a connection at once: 64 KiB may hold a thousand
 * requests, whose objects take a hundred times the memory. What is not parsed yet stays in the form in which it arrived.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/** Bytes of a part that may begin a request. */
const headPart = 512;
/** Bytes of a part of a body whose length is not known. */
const chunkedPart = 4096;

/** Why a connection is not read. */
export type HoldReason = 'body-without-memory' | 'earlier-request';

/** What is known of the request that is being received. */
export type RequestProgress = {
	/** @returns Whether a request is in progress that has been received completely, so that another one follows. */
	readonly isComplete: () => boolean;
	/** @returns Bytes of the body that are missing; `undefined` if the length is not known, zero between two requests. */
	readonly missingBytes: () => number | undefined;
};

const noBytes = new Uint8Array(0);
const feeds = new WeakMap<Socket, RequestFeed>();

/** The bytes of one connection. */
export class RequestFeed {
	/**
	 * @param socket - A connection that Node's HTTP server has just accepted.
	 * @param progress - State of its requests.
	 * @returns Its feed.
	 */
	static attach(socket: Socket, progress: RequestProgress): RequestFeed {
		const feed = new RequestFeed(socket, progress);
		feeds.set(socket, feed);
		return feed;
	}

	private readonly holds = new Set<HoldReason>();
	private readonly parse: ((part: Uint8Array) => void) | undefined;
	private pending: Uint8Array = noBytes;
	private isParsing = false;
	private isDiscarding = false;

	private constructor(private readonly socket: Socket, private readonly progress: RequestProgress) {
		const [parse] = socket.listeners('data') as unknown as ReadonlyArray<(part: Uint8Array) => void>;
		this.parse = parse;
		if (parse) {
			socket.off('data', parse);
			socket.on('data', this.receive);
		}
	}

	/** Leaves further bytes to the new owner of the connection, which changed to another protocol. */
	detach(): void {
		this.socket.off('data', this.receive);
		if (this.pending.length > 0) {
			this.socket.unshift(this.pending);
			this.pending = noBytes;
		}
	}

	/** Bytes that have been read and not parsed. */
	get unparsedBytes(): number {
		return this.pending.length + this.socket.readableLength;
	}

	/** Discards what has not been parsed, and everything that follows. */
	discardRest(): void {
		this.isDiscarding = true;
		this.pending = noBytes;
		this.holds.clear();
		this.socket.resume();
	}

	/** @param reason - Why the connection is not read until {@link release}. */
	hold(reason: HoldReason): void {
		this.holds.add(reason);
		this.socket.pause();
	}

	/** @param reason - The reason that has gone. */
	release(reason: HoldReason): void {
		if (this.holds.delete(reason)) {
			setImmediate(() => {
				this.continue();
			});
		}
	}

	private readonly receive = (bytes: Uint8Array): void => {
		if (this.isDiscarding || this.socket.writableEnded) {
			return;
		}

		this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
		this.continue();
	};

	private continue(): void {
		if (this.isParsing) {
			return;
		}

		this.isParsing = true;
		while (this.pending.length > 0 && this.holds.size === 0 && !this.socket.destroyed && !this.socket.writableEnded) {
			if (this.progress.isComplete()) {
				this.hold('earlier-request');
				break;
			}

			const part = this.pending.subarray(0, this.nextPart);
			this.pending = this.pending.subarray(part.length);
			this.parse?.call(this.socket, part);
		}

		this.isParsing = false;
		if (this.holds.size === 0 && !this.socket.destroyed) {
			this.socket.resume();
		}
	}

	private get nextPart(): number {
		const missing = this.progress.missingBytes();
		return missing === undefined ? chunkedPart : Math.max(headPart, missing);
	}
}

/**
 * @param socket - A connection that is not read until the reason has gone.
 * @param reason - The reason.
 */
export function holdReading(socket: Socket, reason: HoldReason): void {
	feeds.get(socket)?.hold(reason);
}

/**
 * @param socket - A connection that is read again unless there is another reason.
 * @param reason - The reason that has gone.
 */
export function releaseReading(socket: Socket, reason: HoldReason): void {
	feeds.get(socket)?.release(reason);
}
