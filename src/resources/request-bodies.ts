/**
 * Bounds the memory of the bodies of all requests of one process. Small bodies are collected at once; if they exceed the bound, the one whose client sends
 * slowest is given up. Larger bodies get the memory for their whole size in the order of their arrival, so that each that has begun can be completed.
 */
import type {IncomingMessage} from 'node:http';
import type {Clock} from '../base/clock.js';
import {Refusal} from '../base/verdict.js';
import {BodyMemory, RequestBody} from './request-body.js';

/** Part of the memory that may be assigned to bodies that are not small. */
const maxLargePart = 0.7;
/** Milliseconds between two checks of the progress of bodies while others wait for memory. */
const checkInterval = 500;
/** Part of its memory that a body must receive in a second while others wait. */
const minProgress = 1 / 64;
/** Milliseconds after which a body that waits for memory is refused. */
const maxWait = 5000;
/** Milliseconds over which progress is measured. */
const sampleTime = 1000;
const millisecondsPerSecond = 1000;

const noMemory = () => Refusal.create('box-full', 'This box has no memory for the body now.');
const tooSlow = () => Refusal.create('sender-too-slow', 'The body arrives too slowly, and other requests wait for its memory.');

/** A body that waits for memory. */
type Waiting = {
	readonly body: RequestBody;
	readonly bytes: number;
	/** Monotonic milliseconds. */
	readonly since: number;
};

/** A measurement of the progress of a body. */
type Sample = {
	readonly size: number;
	/** Monotonic milliseconds. */
	readonly at: number;
};

/** Called when a body is given up for want of memory, with the reason of the refusal. */
export type BodyListener = (reason: Refusal['reason']) => void;

/** The bodies of all requests that are received or in progress. */
export class RequestBodies extends BodyMemory {
	/**
	 * @param clock - Measures progress.
	 * @param limit - Maximum bytes of all bodies together.
	 * @param onGivenUp - Notified of bodies that are given up.
	 * @returns A set without bodies.
	 */
	static create(clock: Clock, limit: number, onGivenUp: BodyListener = () => undefined): RequestBodies {
		return new RequestBodies(clock, limit, onGivenUp);
	}

	/** The bodies with the last measurement of each, in order of arrival. */
	private readonly samples = new Map<RequestBody, Sample>();
	private readonly large = new Set<RequestBody>();
	private queue: readonly Waiting[] = [];
	private bytes = 0;
	private largeBytes = 0;
	private timer: NodeJS.Timeout | undefined;

	private constructor(private readonly clock: Clock, readonly limit: number, private readonly onGivenUp: BodyListener) {
		super();
	}

	/** Bytes of all bodies. */
	get used(): number {
		return this.bytes;
	}

	/** Bodies that wait for memory. */
	get waiting(): number {
		return this.queue.length;
	}

	/**
	 * @param incoming - A request whose head has just arrived.
	 * @returns Its body. The memory is freed when the answer to the request has been sent or its connection is closed, see {@link RequestBody.release}.
	 */
	receive(incoming: IncomingMessage): RequestBody {
		const body = RequestBody.receive(incoming, this);
		this.samples.set(body, {size: 0, at: this.clock.monotonic()});
		return body;
	}

	override recordGrowth(body: RequestBody, bytes: number): void {
		this.charge(body, bytes);
		while (this.bytes > this.limit) {
			const {slowest} = this;
			if (!slowest) {
				return;
			}

			this.giveUp(slowest, this.isStalled(slowest, this.clock.monotonic()) ? tooSlow() : noMemory());
		}
	}

	override requestMemory(body: RequestBody, bytes: number): void {
		this.queue = [...this.queue, {body, bytes, since: this.clock.monotonic()}];
		this.assign();
		this.watch();
	}

	override recordCompletion(body: RequestBody): void {
		const surplus = Math.max(0, body.charged - body.size);
		body.charged -= surplus;
		this.bytes -= surplus;
		if (this.large.has(body)) {
			this.largeBytes -= surplus;
		}

		this.assign();
	}

	override recordEnd(body: RequestBody): void {
		this.samples.delete(body);
		this.bytes -= body.charged;
		if (this.large.delete(body)) {
			this.largeBytes -= body.charged;
		}

		body.charged = 0;
		this.queue = this.queue.filter(waiting => waiting.body !== body);
		this.assign();
	}

	private charge(body: RequestBody, bytes: number): void {
		body.charged += bytes;
		this.bytes += bytes;
	}

	/** Assigns memory in the order of arrival. A single body always gets it, whatever the limit. */
	private assign(): void {
		const [first] = this.queue;
		if (!first) {
			return;
		}

		const {body, bytes} = first;
		const total = body.charged + bytes;
		const fits = this.largeBytes + total <= this.limit * maxLargePart && this.bytes + bytes <= this.limit;
		if (fits || this.large.size === 0) {
			this.queue = this.queue.slice(1);
			this.charge(body, bytes);
			this.large.add(body);
			this.largeBytes += total;
			this.samples.set(body, {size: body.size, at: this.clock.monotonic()});
			body.proceed();
			this.assign();
		}
	}

	private watch(): void {
		this.timer ??= setInterval(() => {
			this.check();
			if (this.queue.length === 0) {
				clearInterval(this.timer);
				this.timer = undefined;
			}
		}, checkInterval);
	}

	/** Gives up bodies that arrive too slowly while others wait, and those that have waited too long. */
	private check(): void {
		const now = this.clock.monotonic();
		const due = [...this.large].filter(body => now - this.samples.get(body)!.at >= sampleTime);
		const stalled = due.filter(body => this.isStalled(body, now));
		for (const body of due) {
			this.samples.set(body, {size: body.size, at: now});
		}

		for (const body of stalled) {
			this.giveUp(body, tooSlow());
		}

		for (const {body, since} of this.queue.filter(waiting => now - waiting.since > maxWait)) {
			this.giveUp(body, noMemory());
		}

		this.assign();
	}

	/** Whether its client has sent too little for some time. */
	private isStalled(body: RequestBody, now: number): boolean {
		return body.isReceiving && now - this.samples.get(body)!.at >= sampleTime && this.progressOf(body, now) < body.charged * minProgress;
	}

	/** Bytes a second since the last measurement. */
	private progressOf(body: RequestBody, now: number): number {
		const {size, at} = this.samples.get(body)!;
		return (body.size - size) / Math.max(1, now - at) * millisecondsPerSecond;
	}

	/** The incomplete body with the least progress; of equal ones the one that holds most. */
	private get slowest(): RequestBody | undefined {
		const now = this.clock.monotonic();
		const [slowest] = [...this.samples.keys()]
			.filter(body => body.isIncomplete && body.charged > 0)
			.map(body => ({body, progress: this.progressOf(body, now)}))
			.sort((left, right) => left.progress - right.progress || right.body.charged - left.body.charged);
		return slowest?.body;
	}

	private giveUp(body: RequestBody, refusal: Refusal): void {
		this.onGivenUp(refusal.reason);
		body.giveUp(refusal);
	}
}
