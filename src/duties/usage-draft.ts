/**
 * Saves the counts of unreported windows in the store (the draft), so that they survive the simultaneous loss of all
 * boxes.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Clock} from '../base/clock.js';
import {createDecoder} from '../base/faults.js';
import type {MetadataStore, RevisionConflict, StoreUnavailable} from '../follow/metadata-store.js';
import type {StartUsage, UsageCounts} from './usage-counts.js';

/** Kind and name of the object. */
export const draftKind = 'waydrift-duties';
export const draftName = 'usage';
/** Milliseconds between two writes of the draft. */
const writeInterval = 1000;
/** Number of past windows in a draft; older ones have been reported. */
const windowsDrafted = 3;

const Draft = Schema.Struct({
	starts: Schema.Array(Schema.Struct({
		start: Schema.String,
		usage: Schema.Array(Schema.Struct({
			window: Schema.Number,
			counts: Schema.Array(Schema.Tuple([Schema.String, Schema.Number])),
		})),
	})),
});
const decodeDraft = createDecoder(Draft, 'ignore');

/** Dependencies of the draft. */
export type UsageDraftServices = {
	/** Identifies this process: name of the box and incarnation. */
	readonly start: string;
	readonly store: MetadataStore;
	readonly counts: UsageCounts;
	readonly clock: Clock;
	/** Called after a draft was written to the store. */
	readonly onAnswer?: () => void;
};

/** The draft, written by the box that holds the duties. */
export class UsageDraft {
	/**
	 * @param services - Dependencies.
	 * @returns A draft that has not been read.
	 */
	static create(services: UsageDraftServices): UsageDraft {
		return new UsageDraft(services);
	}

	private revision: number | undefined;
	private isRead = false;
	private writtenAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly services: UsageDraftServices) {}

	/** @returns Merges the stored draft on the first call, then writes the draft at most once per second. */
	step(): Effect.Effect<void, StoreUnavailable> {
		const reading = Effect.suspend(() => this.isRead ? Effect.void : this.read());
		const writing = Effect.suspend(() => this.services.clock.monotonic() - this.writtenAt < writeInterval
			? Effect.void
			: this.write().pipe(Effect.catchTag('RevisionConflict', () => this.read())));
		return reading.pipe(Effect.andThen(writing));
	}

	private read(): Effect.Effect<void, StoreUnavailable> {
		const {store, counts, start: own} = this.services;
		return store.read(draftKind, draftName).pipe(Effect.map(object => {
			this.revision = object?.revision;
			this.isRead = true;
			const decoded = object && decodeDraft(object.spec);
			const starts = decoded && Result.isSuccess(decoded) ? decoded.success.starts : [];
			for (const {start, usage} of starts.filter(entry => entry.start !== own)) {
				counts.merge(start, usage);
			}
		}));
	}

	private write(): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		const {store, counts, clock, start} = this.services;
		const oldest = counts.currentWindow - windowsDrafted;
		const starts = [...counts.othersUsage, {start, usage: counts.ownUsage}].flatMap(entry => recentOf(entry, oldest));
		this.writtenAt = clock.monotonic();
		const written = this.revision === undefined
			? store.create(draftKind, draftName, {starts})
			: store.replace(draftKind, draftName, {starts}, this.revision);
		return written.pipe(
			Effect.map(({revision}) => {
				this.revision = revision;
				this.services.onAnswer?.();
			}),
			Effect.tapError(() => Effect.sync(() => {
				this.isRead = false;
			})),
		);
	}
}

function recentOf({start, usage}: StartUsage, oldest: number): readonly StartUsage[] {
	const recent = usage.filter(({window}) => window >= oldest);
	return recent.length === 0 ? [] : [{start, usage: recent}];
}
