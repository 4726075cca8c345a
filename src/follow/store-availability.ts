/**
 * When the store answered this box and others, and when it last came back after an outage in which entries may have lapsed because nobody could write them.
 */
import {unknownAgeMs, type Clock} from '../base/clock.js';

/** The availability of the store. */
export class StoreAvailability {
	/**
	 * @param clock - For ages.
	 * @param lapseTime - Milliseconds without an answer to any box after which entries may have lapsed.
	 * @returns The availability of a store that has not answered yet.
	 */
	static create(clock: Clock, lapseTime: () => number): StoreAvailability {
		return new StoreAvailability(clock, lapseTime);
	}

	private ownAnswerAt = Number.NEGATIVE_INFINITY;
	/** When the store last answered any box. */
	private answeredAt: number | undefined;
	/** The last answer before the last outage, and the first one after it. */
	private lostAt = Number.NEGATIVE_INFINITY;
	private regainedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock, private readonly lapseTime: () => number) {}

	/** Milliseconds since the store last answered this box. */
	get ownSilence(): number {
		return this.clock.ageOf(this.ownAnswerAt);
	}

	/** Monotonic milliseconds at which the last outage ended; below zero without end where there was none as far as is known. */
	get returnedAt(): number {
		return this.regainedAt;
	}

	/** Notes that the store has answered this box. */
	noteOwnAnswer(): void {
		this.ownAnswerAt = this.clock.monotonic();
		this.noteAnswer(this.ownAnswerAt);
	}

	/** @param age - Milliseconds since the store answered another box, as that one says; `unknownAge` says nothing. */
	notePeerAnswer(age: number): void {
		if (age < unknownAgeMs) {
			this.noteAnswer(this.clock.monotonic() - age);
		}
	}

	/**
	 * Notes an answer that a peer may know of from other boxes. The time of each hop is missing in its age, so that it may prove the end of an outage but not
	 * that there was none.
	 *
	 * @param age - Milliseconds since the store answered some box; `unknownAge` says nothing.
	 */
	noteIndirectAnswer(age: number): void {
		if (this.isAfterOutage(this.clock.monotonic() - age)) {
			this.notePeerAnswer(age);
		}
	}

	/** Notes that the store came back from a copy: it may lack entries however short the outage was. */
	noteRestore(): void {
		this.regainedAt = this.clock.monotonic();
		this.lostAt = this.regainedAt;
	}

	private isAfterOutage(at: number): boolean {
		return this.answeredAt !== undefined && at - this.answeredAt >= this.lapseTime();
	}

	/** Answers that one box lost are no outage: others are answered meanwhile. */
	private noteAnswer(at: number): void {
		const isEarlierReturn = at - this.lostAt >= this.lapseTime() && at < this.regainedAt;
		if (this.isAfterOutage(at)) {
			this.lostAt = this.answeredAt ?? this.lostAt;
			this.regainedAt = at;
		} else if (isEarlierReturn) {
			this.regainedAt = at;
		}

		this.answeredAt = Math.max(at, this.answeredAt ?? at);
	}
}
