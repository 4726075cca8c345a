/**
 * What replicas in need say of how many requests a second they take of all boxes together.
 */
import type {Clock} from '../base/clock.js';
import type {EventFields, EventLog} from '../base/event-log.js';
import type {EventName} from '../base/event-catalogue.js';
import type {Replica} from './replica.js';

/** A replica's word on its limit; the newest counts. */
export type LimitWord = {
	/** Requests a second; `undefined` where the replica names no limit any more. */
	readonly limit: number | undefined;
	/**
	 * Monotonic milliseconds: when a limit was heard, and when the request was sent whose answer names none, since that answer may have been made before one
	 * that names a limit and was heard first.
	 */
	readonly at: number;
};

/** What the limits need. */
export type ReplicaLimitServices = {
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Milliseconds between two lines on one replica: it may name another limit with every answer. */
const lineInterval = 1000;

/** The limits that replicas have named. */
export class ReplicaLimits {
	/**
	 * @param services - What they need.
	 * @returns Limits of which none is known.
	 */
	static create(services: ReplicaLimitServices): ReplicaLimits {
		return new ReplicaLimits(services);
	}

	/** By start of the replica. */
	private readonly words = new Map<string, LimitWord>();
	private readonly toldAt = new Map<string, number>();

	private constructor(private readonly services: ReplicaLimitServices) {}

	/**
	 * @param replica - A replica.
	 * @returns Requests a second that it takes of all boxes; `undefined` where it has named no limit.
	 */
	limitOf({start}: Replica): number | undefined {
		return this.words.get(start)?.limit;
	}

	/**
	 * Notes what an answer says.
	 *
	 * @param replica - Whose answer it is.
	 * @param limit - What it names.
	 * @param sentAt - Monotonic milliseconds at which its request was sent.
	 */
	noteAnswer(replica: Replica, limit: number | 'unreadable' | undefined, sentAt: number): void {
		if (limit === 'unreadable') {
			this.tell('replicaLimitUnreadable', replica);
			return;
		}

		const {clock} = this.services;
		if (limit !== undefined || this.limitOf(replica) !== undefined) {
			this.take(replica, {limit, at: limit === undefined ? sentAt : clock.monotonic()});
		}
	}

	/** @param replica - A replica that is listed no longer, or another start of which has taken its id. */
	forget({start}: Replica): void {
		this.words.delete(start);
		this.toldAt.delete(start);
	}

	private take(replica: Replica, word: LimitWord): void {
		const known = this.words.get(replica.start);
		if (known && known.at >= word.at) {
			return;
		}

		this.words.set(replica.start, word);
		if (known?.limit !== word.limit) {
			this.tell(word.limit === undefined ? 'replicaLimitEnded' : 'replicaLimited', replica, {limit: word.limit, before: known?.limit});
		}
	}

	private tell(event: EventName, {start, entry}: Replica, fields: EventFields = {}): void {
		const now = this.services.clock.monotonic();
		const key = `${event} ${start}`;
		if (now - (this.toldAt.get(key) ?? Number.NEGATIVE_INFINITY) >= lineInterval) {
			this.toldAt.set(key, now);
			this.services.log.write(event, {replica: entry.id, service: entry.service, ...fields});
		}
	}
}
