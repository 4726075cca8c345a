/**
 * Knows which software version began the streams that clients may take up again. What two versions write does not fit together, so a stream
 * goes on only at the version that began it.
 *
 * @remarks Source: docs/DESIGN.md, "Streams and software versions".
 */
import {createHash} from 'node:crypto';
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import type {OriginSource, RecordedOrigin} from '../stream-versions/origin-record.js';
import type {VersionHistory} from '../stream-versions/version-history.js';

/** Name of a stream: the client account and the client's attempt that brought its first event. */
export type StreamName = {
	/** Empty if the route needs no key. */
	readonly clientAccount: string;
	readonly attempt: string;
};

/** A stream and the version that began it. */
export type StreamOrigin = StreamName & {
	readonly service: string;
	readonly software: string;
};

/** A question for the version that began a stream. */
export type OriginQuestion = {
	/** `undefined` if the client does not name the stream. */
	readonly name: StreamName | undefined;
	readonly service: string;
};

/** What a box that is asked knows. */
export type OriginAnswer = {
	/** The version that began the stream, by its name; `undefined` if the box does not know the stream. */
	readonly software: string | undefined;
	/** The versions that may have begun streams of the service, as far as the box knows. */
	readonly versions: readonly string[];
	/** Whether the box was told of all of them, as long as it reached the store. */
	readonly isCertain: boolean;
};

/** What the boxes that were asked know. */
export type OriginFindings = {
	/** The answers that have arrived. */
	readonly answers: readonly OriginAnswer[];
	/** Whether all boxes of the fleet have answered. */
	readonly haveAllAnswered: boolean;
	/** Whether all other boxes were asked and none has answered, so that this box is probably cut off. */
	readonly isIsolated: boolean;
};

/** Where a stream may go on. */
export type StreamContinuation =
	/** At replicas of this version; `source` is what it is known by. */
	| {readonly kind: 'version'; readonly software: string; readonly source: 'box' | 'peer' | 'store' | 'only-version'}
	/** Nowhere: several versions may have served, and it is not known which of them began the stream. */
	| {readonly kind: 'unknown'};

/** Dependencies of the origins. */
export type StreamOriginsServices = {
	readonly clock: Clock;
	readonly versions: Pick<VersionHistory, 'areSeveral' | 'of' | 'only' | 'onlyRecorded' | 'isCertain' | 'confirm'>;
	/** @returns Whether this box has not known the state of the store for some time, so that only the name of a stream tells its version. */
	readonly isStoreSilent: () => boolean;
	/** Sends origins to the boxes that are asked for them. */
	readonly tell: (origins: readonly StreamOrigin[]) => void;
	/**
	 * Asks other boxes.
	 *
	 * @returns Their answers, up to the first one of a box that knows the stream.
	 */
	readonly lookUp: (question: OriginQuestion) => Effect.Effect<OriginFindings>;
	/**
	 * Reads the streams that boxes have written to the store, which calls {@link StreamOrigins.restore}.
	 *
	 * @returns An effect that completes once the store has answered, or has failed to; `undefined` without a record that can be read again.
	 */
	readonly readRecord: (() => Effect.Effect<void>) | undefined;
	/** Called with the number of streams that are remembered. */
	readonly onSize: (size: number) => void;
};

/** Milliseconds for which the boxes are asked before the record in the store is read, which holds many streams. */
const recordDelay = 20;
/** Milliseconds after that in which the record is read; boxes write it several times in this time and the time before. */
const maxRecordTime = 50;
/** Milliseconds between two reads of the record. */
const recordInterval = 20;
/** Milliseconds after which a box that no other box answers no longer waits for the store: it is probably cut off from both. */
const maxIsolatedTime = 70;

/** Milliseconds for which the origin of a stream is remembered; longer than a stream and its continuations take. */
const retention = 60_000;
/** Maximum number of streams that are remembered. */
const maxStreams = 20_000;
/** Maximum number of streams from the store that are remembered: all that it keeps at the planned size. */
const maxRestored = 80_000;
/** Longest id of an attempt that is remembered, in characters. */
const maxIdLength = 128;
/** Number of times that an origin is sent to other boxes while they may need it, the first included: a message may be lost. */
const repetitions = 2;
/** Milliseconds after its first event in which a stream that no other box knows is told when a second version appears. */
const tellWithin = 20_000;

/** Datagrams with which an origin is told at once: the box may be killed right after it, and one in three may be lost. */
const minDatagrams = 6;

/**
 * @param boxes - Number of boxes that are told.
 * @returns Number of datagrams that are sent to each.
 */
export const copiesFor = (boxes: number): number => boxes === 0 ? 0 : Math.ceil(minDatagrams / boxes);

/** Minimum number of datagrams with which a box that writes origins to the store is told. */
export const minCopiesForWriters = 3;

/** Characters of a digest, of six bits each: few enough to store, and enough that two streams never have the same. */
const digestLength = 16;

type KnownStream = StreamOrigin & {readonly at: number; repetitionsLeft: number};

/** The origins that one box knows. */
export class StreamOrigins implements OriginSource {
	/**
	 * @param services - Their dependencies.
	 * @returns No origins.
	 */
	static create(services: StreamOriginsServices): StreamOrigins {
		return new StreamOrigins(services);
	}

	private readonly streams = new Map<string, KnownStream>();
	/** Streams of this box that may have to be told to others. */
	private untold: KnownStream[] = [];
	/** Streams that may have to be written to the store. */
	private unrecorded: KnownStream[] = [];
	/** Streams that are being written to the store. */
	private taken: readonly KnownStream[] = [];
	/** Versions of the streams that were read from the store, by digest. */
	private readonly restored = new Map<string, string>();
	/** Monotonic milliseconds at which these were read. */
	private restoredAt = 0;

	private constructor(private readonly services: StreamOriginsServices) {}

	/**
	 * Records a stream that a replica began for a request of this box. To be called before its first event is sent to the client, who may take
	 * the stream up at another box as soon as it has that event.
	 *
	 * @param origin - The stream and the version.
	 */
	record(origin: StreamOrigin): void {
		const stream = this.remember(origin, repetitions);
		if (!stream) {
			return;
		}

		this.untold.push(stream);
		if (this.services.isStoreSilent() || this.services.versions.areSeveral(origin.service)) {
			this.tell([stream]);
		}
	}

	/**
	 * Applies what another box told; what is known of a stream does not change.
	 *
	 * @param origins - Streams and versions.
	 */
	apply(origins: readonly StreamOrigin[]): void {
		for (const origin of origins) {
			this.remember(origin, 0);
		}
	}

	/**
	 * Sends origins that other boxes may not have. To be called several times a second.
	 */
	repeat(): void {
		const since = this.services.clock.monotonic() - tellWithin;
		this.untold = this.untold.filter(({at, repetitionsLeft}) => at >= since && repetitionsLeft > 0);
		this.unrecorded = this.unrecorded.filter(({at}) => at >= since);
		const due = this.services.isStoreSilent() ? this.untold : this.ofSeveralVersions(this.untold);
		if (due.length > 0) {
			this.tell(due);
		}
	}

	/**
	 * @param name - Name of a stream.
	 * @returns The version that began it; `undefined` if this box does not know.
	 */
	softwareOf(name: StreamName): string | undefined {
		const known = this.streams.get(keyOf(name));
		const now = this.services.clock.monotonic();
		return known && now - known.at < retention ? known.software : this.restoredSoftwareOf(name, now);
	}

	/**
	 * @param name - Name of a stream.
	 * @returns Monotonic milliseconds at which this box learnt the version that began it; `undefined` if it does not know.
	 */
	knownAt(name: StreamName): number | undefined {
		return this.softwareOf(name) === undefined ? undefined : this.streams.get(keyOf(name))?.at ?? this.restoredAt;
	}

	/**
	 * @param question - A question of another box.
	 * @returns What this box knows.
	 */
	answerTo({name, service}: OriginQuestion): OriginAnswer {
		const {versions} = this.services;
		return {software: name && this.softwareOf(name), versions: [...versions.of(service)], isCertain: versions.isCertain};
	}

	takeUnrecorded(limit: number): readonly RecordedOrigin[] {
		this.taken = this.ofSeveralVersions(this.unrecorded).slice(0, Math.max(0, limit));
		const taken = new Set(this.taken);
		this.unrecorded = taken.size === 0 ? this.unrecorded : this.unrecorded.filter(stream => !taken.has(stream));
		return this.taken.map(stream => ({digest: digestOf(stream), software: stream.software}));
	}

	returnUnrecorded(): void {
		this.unrecorded = [...this.taken, ...this.unrecorded];
		this.taken = [];
	}

	restore(origins: readonly RecordedOrigin[]): void {
		this.restoredAt = this.services.clock.monotonic();
		for (const {digest, software} of origins) {
			this.restored.delete(digest);
			this.restored.set(digest, software);
		}

		evictOldest(this.restored, maxRestored);
	}

	/**
	 * @param name - Name of a stream that a client takes up; `undefined` if the client does not name it.
	 * @param service - Name of the service.
	 * @param timeToGoal - Milliseconds within which the stream has to go on to be in time.
	 * @returns An effect that yields where the stream may go on.
	 */
	resolve(name: StreamName | undefined, service: string, timeToGoal = 0): Effect.Effect<StreamContinuation> {
		return Effect.gen({self: this}, function * () {
			const known = name && this.softwareOf(name);
			if (known !== undefined) {
				return {kind: 'version', software: known, source: this.streams.has(keyOf(name!)) ? 'box' : 'store'};
			}

			const continuation = yield * this.search(name, service, timeToGoal);
			// Once there is a further version, only the name tells the version of this stream.
			if (name && continuation.kind === 'version' && continuation.source === 'only-version') {
				this.record({...name, service, software: continuation.software});
			}

			return continuation;
		});
	}

	/**
	 * Asks the store and the other boxes at the same time, since the client waits: the history that this box knows may be outdated.
	 *
	 * @returns An effect that yields where a stream may go on that this box does not know by name.
	 */
	private search(name: StreamName | undefined, service: string, timeToGoal: number): Effect.Effect<StreamContinuation> {
		return Effect.gen({self: this}, function * () {
			const {clock, versions, lookUp, readRecord} = this.services;
			const startedAt = clock.monotonic();
			const found = yield * Deferred.make<OriginFindings>();
			let findings: OriginFindings = {answers: [], haveAllAnswered: false, isIsolated: false};
			let isConfirmed = false;
			const byStore = versions.confirm(service, timeToGoal).pipe(Effect.flatMap(isAnswered => {
				isConfirmed = isAnswered;
				return this.confirmedContinuation(service, isAnswered);
			}));
			const byBoxes = lookUp({name, service}).pipe(
				Effect.tap(answers => {
					findings = answers;
					return Deferred.succeed(found, answers);
				}),
				Effect.flatMap(answers => this.continuationOf(name, service, answers)),
			);
			const isolated = Deferred.await(found).pipe(Effect.flatMap(({isIsolated}) => isIsolated
				? Effect.sleep(Math.max(0, startedAt + maxIsolatedTime - clock.monotonic())).pipe(Effect.andThen(inconclusive))
				: Effect.never));
			const byRecord = name && readRecord ? this.recordedContinuation(name, readRecord, () => findings.haveAllAnswered) : inconclusive;
			const agreed = Effect.sync(() => this.agreedContinuation(service, findings, isConfirmed));
			return yield * Effect.raceAll([Effect.raceFirst(byStore, isolated), byBoxes, byRecord]).pipe(Effect.catch(() => agreed));
		});
	}

	/** @returns An effect that yields the only version that this box knows; fails if the store does not confirm that. */
	private confirmedContinuation(service: string, isConfirmed: boolean): Effect.Effect<StreamContinuation, 'inconclusive'> {
		const {versions} = this.services;
		const software = isConfirmed && versions.isCertain ? versions.only(service) : undefined;
		return software === undefined ? inconclusive : Effect.succeed({kind: 'version', software, source: 'only-version'});
	}

	/**
	 * A box that does not reach those that know the stream finds it in the store once a further version is known there.
	 *
	 * @returns An effect that yields the version that the record has for the stream; fails if it has none after some time, or if the boxes have told enough.
	 */
	private recordedContinuation(name: StreamName, readRecord: () => Effect.Effect<void>, haveAllAnswered: () => boolean): Effect.Effect<StreamContinuation, 'inconclusive'> {
		const read: Effect.Effect<StreamContinuation, 'inconclusive'> = Effect.suspend(() => haveAllAnswered() ? inconclusive : readRecord()).pipe(Effect.flatMap(() => {
			const software = this.softwareOf(name);
			return software === undefined
				? Effect.sleep(recordInterval).pipe(Effect.andThen(read))
				: Effect.succeed({kind: 'version' as const, software, source: 'store' as const});
		}));
		const timeout = Effect.sleep(maxRecordTime).pipe(Effect.andThen(inconclusive));
		return Effect.sleep(recordDelay).pipe(Effect.andThen(Effect.raceFirst(read, timeout)));
	}

	/** @returns An effect that yields the version that a box knows by the name of the stream; fails if none does. */
	private continuationOf(name: StreamName | undefined, service: string, {answers}: OriginFindings): Effect.Effect<StreamContinuation, 'inconclusive'> {
		const software = answers.find(answer => answer.software !== undefined)?.software;
		if (software === undefined) {
			return inconclusive;
		}

		if (name) {
			this.remember({...name, service, software}, 0);
		}

		return Effect.succeed({kind: 'version', software, source: 'peer'});
	}

	/**
	 * Decides after all boxes have answered or the time for answers is over, if none knows the stream by name. A listed version that the store does not have has
	 * begun no stream. Without the store, boxes that this one does not reach may begin streams at a further version, so all must agree.
	 */
	private agreedContinuation(service: string, {answers, haveAllAnswered}: OriginFindings, isConfirmed: boolean): StreamContinuation {
		const {versions} = this.services;
		const recorded = isConfirmed ? versions.onlyRecorded(service) : undefined;
		if (recorded !== undefined) {
			return {kind: 'version', software: recorded, source: 'only-version'};
		}

		const known = new Set([...versions.of(service), ...answers.flatMap(answer => answer.versions)]);
		const isCertain = versions.isCertain || answers.some(answer => answer.isCertain);
		const [software] = known;
		return software !== undefined && known.size === 1 && isCertain && haveAllAnswered
			? {kind: 'version', software, source: 'only-version'}
			: {kind: 'unknown'};
	}

	/** @returns The streams of services of which several versions may have begun streams. */
	private ofSeveralVersions(streams: readonly KnownStream[]): readonly KnownStream[] {
		const services = new Set(streams.map(({service}) => service));
		const several = new Set([...services].filter(service => this.services.versions.areSeveral(service)));
		return streams.filter(({service}) => several.has(service));
	}

	private restoredSoftwareOf(name: StreamName, now: number): string | undefined {
		if (this.restored.size === 0) {
			return undefined;
		}

		if (now - this.restoredAt > retention) {
			this.restored.clear();
		}

		return this.restored.get(digestOf(name));
	}

	private tell(streams: readonly KnownStream[]): void {
		this.services.tell(streams.map(({clientAccount, attempt, service, software}) => ({
			clientAccount, attempt, service, software,
		})));
		for (const stream of streams) {
			stream.repetitionsLeft--;
		}
	}

	/** @returns The entry; `undefined` if the stream was known or has no valid name. */
	private remember(origin: StreamOrigin, repetitionsLeft: number): KnownStream | undefined {
		const key = keyOf(origin);
		if (origin.attempt === '' || origin.attempt.length > maxIdLength || this.softwareOf(origin) !== undefined) {
			return undefined;
		}

		const stream = {...origin, at: this.services.clock.monotonic(), repetitionsLeft};
		this.streams.delete(key);
		this.streams.set(key, stream);
		this.unrecorded.push(stream);
		evictOldest(this.streams, maxStreams);
		this.services.onSize(this.streams.size);
		return stream;
	}
}

const inconclusive = Effect.fail('inconclusive' as const);

const keyOf = ({clientAccount, attempt}: StreamName): string => `${clientAccount}\n${attempt}`;

/**
 * @param name - Name of a stream.
 * @returns The digest under which it is stored.
 */
export const digestOf = (name: StreamName): string => createHash('sha256').update(keyOf(name)).digest('base64url').slice(0, digestLength);
