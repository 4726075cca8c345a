/**
 * Bounds the memory of all answers of one process: those that are read whole before they are passed on, and what clients have not read yet. A body of known
 * length is read when there is memory for all of it; the replica is held back until then.
 */
import type {Clock} from '../base/clock.js';

/** Bytes of a body that is read without waiting for memory. */
const smallBytes = 65_536;
/** Milliseconds without progress after which a client may be disconnected if there is no memory. */
const maxStall = 1000;
/** Milliseconds between two searches for stalled clients while answers wait for memory. */
const checkInterval = 250;
/** Bytes without settings: a box has 250 MB, of which the process itself takes up to 100 MB. */
const defaultLimit = 64 * 1024 * 1024;

/** Frees the memory of an answer: gives up a body that is read from a replica, or disconnects a client that does not read. */
export type GiveUp = (size: number) => void;

/** An answer that takes memory. */
export class AnswerBody {
	/** Bytes that count for it. */
	size = 0;
	hasEnded = false;
	/** Whether memory for the whole body is assigned. */
	isReserved = false;
	/** Monotonic milliseconds of the last progress of the client that reads it; `undefined` while it is read from a replica. */
	sentAt: number | undefined;
	/** Disconnects the client; set while it is sent. */
	private cut: (() => void) | undefined;

	/** Use {@link AnswerBodies.begin}. */
	constructor(private readonly bodies: AnswerBodies, private readonly onGiveUp: GiveUp) {}

	/**
	 * @param bytes - Length of the body.
	 * @param start - Called when there is memory for it; begins to read.
	 */
	expect(bytes: number, start: () => void): void {
		this.bodies.reserve(this, bytes, start);
	}

	/** @param bytes - Bytes that were read now; may give up this or another body. */
	add(bytes: number): void {
		if (!this.isReserved) {
			this.size += bytes;
			this.bodies.recordGrowth(bytes);
		}
	}

	/**
	 * Marks the body as complete and on its way to the client.
	 *
	 * @param cut - Disconnects the client.
	 */
	beginSending(cut: () => void): void {
		this.cut = cut;
		this.recordProgress();
	}

	/** Records that the client has read something. */
	recordProgress(): void {
		this.sentAt = this.bodies.now;
	}

	/** Gives up the body, or disconnects the client that it is sent to. */
	giveUp(): void {
		if (this.cut) {
			this.cut();
			this.end();
		} else {
			this.onGiveUp(this.size);
		}
	}

	/** Frees its memory. */
	end(): void {
		if (!this.hasEnded) {
			this.hasEnded = true;
			this.bodies.recordEnd(this);
		}
	}
}

/** A body that waits for memory. */
type Waiting = {readonly body: AnswerBody; readonly bytes: number; readonly start: () => void};

/** All answers of one process that take memory. */
export class AnswerBodies {
	/**
	 * @param clock - Measures progress.
	 * @param limit - Maximum bytes of all answers together.
	 * @param onGivenUp - Called for each that is given up for want of memory.
	 * @returns A set without answers.
	 */
	static create(clock: Clock, limit = defaultLimit, onGivenUp: () => void = () => undefined): AnswerBodies {
		return new AnswerBodies(clock, limit, onGivenUp);
	}

	private readonly bodies = new Set<AnswerBody>();
	private queue: readonly Waiting[] = [];
	private bytes = 0;
	private timer: NodeJS.Timeout | undefined;

	private constructor(private readonly clock: Clock, readonly limit: number, private readonly onGivenUp: () => void) {}

	/** Bytes of all answers. */
	get used(): number {
		return this.bytes;
	}

	/** Bodies that wait for memory. */
	get waiting(): number {
		return this.queue.length;
	}

	/** Monotonic milliseconds. */
	get now(): number {
		return this.clock.monotonic();
	}

	/**
	 * @param giveUp - Called with the size in bytes if the body is given up for want of memory; it has to end the body.
	 * @returns A body without bytes.
	 */
	begin(giveUp: GiveUp): AnswerBody {
		const body = new AnswerBody(this, giveUp);
		this.bodies.add(body);
		return body;
	}

	/**
	 * Assigns memory for a whole body in the order of arrival. Small bodies do not wait, and a single one never does.
	 *
	 * @param body - A body without bytes.
	 * @param bytes - Its length.
	 * @param start - Called when the memory is assigned.
	 */
	reserve(body: AnswerBody, bytes: number, start: () => void): void {
		if (bytes <= smallBytes) {
			start();
			return;
		}

		this.queue = [...this.queue, {body, bytes, start}];
		this.assign();
		this.watch();
	}

	/** @param bytes - Number of bytes by which a body without reserved memory grew. */
	recordGrowth(bytes: number): void {
		this.bytes += bytes;
		while (this.bytes > this.limit) {
			const victim = this.stalled ?? this.largestUnreserved;
			if (!victim) {
				return;
			}

			this.giveUp(victim);
		}
	}

	/** @param body - A body that ended. */
	recordEnd(body: AnswerBody): void {
		if (this.bodies.delete(body)) {
			this.bytes -= body.size;
			this.queue = this.queue.filter(waiting => waiting.body !== body);
			this.assign();
		}
	}

	/** The client that has been without progress for longest. */
	private get stalled(): AnswerBody | undefined {
		const {now} = this;
		const [stalled] = [...this.bodies]
			.filter(({sentAt}) => sentAt !== undefined && now - sentAt >= maxStall)
			.sort((left, right) => left.sentAt! - right.sentAt!);
		return stalled;
	}

	private get largestUnreserved(): AnswerBody | undefined {
		const [largest] = [...this.bodies]
			.filter(({isReserved, sentAt, size}) => !isReserved && sentAt === undefined && size > 0)
			.sort((left, right) => right.size - left.size);
		return largest;
	}

	private assign(): void {
		const [first] = this.queue;
		if (!first || (this.bytes > 0 && this.bytes + first.bytes > this.limit)) {
			return;
		}

		const {body, bytes, start} = first;
		this.queue = this.queue.slice(1);
		body.isReserved = true;
		body.size += bytes;
		this.bytes += bytes;
		start();
		this.assign();
	}

	private watch(): void {
		if (this.queue.length === 0) {
			return;
		}

		this.timer ??= setInterval(() => {
			const {stalled} = this;
			if (this.queue.length > 0 && stalled) {
				this.giveUp(stalled);
			}

			if (this.queue.length === 0) {
				clearInterval(this.timer);
				this.timer = undefined;
			}
		}, checkInterval);
	}

	private giveUp(body: AnswerBody): void {
		this.onGivenUp();
		body.giveUp();
	}
}
