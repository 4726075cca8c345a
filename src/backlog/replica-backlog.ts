/**
 * What one box expects one replica to have left to read. Replicas read prompts one after another in order of arrival, so that a request
 * waits until all prompts before it have been read.
 *
 * @remarks
 * The load pattern: a few prompts of tens of thousands of tokens among many short ones, sent by boxes that each see a small part of the load, to
 * replicas whose machines are slow for a fraction of a second at a time. Source: docs/design/scheduling.md.
 */
import type {Clock} from '../base/clock.js';
import {sumOf} from '../base/sum.js';

/** Milliseconds of reading that one replica can be expected to have left at most; bounds the effect of a false update. */
export const maxBacklog = 30_000;
/** Prompts whose time of sending is remembered for corrections: more than a replica receives while it reads the longest prompt. */
const maxRemembered = 64;

/** A prompt that was sent to the replica. */
type SentPrompt = {
	/** Monotonic milliseconds. */
	readonly at: number;
	/** Milliseconds that the replica needs to read it. */
	readonly reading: number;
};

/** The expected backlog of one replica. */
export class ReplicaBacklog {
	/**
	 * @param clock - Measures the progress of the replica.
	 * @returns A replica with nothing to read.
	 */
	static create(clock: Clock): ReplicaBacklog {
		return new ReplicaBacklog(clock);
	}

	/** Monotonic milliseconds at which the replica has read all prompts, as this box expects. */
	private readAt = Number.NEGATIVE_INFINITY;
	/** The same, as the other boxes expect by what they were told. */
	private commonReadAt = Number.NEGATIVE_INFINITY;
	private readonly sent: SentPrompt[] = [];

	private constructor(private readonly clock: Clock) {}

	/** Expected milliseconds until the replica has read all prompts sent so far. */
	get remaining(): number {
		return this.until(this.readAt);
	}

	/** Milliseconds by which the other boxes expect too little, or too much if negative. */
	get undisclosed(): number {
		return this.remaining - this.until(this.commonReadAt);
	}

	/** @param reading - Milliseconds that the replica needs to read a prompt that this box sends now. */
	recordSent(reading: number): void {
		this.remember(reading);
		this.readAt = this.at(this.remaining + reading);
	}

	/**
	 * Records that the replica has read a prompt of this box, which tells what it has still to read: the prompts sent after that one.
	 *
	 * @param sentAt - Monotonic milliseconds at which the prompt was sent.
	 */
	recordRead(sentAt: number): void {
		this.readAt = this.at(sumOf(this.sent.filter(({at}) => at > sentAt).map(({reading}) => reading)));
	}

	/**
	 * Records that a prompt of this box will not be read: its request was cancelled, or the connection was lost.
	 *
	 * @param reading - Milliseconds that the replica would have needed for it.
	 */
	recordCancelled(reading: number): void {
		this.readAt = this.at(this.remaining - reading);
	}

	/**
	 * Applies what another box tells.
	 *
	 * @param change - Milliseconds by which it has changed its expectation.
	 * @param isPrompt - Whether it has sent prompts; otherwise it has corrected its expectation. A correction that counted as a prompt would be counted
	 * again with the next prompt that is read.
	 */
	applyChange(change: number, isPrompt: boolean): void {
		if (isPrompt) {
			this.remember(change);
		}

		const common = this.until(this.commonReadAt);
		this.readAt = this.at(this.remaining + change);
		this.commonReadAt = this.at(common + change);
	}

	/** Records that the other boxes are told what this box expects. */
	recordDisclosed(): void {
		this.commonReadAt = this.readAt;
	}

	private remember(reading: number): void {
		this.sent.push({at: this.clock.monotonic(), reading});
		if (this.sent.length > maxRemembered) {
			this.sent.shift();
		}
	}

	private until(time: number): number {
		return Math.max(0, time - this.clock.monotonic());
	}

	private at(remaining: number): number {
		return this.clock.monotonic() + Math.min(maxBacklog, Math.max(0, remaining));
	}
}
