/**
 * Detects through the store whether the holder of the duties is alive, for boxes that receive no gossip from it. A holder
 * writes the usage draft every second.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {MetadataStore, StoreUnavailable} from '../follow/metadata-store.js';
import {draftKind, draftName} from './usage-draft.js';

/** Milliseconds without a change of the draft after which its writer counts as stopped. */
const holderTimeout = 4000;
/** Milliseconds between two reads of the draft. */
const readInterval = 1000;

/** Watches the usage draft for changes. */
export class HolderLiveness {
	/**
	 * @param store - The store that holds the draft.
	 * @param clock - Measures the time without a change.
	 * @returns A watch that has not read the draft yet.
	 */
	static create(store: MetadataStore, clock: Clock): HolderLiveness {
		return new HolderLiveness(store, clock);
	}

	private seen: {readonly revision: number; readonly changedAt: number} | undefined;
	private readAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly store: MetadataStore, private readonly clock: Clock) {}

	/** @returns Whether the holder may be alive; `true` until the draft was watched for 4 s without a change. */
	mayBeAlive(): Effect.Effect<boolean, StoreUnavailable> {
		return Effect.suspend(() => {
			const now = this.clock.monotonic();
			// An observation that was interrupted has to start again.
			this.seen = now - this.readAt > holderTimeout ? undefined : this.seen;
			if (now - this.readAt < readInterval) {
				return Effect.succeed(this.mayStillWrite(now));
			}

			this.readAt = now;
			return this.store.read(draftKind, draftName).pipe(Effect.map(object => {
				const revision = object?.revision ?? 0;
				this.seen = this.seen?.revision === revision ? this.seen : {revision, changedAt: now};
				return this.mayStillWrite(now);
			}));
		});
	}

	private mayStillWrite(now: number): boolean {
		return this.seen === undefined || now - this.seen.changedAt < holderTimeout;
	}
}
