/**
 * Detects a replica that states the same figures while its load changes.
 */
import type {StatedLoad} from './stated-load.js';

/** Changes of this box's own requests during which the figures stay the same, from which on they count as frozen. Two or three happen by coincidence. */
const maxUnnoticedChanges = 5;
/** The same for a replica that states that all its slots are in use: there, one request takes the place of another. */
const maxUnnoticedChangesWhenFull = 20;

/** The figures of one replica, as far as they repeat. */
export class FrozenFigures {
	/** @returns A detector without figures. */
	static create(): FrozenFigures {
		return new FrozenFigures();
	}

	private last: StatedLoad | undefined;
	private ownRequests = 0;
	private unnoticedChanges = 0;

	private constructor() {
		// Made by create().
	}

	/** Whether the figures have not changed although the load did. */
	get isFrozen(): boolean {
		const isFull = this.last !== undefined && this.last.running >= this.last.slots;
		return this.unnoticedChanges >= (isFull ? maxUnnoticedChangesWhenFull : maxUnnoticedChanges);
	}

	/**
	 * Records the figures of a response.
	 *
	 * @param load - The figures.
	 * @param ownRequests - Requests of this box in progress at the replica.
	 */
	record(load: StatedLoad, ownRequests: number): void {
		const isRepeated = this.last?.running === load.running && this.last.waiting === load.waiting;
		const isNewChange = isRepeated && ownRequests !== this.ownRequests;
		this.unnoticedChanges = isRepeated ? this.unnoticedChanges + Number(isNewChange) : 0;
		this.last = load;
		this.ownRequests = ownRequests;
	}
}
