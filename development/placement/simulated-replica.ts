/**
 * A simulated replica of a language model: reads prompts one after another, generates in a limited number of slots, and queues the rest by
 * urgency.
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
	readonly onFirstEvent: () => void;
	readonly onEnd: () => void;
};

/** Factor by which full slots slow a generation down. */
const fullSlotsSlowdown = 0.07;

/** One simulated replica. */
export class SimulatedReplica {
	/**
	 * @param pattern - Size and speed of the replica.
	 * @param events - Receives the events of the replica.
	 * @param now - Current time in milliseconds.
	 * @returns A replica without work and with an empty cache.
	 */
	static create(pattern: LoadPattern, events: EventQueue, now: () => number): SimulatedReplica {
		return new SimulatedReplica(pattern, events, now);
	}

	private running = 0;
	private readonly queue: ReplicaJob[] = [];
	private readonly cached = new Set<string>();
	private readingUntil = 0;

	private constructor(private readonly pattern: LoadPattern, private readonly events: EventQueue, private readonly now: () => number) {}

	/** Requests in progress, and requests that wait for a slot. */
	get load(): {readonly running: number; readonly queued: number} {
		return {running: this.running, queued: this.queue.length};
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
		const {readRate, firstEvent, slots} = this.pattern;
		this.running++;
		const tokens = job.ownTokens + (this.cached.has(job.group) ? 0 : job.sharedTokens);
		this.cached.add(job.group);
		this.readingUntil = Math.max(this.now(), this.readingUntil) + (tokens / readRate);
		const firstEventAt = this.readingUntil + firstEvent;
		this.events.add(firstEventAt, () => {
			job.onFirstEvent();
			const slowdown = 1 + (fullSlotsSlowdown * this.running / slots);
			this.events.add(firstEventAt + (job.generation * slowdown), () => {
				this.running--;
				job.onEnd();
				const next = this.queue.shift();
				if (next) {
					this.start(next);
				}
			});
		});
	}
}
