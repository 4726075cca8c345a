/**
 * Times in which replicas want no requests: a replica that turns a box away may ask that box for one.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Replica} from './replica.js';

/** A time without requests. */
type Pause = {
	/** Monotonic milliseconds at which it was asked for. */
	readonly at: number;
	/** Monotonic milliseconds at which it ends. */
	readonly until: number;
};

/** A pause that this box was asked for, as it tells it to others. */
export type ToldPause = {
	/** Names the start of the replica. */
	readonly start: string;
	/** Milliseconds that were asked for. */
	readonly length: number;
	/** Milliseconds since. */
	readonly age: number;
};

/** Stands for this box. */
const self = '';

/** The pauses that replicas asked boxes for. Only the one of this box binds it; those of others say where its next request may fail. */
export class ReplicaPauses {
	/**
	 * @param clock - For their ends.
	 * @returns Pauses of which none is known.
	 */
	static create(clock: Clock): ReplicaPauses {
		return new ReplicaPauses(clock);
	}

	/** By start of the replica and name of the box. */
	private readonly pauses = new Map<string, Map<string, Pause>>();

	private constructor(private readonly clock: Clock) {}

	/**
	 * Notes that a replica asked for a pause. It ends by time alone: an answer that comes later may have been made before.
	 *
	 * @param replica - The replica.
	 * @param length - Milliseconds.
	 * @param age - Milliseconds since it asked.
	 * @param box - Name of the box that was asked; this one where absent.
	 * @returns Whether the pause is longer than what was known of it.
	 */
	note({start}: Replica, length: number, age = 0, box = self): boolean {
		const at = this.clock.monotonic() - age;
		const until = at + length;
		const ofReplica = getOrCreate(this.pauses, start, () => new Map<string, Pause>());
		const isLonger = until > Math.max(this.clock.monotonic(), ofReplica.get(box)?.until ?? 0);
		if (isLonger) {
			ofReplica.set(box, {at, until});
		}

		return isLonger;
	}

	/**
	 * @param replica - A replica.
	 * @returns Milliseconds for which it still wants no requests from this box; zero where it takes them.
	 */
	left({start}: Replica): number {
		const until = this.pauses.size === 0 ? undefined : this.pauses.get(start)?.get(self)?.until;
		return until === undefined ? 0 : Math.max(0, until - this.clock.monotonic());
	}

	/**
	 * @param replica - A replica.
	 * @returns How many boxes it wants no requests from, as far as is known, this one too.
	 */
	boxesOf({start}: Replica): number {
		const ofReplica = this.pauses.size === 0 ? undefined : this.pauses.get(start);
		if (!ofReplica) {
			return 0;
		}

		const now = this.clock.monotonic();
		for (const [box, {until}] of ofReplica) {
			if (until <= now) {
				ofReplica.delete(box);
			}
		}

		if (ofReplica.size === 0) {
			this.pauses.delete(start);
		}

		return ofReplica.size;
	}

	/** Those of this box that have not ended. */
	get told(): readonly ToldPause[] {
		const now = this.clock.monotonic();
		return [...this.pauses].flatMap(([start, ofReplica]) => {
			const own = ofReplica.get(self);
			return own && own.until > now ? [{start, length: Math.round(own.until - own.at), age: Math.round(now - own.at)}] : [];
		});
	}

	/** @param replica - A replica that is listed no longer, or another start of which has taken its id. */
	forget({start}: Replica): void {
		this.pauses.delete(start);
	}
}
