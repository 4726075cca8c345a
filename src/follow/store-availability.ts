/**
 * Tracks when the store last answered any box, and when its last outage ended in which entries may have expired because no box
 * could renew them.
 */
import {unknownAgeMs, type Clock} from '../base/clock.js';

/** Availability of the store as known to one box. */
export class StoreAvailability {
	/**
	 * @param clock - Measures ages.
	 * @param lapseTime - Milliseconds without an answer to any box after which entries may have expired.
	 * @returns The state for a store that has not answered yet.
	 */
	static create(clock: Clock, lapseTime: () => number): StoreAvailability {
		return new StoreAvailability(clock, lapseTime);
	}

	private ownAnswerAt = Number.NEGATIVE_INFINITY;
	/** When the store last answered any box. */
	private answeredAt: number | undefined;
	/** The last answer before the last outage and the first one after it, in monotonic milliseconds. */
	private outageBeganAt = Number.NEGATIVE_INFINITY;
	private outageEndedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock, private readonly lapseTime: () => number) {}

	/** Milliseconds since the store last answered this box. */
	get timeSinceOwnAnswer(): number {
		return this.clock.ageOf(this.ownAnswerAt);
	}

	/** When the last outage ended, in monotonic milliseconds; negative infinity where no outage is known. */
	get lastOutageEndedAt(): number {
		return this.outageEndedAt;
	}

	/** Records that the store has answered this box. */
	recordOwnAnswer(): void {
		this.ownAnswerAt = this.clock.monotonic();
		this.recordAnswer(this.ownAnswerAt);
	}

	/** @param age - Milliseconds since the store answered another box, as reported by that box; `unknownAgeMs` and more is ignored. */
	recordPeerAnswer(age: number): void {
		if (age < unknownAgeMs) {
			this.recordAnswer(this.clock.monotonic() - age);
		}
	}

	/**
	 * Records an answer that a peer may know from other boxes. Its age lacks the transit time of each hop: it can show that an outage
	 * has ended, but not that there was none.
	 *
	 * @param age - Milliseconds since the store answered some box; `unknownAgeMs` and more is ignored.
	 */
	recordIndirectAnswer(age: number): void {
		if (this.isAfterOutage(this.clock.monotonic() - age)) {
			this.recordPeerAnswer(age);
		}
	}

	/** Records that the store was restored from a backup: entries may be missing even after a short outage. */
	recordRestore(): void {
		this.outageEndedAt = this.clock.monotonic();
		this.outageBeganAt = this.outageEndedAt;
	}

	private isAfterOutage(at: number): boolean {
		return this.answeredAt !== undefined && at - this.answeredAt >= this.lapseTime();
	}

	/** Records an answer to any box; one box without answers is no outage while the store answers other boxes. */
	private recordAnswer(at: number): void {
		const isEarlierEnd = at - this.outageBeganAt >= this.lapseTime() && at < this.outageEndedAt;
		if (this.isAfterOutage(at)) {
			this.outageBeganAt = this.answeredAt ?? this.outageBeganAt;
			this.outageEndedAt = at;
		} else if (isEarlierEnd) {
			this.outageEndedAt = at;
		}

		this.answeredAt = Math.max(at, this.answeredAt ?? at);
	}
}
