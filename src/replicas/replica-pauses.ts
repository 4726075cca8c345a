/**
 * Pauses that replicas ask for: a replica that rejects a request may ask the box to send none for some time.
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Replica} from './replica.js';

/** A period in which a box sends no requests to a replica. */
type Pause = {
	/** Monotonic milliseconds at which the replica asked for the pause. */
	readonly at: number;
	/** Monotonic milliseconds at which the pause ends. */
	readonly until: number;
};

/** A pause that a replica asked this box for, as sent to other boxes. */
export type PauseUpdate = {
	/** Incarnation of the replica. */
	readonly start: string;
	/** Duration in milliseconds. */
	readonly length: number;
	/** Milliseconds since the replica asked for the pause. */
	readonly age: number;
};

/** Key of this box. */
const self = '';
/** Incarnations whose pauses are kept; the oldest ones are evicted. */
const maxIncarnations = 4096;

/** Pauses that replicas asked boxes for. A box is bound only by its own; those of other boxes indicate where its next request may be rejected. */
export class ReplicaPauses {
	/**
	 * @param clock - Measures the pauses.
	 * @returns A registry without pauses.
	 */
	static create(clock: Clock): ReplicaPauses {
		return new ReplicaPauses(clock);
	}

	/** Pauses by incarnation of the replica and name of the box. */
	private readonly pauses = new Map<string, Map<string, Pause>>();

	private constructor(private readonly clock: Clock) {}

	/**
	 * Records a pause. It ends only by time: a response that arrives later may have been produced earlier, and an entry that is removed
	 * may be written again.
	 *
	 * @param replica - The replica, or its incarnation where it is not listed yet.
	 * @param length - Duration in milliseconds.
	 * @param age - Milliseconds since the replica asked for the pause.
	 * @param box - Name of the box that was asked; this box by default.
	 * @returns Whether the pause ends later than the known one.
	 */
	record({start}: Pick<Replica, 'start'>, length: number, age = 0, box = self): boolean {
		const at = this.clock.monotonic() - age;
		const until = at + length;
		const isLonger = until > Math.max(this.clock.monotonic(), this.pauses.get(start)?.get(box)?.until ?? 0);
		if (isLonger) {
			getOrCreate(this.pauses, start, () => new Map<string, Pause>()).set(box, {at, until});
			evictOldest(this.pauses, maxIncarnations);
		}

		return isLonger;
	}

	/**
	 * @param replica - A replica.
	 * @returns Remaining milliseconds of the pause that the replica asked this box for; zero without one.
	 */
	remaining({start}: Replica): number {
		const until = this.pauses.size === 0 ? undefined : this.pauses.get(start)?.get(self)?.until;
		return until === undefined ? 0 : Math.max(0, until - this.clock.monotonic());
	}

	/**
	 * @param replica - A replica.
	 * @returns Number of boxes, including this one, that the replica is known to have asked for a pause that has not ended.
	 */
	countBoxes({start}: Replica): number {
		const pausesByBox = this.pauses.size === 0 ? undefined : this.pauses.get(start);
		if (!pausesByBox) {
			return 0;
		}

		const now = this.clock.monotonic();
		for (const [box, {until}] of pausesByBox) {
			if (until <= now) {
				pausesByBox.delete(box);
			}
		}

		if (pausesByBox.size === 0) {
			this.pauses.delete(start);
		}

		return pausesByBox.size;
	}

	/** Pauses of this box that have not ended. */
	get updates(): readonly PauseUpdate[] {
		const now = this.clock.monotonic();
		return [...this.pauses].flatMap(([start, pausesByBox]) => {
			const own = pausesByBox.get(self);
			return own && own.until > now ? [{start, length: Math.round(own.until - own.at), age: Math.round(now - own.at)}] : [];
		});
	}

	/** @param replica - A replica that was replaced by a newer incarnation. */
	forget({start}: Replica): void {
		this.pauses.delete(start);
	}
}
