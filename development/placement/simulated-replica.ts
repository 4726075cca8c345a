/**
 * A simulated replica: reads prompts one after another in order of arrival, generates in a limited number of slots, and queues the rest by
 * urgency. A plain call occupies a slot for its work. In slow phases of its machine, all of this takes longer.
 */
import type {LoadPattern} from './load-pattern.js';
import type {EventQueue} from './event-queue.js';

/** A request at a simulated replica. */
export type ReplicaJob = {
	/** Zero is the most urgent. */
	readonly urgency: number;
	readonly ownTokens: number;
	readonly sharedTokens: number;
	readonly group: string;
	/** Milliseconds from the first event to the end. */
	readonly generation: number;
	/** Milliseconds of work of a plain call; `undefined` for a generation. */
	readonly work?: number | undefined;
	readonly onFirstEvent: () => void;
	readonly onEnd: () => void;
};

/** Dependencies of a simulated replica. */
export type SimulationParts = {
	readonly events: EventQueue;
	/** @returns Current time in milliseconds. */
	readonly now: () => number;
	/** @returns A number from 0 to 1. */
	readonly random: () => number;
};

/** Factor by which full slots slow a generation down. */
const fullSlotsSlowdown = 0.07;
const pairsPerMillion = 1e6;

/** One simulated replica. */
export class SimulatedReplica {
	/**
	 * @param pattern - Size and speed of the replica.
	 * @param parts - Its dependencies.
	 * @returns A replica without work and with an empty cache.
	 */
	static create(pattern: LoadPattern, parts: SimulationParts): SimulatedReplica {
		return new SimulatedReplica(pattern, parts);
	}

	private running = 0;
	private readonly queue: ReplicaJob[] = [];
	private readonly cached = new Set<string>();
	private readingUntil = 0;
	private isSlow = false;
	private phaseUntil = 0;

	private constructor(private readonly pattern: LoadPattern, private readonly parts: SimulationParts) {}

	/** Requests in progress, and requests that wait for a slot. */
	get load(): {readonly running: number; readonly queued: number} {
		return {running: this.running, queued: this.queue.length};
	}

	/** Milliseconds until it has read all prompts that it has accepted. */
	get backlog(): number {
		return Math.max(0, this.readingUntil - this.parts.now());
	}

	/** Factor by which work that starts now takes longer. */
	get pace(): number {
		const {slowPhases} = this.pattern;
		if (!slowPhases) {
			return 1;
		}

		const {part, factor, length} = slowPhases;
		while (this.parts.now() >= this.phaseUntil) {
			// The first phase is drawn, so that replicas are not slow together.
			this.isSlow = this.phaseUntil === 0 ? this.parts.random() < part : !this.isSlow;
			const mean = this.isSlow ? length : length * (1 - part) / part;
			this.phaseUntil += -Math.log(1 - this.parts.random()) * mean;
		}

		return this.isSlow ? factor : 1;
	}

	/**
	 * @param group - Group of requests that share a part of their prompts.
	 * @returns Whether it has read that part.
	 */
	hasRead(group: string): boolean {
		return this.cached.has(group);
	}

	/** @param job - A request that arrives now. */
	accept(job: ReplicaJob): void {
		if (this.running >= this.pattern.slots) {
			this.enqueue(job);
			return;
		}

		this.start(job);
	}

	/** More urgent requests start first. */
	private enqueue(job: ReplicaJob): void {
		const place = this.queue.findIndex(({urgency}) => urgency > job.urgency);
		this.queue.splice(place === -1 ? this.queue.length : place, 0, job);
	}

	private start(job: ReplicaJob): void {
		this.running++;
		const firstEventAt = job.work === undefined ? this.read(job) : this.parts.now() + (job.work * this.pace);
		this.parts.events.add(firstEventAt, () => {
			job.onFirstEvent();
			const slowdown = 1 + (fullSlotsSlowdown * this.running / this.pattern.slots);
			this.parts.events.add(firstEventAt + (job.generation * slowdown), () => {
				this.end(job);
			});
		});
	}

	/** @returns Milliseconds at which the first event is sent. */
	private read(job: ReplicaJob): number {
		const {readRate, pairCost = 0, firstEvent} = this.pattern;
		const tokens = job.ownTokens + (this.cached.has(job.group) ? 0 : job.sharedTokens);
		this.cached.add(job.group);
		const reading = (tokens / readRate) + ((tokens ** 2) / 2 / pairsPerMillion * pairCost);
		this.readingUntil = Math.max(this.parts.now(), this.readingUntil) + (reading * this.pace);
		return this.readingUntil + firstEvent;
	}

	private end(job: ReplicaJob): void {
		this.running--;
		job.onEnd();
		const next = this.queue.shift();
		if (next) {
			this.start(next);
		}
	}
}
