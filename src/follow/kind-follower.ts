/**
 * Follows all objects of a kind: a list, then watches, then a list again whenever the thread is lost.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Changes, Listing, MetadataStore} from './metadata-store.js';

/** Milliseconds between two tries while the store does not answer; doubles up to the longest. */
const retryPause = 250;
const longestRetryPause = 600;
/** Milliseconds between two looks whether following is needed. */
const idlePause = 400;
/** Milliseconds after changes before the next watch: what changes together is told together. */
const gatherPause = 200;

/** Takes what is learnt of a kind. */
export type KindListener = {
	/** Called whenever the store has answered, before what it said is told. */
	readonly onAnswer?: () => void;
	/**
	 * @param listing - All objects there are.
	 * @param sentAt - Monotonic milliseconds at which the list was asked for.
	 */
	readonly list: (listing: Listing, sentAt: number) => void;
	/**
	 * @param changes - Objects that have changed or gone; none where nothing did.
	 * @param sentAt - Monotonic milliseconds at which the watch was sent.
	 */
	readonly change: (changes: Changes, sentAt: number) => void;
};

/** What a follower needs. */
export type FollowerServices = {
	readonly store: MetadataStore;
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns Whether this box follows the kind; where it does not, it learns of it from others. */
	readonly isNeeded: () => boolean;
	/** Milliseconds that a watch waits: a connection that has gone silent is noticed soon after. Drawn anew for each watch, so that boxes do not all wait as long. */
	readonly watchWait: {readonly least: number; readonly spread: number};
};

/** Follows one kind. */
export class KindFollower {
	/**
	 * @param kind - Kind of objects.
	 * @param services - What it needs.
	 * @param listener - Takes what is learnt.
	 * @returns The follower; run it to begin.
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

	/** @returns Follows until interrupted. */
	run(): Effect.Effect<never> {
		const following = this.follow().pipe(
			Effect.catchTag('HistoryGone', () => Effect.sync(() => {
				this.services.log.write('historyGone', {kind: this.kind});
			})),
			Effect.catchTag('StoreUnavailable', ({detail}) => {
				this.noteLoss(detail);
				this.failures++;
				const pause = Math.min(longestRetryPause, retryPause * (2 ** (this.failures - 1)));
				return Effect.sleep(pause * (0.75 + (Math.random() / 2)));
			}),
		);
		return Effect.forever(Effect.suspend(() => this.services.isNeeded() ? following : Effect.sleep(idlePause)));
	}

	private follow() {
		return Effect.gen({self: this}, function * () {
			const {store, clock, watchWait: {least, spread}} = this.services;
			const sentAt = clock.monotonic();
			const listing = yield * store.list(this.kind);
			this.noteAnswer();
			this.listener.list(listing, sentAt);
			let {at} = listing;
			while (this.services.isNeeded()) {
				const watchedFrom = clock.monotonic();
				const changes = yield * store.watch(this.kind, at, least + (Math.random() * spread));
				this.noteAnswer();
				at = Math.max(at, changes.at);
				this.listener.change(changes, watchedFrom);
				if (changes.changes.length > 0) {
					yield * Effect.sleep(gatherPause);
				}
			}
		});
	}

	private noteAnswer(): void {
		if (this.isLost) {
			this.services.log.write('storeRegained', {kind: this.kind, silence: Math.round(this.silence)});
		}

		this.listener.onAnswer?.();
		this.isLost = false;
		this.failures = 0;
		this.answeredAt = this.services.clock.monotonic();
	}

	private noteLoss(detail: string): void {
		if (!this.isLost) {
			this.services.log.write('storeLost', {kind: this.kind, detail});
		}

		this.isLost = true;
	}
}
