/**
 * Watches the platform's box list and reclaim notices.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {BoxList} from '../external/box-list.js';
import type {StoreFailure} from '../external/object-store.js';
import type {BoxDirectory} from './box-directory.js';

/** Milliseconds that one long poll waits for a change. */
const pollWaitMs = 20_000;
/** Mean delay in milliseconds before a failed poll is retried. */
const meanRetryDelayMs = 500;

/** Keeps a {@link BoxDirectory} up to date with the platform. */
export class BoxWatch {
	/**
	 * @param list - The platform's box list.
	 * @param directory - The directory to update.
	 * @param clock - Clock that converts the remaining time of a notice to a point in time.
	 * @param log - Log for faults.
	 * @returns The watch, which does not begin before `followList` and `followNotices` are run.
	 */
	static create(list: BoxList, directory: BoxDirectory, clock: Clock, log: EventLog): BoxWatch {
		return new BoxWatch(list, directory, clock, log);
	}

	private position = 0;
	private isFailing = false;

	private constructor(
		private readonly list: BoxList,
		private readonly directory: BoxDirectory,
		private readonly clock: Clock,
		private readonly log: EventLog,
	) {}

	/** @returns Watches the box list until interrupted. */
	followList(): Effect.Effect<never> {
		const poll = Effect.suspend(() => this.list.boxes(this.directory.version, pollWaitMs)).pipe(Effect.map(listing => {
			this.isFailing = false;
			if (listing) {
				this.logUnreadable(listing.unreadable);
				this.directory.applyListing(listing);
			}
		}));
		return Effect.forever(this.delayAfterFailure(poll));
	}

	/** @returns Watches the reclaim notices until interrupted. */
	followNotices(): Effect.Effect<never> {
		const poll = Effect.suspend(() => this.list.notices(this.position, pollWaitMs)).pipe(Effect.map(({position, notices, unreadable}) => {
			this.position = position;
			this.logUnreadable(unreadable);
			for (const {box, remaining} of notices) {
				this.directory.markLeaving(box, 'reclaim-notice', this.clock.monotonic() + remaining);
			}
		}));
		return Effect.forever(this.delayAfterFailure(poll));
	}

	private logUnreadable(faults: readonly string[] = []): void {
		for (const fault of faults) {
			this.log.write('boxUnreadable', {fault});
		}
	}

	private delayAfterFailure(poll: Effect.Effect<void, StoreFailure>): Effect.Effect<void> {
		return poll.pipe(Effect.catch(error => Effect.suspend(() => {
			if (!this.isFailing) {
				this.isFailing = true;
				this.log.write('boxListUnavailable', {detail: error.detail});
			}

			return Effect.sleep(meanRetryDelayMs * (0.5 + Math.random()));
		})));
	}
}
