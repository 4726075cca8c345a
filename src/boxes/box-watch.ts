/**
 * Follows the platform's box list and its reclaim notices.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {BoxList} from '../external/box-list.js';
import type {StoreFailure} from '../external/object-store.js';
import type {BoxDirectory} from './box-directory.js';

const pollWait = 20_000;
const pauseAfterFailure = 500;

/** Keeps a {@link BoxDirectory} up with the platform. */
export class BoxWatch {
	/**
	 * @param list - The platform's list.
	 * @param directory - What to keep up.
	 * @param clock - For the time left of a notice.
	 * @param log - Where faults are told.
	 * @returns The watch; run its two roles to begin.
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

	/** @returns Follows the list until interrupted. */
	followList(): Effect.Effect<never> {
		const poll = Effect.suspend(() => this.list.boxes(this.directory.version, pollWait)).pipe(Effect.map(listing => {
			this.isFailing = false;
			if (listing) {
				this.noteUnreadable(listing.unreadable);
				this.directory.takeListing(listing);
			}
		}));
		return Effect.forever(this.pauseOnFailure(poll));
	}

	/** @returns Follows the notices until interrupted. */
	followNotices(): Effect.Effect<never> {
		const poll = Effect.suspend(() => this.list.notices(this.position, pollWait)).pipe(Effect.map(({position, notices, unreadable}) => {
			this.position = position;
			this.noteUnreadable(unreadable);
			for (const {box, remaining} of notices) {
				this.directory.markLeaving(box, 'reclaim-notice', this.clock.monotonic() + remaining);
			}
		}));
		return Effect.forever(this.pauseOnFailure(poll));
	}

	private noteUnreadable(faults: readonly string[] = []): void {
		for (const fault of faults) {
			this.log.write('boxUnreadable', {fault});
		}
	}

	private pauseOnFailure(poll: Effect.Effect<void, StoreFailure>): Effect.Effect<void> {
		return poll.pipe(Effect.catch(error => Effect.suspend(() => {
			if (!this.isFailing) {
				this.isFailing = true;
				this.log.write('boxListUnavailable', {detail: error.detail});
			}

			return Effect.sleep(pauseAfterFailure * (0.5 + Math.random()));
		})));
	}
}
