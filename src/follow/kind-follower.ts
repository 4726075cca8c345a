/**
 * Follows all objects of a kind in the metadata store: lists them, then watches for changes; lists again when the watch has to
 * be restarted.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Changes, Listing, MetadataStore} from './metadata-store.js';

/** Milliseconds between two attempts while the store does not answer, doubled after each failure up to a maximum; before jitter. */
const retryPause = 250;
/** Maximum milliseconds between two attempts while the store does not answer; before jitter. */
const maxRetryPause = 600;
/** Milliseconds between two checks whether this box needs to follow the kind. */
const idlePause = 400;
/** Milliseconds between changes and the next watch, so that changes made close together arrive in one batch. */
const batchPause = 200;

/** Callbacks for the objects of a kind. */
export type KindListener = {
	/** Called after each answer of the store, before `list` or `change`. */
	readonly onAnswer?: () => void;
	/**
	 * @param listing - All objects of the kind.
	 * @param sentAt - When the list was requested, in monotonic milliseconds.
	 */
	readonly list: (listing: Listing, sentAt: number) => void;
	/**
	 * @param changes - Objects that were changed or removed; empty where the watch ended without changes.
	 * @param sentAt - When the watch was sent, in monotonic milliseconds.
	 */
	readonly change: (changes: Changes, sentAt: number) => void;
};

/** Dependencies of a follower. */
export type FollowerServices = {
	readonly store: MetadataStore;
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns Whether this box follows the kind itself; if not, it receives the objects from other boxes. */
	readonly isNeeded: () => boolean;
	/**
	 * Range of the time in milliseconds that a watch waits for changes; a dead connection is detected soon after that time. The time is
	 * drawn at random for each watch, so that boxes do not send their watches at the same moment.
	 */
	readonly watchWait: {readonly least: number; readonly spread: number};
};

/** Follows one kind of objects. */
export class KindFollower {
	/**
	 * @param kind - Kind of objects.
	 * @param services - Its dependencies.
	 * @param listener - Receives the objects and their changes.
	 * @returns A follower that does nothing until it is run.
	 */
	static create(kind: string, services: FollowerServices, listener: KindListener): KindFollower {
		return new KindFollower(kind, services, listener);
	}

	private isLost = false;
	private failures = 0;
	private answeredAt = Number.NEGATIVE_INFINITY;

	private constructor(
		private readonly kind: string,
		private readonly services: FollowerServices,
		private readonly listener: KindListener,
	) {}

	/** Milliseconds since the store last answered. */
	get silence(): number {
		return this.services.clock.monotonic() - this.answeredAt;
	}

	/** @returns An effect that follows the kind until it is interrupted. */
	run(): Effect.Effect<never> {
		const following = this.follow().pipe(
			Effect.catchTag('HistoryGone', () => Effect.sync(() => {
				this.services.log.write('historyGone', {kind: this.kind});
			})),
			Effect.catchTag('StoreUnavailable', ({detail}) => {
				this.recordLoss(detail);
				this.failures++;
				const pause = Math.min(maxRetryPause, retryPause * (2 ** (this.failures - 1)));
				return Effect.sleep(pause * (0.75 + (Math.random() / 2)));
			}),
		);
		return Effect.forever(Effect.suspend(() => this.services.isNeeded() ? following : Effect.sleep(idlePause)));
	}

	private follow() {
		return Effect.gen({self: this}, function * () {
			const {store, clock} = this.services;
			const sentAt = clock.monotonic();
			const listing = yield * store.list(this.kind);
			this.recordAnswer();
			this.listener.list(listing, sentAt);
			let {at} = listing;
			while (this.services.isNeeded()) {
				const watchedFrom = clock.monotonic();
				const {least, spread} = this.services.watchWait;
				const changes = yield * store.watch(this.kind, at, least + (Math.random() * spread));
				this.recordAnswer();
				at = Math.max(at, changes.at);
				this.listener.change(changes, watchedFrom);
				if (changes.changes.length > 0) {
					yield * Effect.sleep(batchPause);
				}
			}
		});
	}

	private recordAnswer(): void {
		if (this.isLost) {
			this.services.log.write('storeRegained', {kind: this.kind, silence: Math.round(this.silence)});
		}

		this.listener.onAnswer?.();
		this.isLost = false;
		this.failures = 0;
		this.answeredAt = this.services.clock.monotonic();
	}

	private recordLoss(detail: string): void {
		if (!this.isLost) {
			this.services.log.write('storeLost', {kind: this.kind, detail});
		}

		this.isLost = true;
	}
}
