/**
 * Saves in the store which software version began each stream while several versions serve, so that streams go on at their version after the loss
 * of all boxes.
 *
 * @remarks
 * Two boxes write for all. Each object holds the streams of some seconds; a write that may not have been applied is repeated in another object. Source:
 * docs/design/streams-after-restart.md.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {createDecoder} from '../base/faults.js';
import type {MetadataStore, RevisionConflict, StoreUnavailable} from '../follow/metadata-store.js';
import {historyRetention} from './version-history.js';

/** Kind of the objects. */
export const originKind = 'waydrift-stream-origins';
/** Number of boxes that each write all streams: one that is killed has not written those of the last moment. */
export const originWriters = 2;
/** Milliseconds between two writes; a stream whose first event is younger than this may be unknown after the loss of all boxes. */
const writeInterval = 100;
/** Maximum number of streams in an object: it is written again with each addition. */
const maxRows = 400;
/** Milliseconds after which streams are added to a new object. */
const segmentDuration = 10_000;
/** Milliseconds after which an object is removed. */
const lifetime = historyRetention + segmentDuration;
/** Milliseconds after the start for which a box does not serve while it has not read the objects: the store may be unavailable. */
const maxRestoreTime = 1000;
/** Minimum milliseconds between the beginnings of two further reads, and the same as a multiple of the duration of the last one, since the record may be large. */
const minRefreshInterval = 30;
const refreshIntervalRatio = 2;

const Segment = Schema.Struct({
	/** Milliseconds since the Unix epoch at which it was begun. */
	at: Schema.Finite,
	versions: Schema.Array(Schema.String),
	/** Digest of the name of each stream, and the index of its version. */
	streams: Schema.Array(Schema.Tuple([Schema.String, Schema.Int])),
});
const decodeSegment = createDecoder(Segment, 'ignore');

/** A stream by a digest of its name, and the version that began it. */
export type RecordedOrigin = {readonly digest: string; readonly software: string};

/** The streams that one box knows. */
export type OriginSource = {
	/** @returns Streams that no box has written as far as this one knows. They count as written from now on. */
	readonly takeUnrecorded: (limit: number) => readonly RecordedOrigin[];
	/** Takes back that the streams that were taken last were written. */
	readonly returnUnrecorded: () => void;
	/** Adds streams that were read from the store. */
	readonly restore: (origins: readonly RecordedOrigin[]) => void;
};

/** Dependencies of the record. */
export type OriginRecordServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly store: MetadataStore;
	/** Identifies this start of the process. */
	readonly incarnation: string;
	/** @returns Common time in milliseconds since the Unix epoch. */
	readonly commonTime: () => number;
	/** @returns Whether this box is one of those that write the streams. */
	readonly isWriter: () => boolean;
	readonly origins: OriginSource;
	/** Called with the number of streams that were written. */
	readonly onRecorded: (streams: number) => void;
};

/** The object that streams are added to. */
type OpenSegment = {readonly name: string; readonly at: number; readonly revision: number | undefined; readonly origins: readonly RecordedOrigin[]};

/** An object as it was read. */
type ReadSegment = {readonly name: string; readonly revision: number; readonly decoded: ReturnType<typeof decodeSegment>};

/** An object in the store, of this or another process. */
type KnownSegment = {readonly revision: number; readonly at: number};

/** The record, as one box reads and writes it. */
export class OriginRecord {
	/**
	 * @param services - Its dependencies.
	 * @returns A record that has not been read; run {@link run}.
	 */
	static create(services: OriginRecordServices): OriginRecord {
		return new OriginRecord(services);
	}

	private readonly startedAt: number;
	private isRead = false;
	private wasWriter = false;
	private segments = 0;
	private open: OpenSegment | undefined;
	private readonly known = new Map<string, KnownSegment>();
	/** Monotonic milliseconds before which {@link refresh} begins no further read. */
	private refreshAfter = Number.NEGATIVE_INFINITY;
	private isRefreshing = false;
	private lastRefresh: Promise<void> | undefined;

	private constructor(private readonly services: OriginRecordServices) {
		this.startedAt = services.clock.monotonic();
	}

	/** Whether the streams are restored, or the store does not answer. */
	get isRestored(): boolean {
		return this.isRead || this.services.clock.monotonic() - this.startedAt > maxRestoreTime;
	}

	/** @returns An effect that reads the streams, and then writes those that boxes begin, until it is interrupted. */
	run(): Effect.Effect<never> {
		return Effect.forever(this.check().pipe(Effect.andThen(Effect.sleep(writeInterval))));
	}

	/** @returns An effect that reads the streams, or writes those that boxes have begun. */
	check(): Effect.Effect<void> {
		return Effect.suspend(() => this.isRead ? this.save() : this.read()).pipe(
			Effect.catchTag('RevisionConflict', () => Effect.void),
			Effect.catchTag('StoreUnavailable', () => Effect.void),
		);
	}

	/**
	 * Reads the streams again: other boxes may have written some that they could not send to this box. Calls at about the same time share one read.
	 *
	 * @returns An effect that completes once the store has answered, or has failed to.
	 */
	refresh(): Effect.Effect<void> {
		return Effect.promise(async () => {
			const {clock} = this.services;
			const startedAt = clock.monotonic();
			if (!this.isRefreshing && startedAt >= this.refreshAfter) {
				this.isRefreshing = true;
				this.lastRefresh = Effect.runPromise(this.restore().pipe(Effect.ignore, Effect.ensuring(Effect.sync(() => {
					this.isRefreshing = false;
					this.refreshAfter = startedAt + Math.max(minRefreshInterval, (clock.monotonic() - startedAt) * refreshIntervalRatio);
				}))));
			}

			await this.lastRefresh;
		});
	}

	private read(): Effect.Effect<void, StoreUnavailable> {
		return this.restore().pipe(Effect.map(({segments, streams}) => {
			for (const {name, revision, decoded} of segments) {
				this.known.set(name, {revision, at: Result.isSuccess(decoded) ? decoded.success.at : Number.NEGATIVE_INFINITY});
			}

			this.isRead = true;
			if (segments.length > 0) {
				this.services.log.write('streamOriginsRestored', {streams, objects: segments.length});
			}
		}));
	}

	/** Adds the streams of the store to those that the box knows. */
	private restore(): Effect.Effect<{readonly segments: readonly ReadSegment[]; readonly streams: number}, StoreUnavailable> {
		const {store, origins} = this.services;
		return store.list(originKind).pipe(Effect.map(({objects}) => {
			const segments = objects.map(({name, revision, spec}) => ({name, revision, decoded: decodeSegment(spec)}));
			const restored = segments.flatMap(({decoded}) => Result.isSuccess(decoded) && !this.isPast(decoded.success.at)
				? decoded.success.streams.flatMap(([digest, index]) => {
					const software = decoded.success.versions[index];
					return software === undefined ? [] : [{digest, software}];
				})
				: []);
			origins.restore(restored);
			return {segments, streams: restored.length};
		}));
	}

	private save(): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		return Effect.suspend(() => {
			if (!this.services.isWriter()) {
				this.wasWriter = false;
				this.open = undefined;
				return Effect.void;
			}

			// Earlier writers may have left objects that this box has not seen.
			if (!this.wasWriter) {
				this.wasWriter = true;
				return this.read().pipe(Effect.andThen(this.write()));
			}

			return this.write().pipe(Effect.andThen(this.removeExpired()));
		});
	}

	private write(): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		return Effect.suspend(() => {
			const {origins, store, onRecorded} = this.services;
			const segment = this.usableSegment ?? this.nextSegment();
			const added = origins.takeUnrecorded(maxRows - segment.origins.length);
			if (added.length === 0) {
				return Effect.void;
			}

			const all = [...segment.origins, ...added];
			const spec = encodeSegment(segment.at, all);
			const {name, revision} = segment;
			const written = revision === undefined ? store.create(originKind, name, spec) : store.replace(originKind, name, spec, revision);
			return written.pipe(
				Effect.map(object => {
					this.open = {...segment, revision: object.revision, origins: all};
					this.known.set(name, {revision: object.revision, at: segment.at});
					onRecorded(added.length);
				}),
				Effect.tapError(() => Effect.sync(() => {
					// Whether the write was or will be applied is unknown, so another object gets these streams.
					this.open = undefined;
					origins.returnUnrecorded();
				})),
			);
		});
	}

	private get usableSegment(): OpenSegment | undefined {
		const {open, services: {commonTime}} = this;
		return open && open.origins.length < maxRows && Math.abs(commonTime() - open.at) < segmentDuration ? open : undefined;
	}

	private nextSegment(): OpenSegment {
		this.segments++;
		return {
			name: `${this.services.incarnation}-${this.segments}`, at: Math.round(this.services.commonTime()), revision: undefined, origins: [],
		};
	}

	private isPast(at: number): boolean {
		return this.services.commonTime() - at > lifetime;
	}

	private removeExpired(): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		return Effect.suspend(() => {
			const expired = [...this.known].find(([name, {at}]) => this.isPast(at) && name !== this.open?.name);
			if (!expired) {
				return Effect.void;
			}

			const [name, {revision}] = expired;
			this.known.delete(name);
			return this.services.store.remove(originKind, name, revision);
		});
	}
}

function encodeSegment(at: number, origins: readonly RecordedOrigin[]): typeof Segment.Type {
	const versions = [...new Set(origins.map(({software}) => software))];
	return {at, versions, streams: origins.map(({digest, software}) => [digest, versions.indexOf(software)] as const)};
}
