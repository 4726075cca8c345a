/**
 * Holds a client's stream to one count of events, over all the runs that make it.
 */

/** Why an event is not the one that comes next: it has no number, one that the client has, or one beyond the next. */
export type EventMisfit = 'unnumbered' | 'behind' | 'ahead';

/** Fifteen digits are exact as a number. */
const wholeNumber = /^\d{1,15}$/v;

/** @returns The number that an id is; `undefined` where it is none. */
const numberOf = (id: string | undefined): number | undefined => id !== undefined && wholeNumber.test(id) ? Number(id) : undefined;

/** What a client has of a stream. */
export class EventSequence {
	/**
	 * @param lastEventId - Id of the last event that the client has from before; `undefined` where it has none.
	 * @returns A sequence in which that event came last. Without one the first event may bear any number.
	 */
	static create(lastEventId?: string): EventSequence {
		return new EventSequence(lastEventId);
	}

	/** Id of the last event that the client has; `undefined` where it has none. */
	lastEventId: string | undefined;
	/** Events that were taken. */
	taken = 0;
	/** Number of the event that comes next; `undefined` where any may. */
	private next: number | undefined;

	private constructor(lastEventId: string | undefined) {
		const last = numberOf(lastEventId);
		this.lastEventId = last === undefined ? undefined : lastEventId;
		this.next = last === undefined ? undefined : last + 1;
	}

	/**
	 * Takes an event as the next one, if it is.
	 *
	 * @param id - Its id; `undefined` where it has none.
	 * @returns Why it is not; `undefined` where it was taken.
	 */
	take(id: string | undefined): EventMisfit | undefined {
		const number = numberOf(id);
		if (number === undefined) {
			return 'unnumbered';
		}

		const next = this.next ?? number;
		if (number !== next) {
			return number < next ? 'behind' : 'ahead';
		}

		this.next = number + 1;
		this.lastEventId = id;
		this.taken++;
		return undefined;
	}
}
