/**
 * Checks that the events of a client's stream are numbered consecutively, across all replicas that produce it.
 */

/** Why an event is not the next one: it has no number, the client already has that number, or numbers in between are missing. */
export type EventMisfit = 'unnumbered' | 'behind' | 'ahead';

/** Integers of up to fifteen digits are exact as a JavaScript number. */
const wholeNumber = /^\d{1,15}$/v;

/** @returns The id as a number; `undefined` if it is not one. */
const numberOf = (id: string | undefined): number | undefined => id !== undefined && wholeNumber.test(id) ? Number(id) : undefined;

/** The position of a client in its stream. */
export class EventSequence {
	/**
	 * @param lastEventId - Id of the last event that the client received earlier; `undefined` if there is none.
	 * @returns A sequence that continues after that event. Without one, the first event may have any number.
	 */
	static create(lastEventId?: string): EventSequence {
		return new EventSequence(lastEventId);
	}

	/** Id of the last event that the client has; `undefined` if there is none. */
	lastEventId: string | undefined;
	/** Number of events accepted. */
	acceptedCount = 0;
	/** Expected number of the next event; `undefined` if any is valid. */
	private expectedNumber: number | undefined;

	private constructor(lastEventId: string | undefined) {
		const last = numberOf(lastEventId);
		this.lastEventId = last === undefined ? undefined : lastEventId;
		this.expectedNumber = last === undefined ? undefined : last + 1;
	}

	/**
	 * Accepts an event if it is the next one.
	 *
	 * @param id - Id of the event; `undefined` if it has none.
	 * @returns Why the event is not the next one; `undefined` if it was accepted.
	 */
	accept(id: string | undefined): EventMisfit | undefined {
		const number = numberOf(id);
		if (number === undefined) {
			return 'unnumbered';
		}

		const next = this.expectedNumber ?? number;
		if (number !== next) {
			return number < next ? 'behind' : 'ahead';
		}

		this.expectedNumber = number + 1;
		this.lastEventId = id;
		this.acceptedCount++;
		return undefined;
	}
}
