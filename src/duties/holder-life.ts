/**
 * Signs of life of the box that holds the duties, for those that cannot hear it: it writes the usage draft every second.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {MetadataStore, StoreUnavailable} from '../follow/metadata-store.js';
import {draftKind, draftName} from './usage-draft.js';

/** Milliseconds without a change of the draft after which its writer counts as gone. */
const silenceOfDead = 4000;
/** Milliseconds between two looks. */
const lookInterval = 1000;

/** Watches for signs of life. */
export class HolderLife {
	/**
	 * @param store - Where the draft stands.
	 * @param clock - For ages.
	 * @returns A watch that has seen nothing.
	 */
	static create(store: MetadataStore, clock: Clock): HolderLife {
		return new HolderLife(store, clock);
	}

	private seen: {readonly revision: number; readonly changedAt: number} | undefined;
	private lookedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly store: MetadataStore, private readonly clock: Clock) {}

	/** @returns Whether the holder may be at work; it may, until it has been watched for long enough. */
	mayLive(): Effect.Effect<boolean, StoreUnavailable> {
		return Effect.suspend(() => {
			const now = this.clock.monotonic();
			// What was seen long ago says nothing of now.
			this.seen = now - this.lookedAt > silenceOfDead ? undefined : this.seen;
			if (now - this.lookedAt < lookInterval) {
				return Effect.succeed(this.isYoung(now));
			}

			this.lookedAt = now;
			return this.store.read(draftKind, draftName).pipe(Effect.map(object => {
				const revision = object?.revision ?? 0;
				this.seen = this.seen?.revision === revision ? this.seen : {revision, changedAt: now};
				return this.isYoung(now);
			}));
		});
	}

	private isYoung(now: number): boolean {
		return this.seen === undefined || now - this.seen.changedAt < silenceOfDead;
	}
}
