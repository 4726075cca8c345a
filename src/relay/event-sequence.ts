/**
 * Holds a client's stream to one count of events, over all the runs that make it.
 */

/** Why an event is not the one that comes next: it has no number, one that the client has, or one beyond the next. */
export type EventMisfit = 'unnumbered' | 'behind' | 'ahead';

/** Fifteen digits are exact as a number. */
const wholeNumber = /^\d{1,15}$/v;

const numberOf = (id: string | undefined): number | undefined => id !== undefined && wholeNumber.test(id) ? Number(id) : undefined;

/** What a client has of a stream. */
export class EventSequence {
	/**
	 * @param lastEventId - Id of the last event that the client has from before; `undefined` where it has none.
	 * @returns A sequence in which that event came last. Without one the first event may bear any number.
	 */
	static create(lastEventId?: string): EventSequence {
		return new EventSequence(numberOf(lastEventId));
	}

	private constructor(private last: number | undefined) {}

	/** Id of the last event that the client has. */
	get lastEventId(): string | undefined {
		return this.last?.toString();
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

		const next = this.last === undefined ? number : this.last + 1;
		if (number !== next) {
			return number < next ? 'behind' : 'ahead';
		}

		this.last = number;
		return undefined;
	}
}
