/**
 * Follows all objects of a kind: a list, then watches, then a list again whenever the thread is lost.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Change, Listing, MetadataStore} from './metadata-store.js';

/** Milliseconds a watch waits: a connection that has gone silent is noticed soon after. */
const watchWait = 3000;
/** Milliseconds between two tries while the store does not answer. */
const retryPause = 250;

/** Takes what is learnt of a kind. */
export type KindListener = {
	/** Called whenever the store has answered. */
	readonly onAnswer?: () => void;
	/**
	 * @param listing - All objects there are.
	 * @param sentAt - Monotonic milliseconds at which the list was asked for.
	 */
	readonly list: (listing: Listing, sentAt: number) => void;
	/** @param change - One object that has changed or gone. */
	readonly change: (change: Change) => void;
};

/** What a follower needs. */
export type FollowerServices = {
	readonly store: MetadataStore;
	readonly clock: Clock;
	readonly log: EventLog;
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
		const turn = this.follow().pipe(
			Effect.catchTag('HistoryGone', () => Effect.sync(() => {
				this.services.log.write('historyGone', {kind: this.kind});
			})),
			Effect.catchTag('StoreUnavailable', ({detail}) => {
				this.noteLoss(detail);
				return Effect.sleep(retryPause * (0.75 + (Math.random() / 2)));
			}),
		);
		return Effect.forever(turn);
	}

	private follow() {
		return Effect.gen({self: this}, function * () {
			const {store, clock} = this.services;
			const sentAt = clock.monotonic();
			const listing = yield * store.list(this.kind);
			this.noteAnswer();
			this.listener.list(listing, sentAt);
			let {at} = listing;
			for (;;) {
				const changes = yield * store.watch(this.kind, at, watchWait);
				this.noteAnswer();
				at = Math.max(at, changes.at);
				for (const change of changes.changes) {
					this.listener.change(change);
				}
			}
		});
	}

	private noteAnswer(): void {
		if (this.isLost) {
			this.services.log.write('storeRegained', {kind: this.kind, silence: Math.round(this.silence)});
		}

		this.isLost = false;
		this.listener.onAnswer?.();
		this.answeredAt = this.services.clock.monotonic();
	}

	private noteLoss(detail: string): void {
		if (!this.isLost) {
			this.services.log.write('storeLost', {kind: this.kind, detail});
		}

		this.isLost = true;
	}
}
