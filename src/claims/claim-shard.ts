/**
 * One store object with claims. All waiting operations are written together in one conditional write (group commit). Safety
 * depends only on the condition of the write, so any box may use any shard.
 */
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Metrics} from '../base/metrics.js';
import type {
	ObjectStore, ObjectVersion, StoreFailure, VersionConflict,
} from '../external/object-store.js';
import {ClaimEntry, ClaimUnavailable, type ClaimFailure} from './claim.js';

/** Milliseconds for which a claim is retained, on the store's clock. */
export const claimRetention = 24 * 3_600_000;
/** Milliseconds after which the object is read again, so that new claims get a recent time of the store. */
const maxCacheAge = 60_000;
/** Milliseconds after which an operation fails. */
const operationDeadline = 3000;
/** Maximum characters of a shard; the store accepts objects up to one megabyte. */
const maxShardSize = 900_000;
/** Milliseconds of failures after which new operations wait for at most one attempt. */
const outageThreshold = 1000;
/** Milliseconds by which a `patient` operation is delayed, so that others can share its write. */
const batchDelay = 400;
/** Milliseconds of the first pause between two attempts; the pauses double from here. */
const minPause = 10;
/** Maximum milliseconds of a pause between two attempts, before jitter. */
const maxPause = 500;
/**
 * Milliseconds after which new operations end a pause early, to check whether the store is available again; all operations
 * that arrive until then share the attempt.
 */
const minOutagePause = 100;

/** Maximum milliseconds that an operation waits for an attempt during an outage. */
const outageTimeout = 3 * minOutagePause;

/** The claims of a shard by request. */
export type ClaimEntries = Readonly<Record<string, ClaimEntry>>;

const Entries = Schema.Record(Schema.String, ClaimEntry);
const decodeEntries = Schema.decodeUnknownResult(Schema.fromJsonString(Entries));

/** Decision of an operation about its entry. */
export type ClaimDecision<T> = {
	/** Entry to write; `undefined` if nothing changes. */
	readonly write: ClaimEntry | undefined;
	/** Result of the operation once the entry is durable. */
	readonly outcome: T;
};

type Operation = {
	readonly name: string;
	readonly decide: (entry: ClaimEntry | undefined, storeTime: number) => ClaimDecision<unknown>;
	readonly done: Deferred.Deferred<unknown, ClaimUnavailable>;
	/** Monotonic milliseconds at which the operation fails. */
	readonly endsAt: number;
	/** Whether the operation arrived during an outage and ends the current pause early. */
	readonly endsPause: boolean;
	/** Whether a write that included this operation may have been applied without an answer. */
	mayBeRecorded: boolean;
};

type Snapshot = {
	readonly version: ObjectVersion;
	readonly entries: ClaimEntries;
	/** Time of the read on the store's clock, in milliseconds. */
	readonly storeTime: number;
	/** Monotonic milliseconds. */
	readonly readAt: number;
};

/** Dependencies of a shard. */
export type ClaimShardServices = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** One shard with the operations of this box. */
export class ClaimShard {
	/**
	 * @param key - Name of the object.
	 * @param services - Dependencies.
	 * @returns The shard; it reads the object on first use.
	 */
	static create(key: string, services: ClaimShardServices): ClaimShard {
		return new ClaimShard(key, services);
	}

	private waiting: Operation[] = [];
	private isCommitting = false;
	/** Monotonic milliseconds since which reads and writes have failed; `undefined` while they succeed. */
	private failingSince: number | undefined;
	private snapshot: Snapshot | undefined;
	/** Whether the entries of the last read could not be decoded. */
	private isUnreadable = false;
	/** Ends the pause of the commit loop; `undefined` during an attempt. */
	private endPause: (() => void) | undefined;
	/** Monotonic milliseconds at which the pause started. */
	private pausedAt = 0;

	private constructor(private readonly key: string, private readonly services: ClaimShardServices) {}

	/**
	 * Runs an operation on one entry, in a batch with the other waiting operations.
	 *
	 * @param name - Name of the entry.
	 * @param decide - Computes the entry to write from the current one; called again if the entry has changed.
	 * @param urgency - `patient`: the operation waits 400 ms for others to share its write.
	 * @returns The outcome, once the state that it depends on is durable.
	 */
	run<T>(
		name: string,
		decide: (entry: ClaimEntry | undefined, storeTime: number) => ClaimDecision<T>,
		urgency: 'urgent' | 'patient' = 'urgent',
	): Effect.Effect<T, ClaimUnavailable> {
		return Effect.suspend(() => {
			const isInOutage = this.isInOutage();
			const operation: Operation = {
				name,
				decide,
				done: Deferred.makeUnsafe<unknown, ClaimUnavailable>(),
				endsAt: this.services.clock.monotonic() + operationDeadline,
				endsPause: isInOutage,
				mayBeRecorded: false,
			};
			this.waiting.push(operation);
			if (isInOutage) {
				this.endPauseSoon();
				this.refuseAfterTimeout(operation);
			} else if (urgency === 'urgent') {
				this.startCommitting();
			} else {
				setTimeout(() => {
					this.startCommitting();
				}, batchDelay);
			}

			// The cast is sound: only decide() of this operation creates its outcome.
			return Deferred.await(operation.done) as Effect.Effect<T, ClaimUnavailable>;
		});
	}

	/** Whether the store has failed for a while; new operations then share one attempt and are refused if it fails. */
	private isInOutage(): boolean {
		return this.isCommitting && this.failingSince !== undefined
			&& this.services.clock.monotonic() - this.failingSince > outageThreshold;
	}

	/**
	 * Ends the current pause early. The store may be available again since the last attempt; without this, operations that
	 * arrive during the pause would be refused as not run although the store answers.
	 */
	private endPauseSoon(): void {
		const {endPause} = this;
		if (!endPause) {
			return;
		}

		setTimeout(() => {
			// Another pause may have started in the meantime.
			if (this.endPause === endPause) {
				endPause?.();
			}
		}, Math.max(0, this.pausedAt + minOutagePause - this.services.clock.monotonic()));
	}

	/**
	 * Operations that arrive during an attempt wait for it, since the store may answer. An attempt without an answer takes too
	 * long, so the wait has its own timeout.
	 */
	private refuseAfterTimeout(operation: Operation): void {
		setTimeout(() => {
			if (this.waiting.includes(operation) && this.failingSince !== undefined) {
				this.waiting = this.waiting.filter(other => other !== operation);
				refuse(operation, 'no-retry');
			}
		}, outageTimeout);
	}

	/**
	 * Starts the commit loop unless it runs. There is one loop per shard and box. It continues if a waiting caller is
	 * interrupted, since other callers may wait for the same write.
	 */
	private startCommitting(): void {
		if (this.isCommitting || this.waiting.length === 0) {
			return;
		}

		this.isCommitting = true;
		Effect.runFork(this.commitAll());
	}

	private commitAll(): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			// Operations that arrive in the same turn of the event loop share one write.
			yield * Effect.yieldNow;
			let pause = minPause;
			while (this.waiting.length > 0) {
				const batch = this.waiting;
				this.waiting = [];
				const wasOut = this.failingSince !== undefined;
				const isDone = yield * this.commit(batch);
				if (isDone) {
					pause = minPause;
					continue;
				}

				// After an outage the pauses start from the shortest again.
				pause = wasOut && this.failingSince === undefined ? minPause : pause;
				this.waiting = [...this.expire(batch), ...this.waiting];
				yield * this.pauseFor(pause * (0.5 + Math.random()));
				pause = Math.min(maxPause, pause * 2);
			}

			this.isCommitting = false;
		});
	}

	private pauseFor(milliseconds: number): Effect.Effect<void> {
		const woken = Effect.callback<void>(resume => {
			this.pausedAt = this.services.clock.monotonic();
			this.endPause = () => {
				this.endPause = undefined;
				resume(Effect.void);
			};

			if (this.waiting.some(({endsPause}) => endsPause)) {
				this.endPauseSoon();
			}
		});
		return Effect.raceFirst(Effect.sleep(milliseconds), woken).pipe(Effect.ensuring(Effect.sync(() => {
			this.endPause = undefined;
		})));
	}

	/** @returns Whether every operation of the batch is done; otherwise the batch must be retried. */
	private commit(batch: readonly Operation[]): Effect.Effect<boolean> {
		return Effect.gen({self: this}, function * () {
			const snapshot = yield * this.read();
			if (!snapshot) {
				return false;
			}

			const decisions = decideAll(batch, snapshot);
			if (decisions.every(({decision}) => decision.write === undefined)) {
				// An entry that another attempt holds may have been released since it was read.
				if (snapshot.readAt < this.services.clock.monotonic() - 1) {
					this.snapshot = undefined;
					return yield * this.commit(batch);
				}

				return yield * finishAll(decisions);
			}

			const entries = mergeEntries(snapshot, decisions);
			const value = JSON.stringify(entries);
			if (value.length > maxShardSize) {
				this.services.log.write('claimShardFull', {shard: this.key, characters: value.length});
				return yield * refuseAll(batch, 'shard-full');
			}

			return yield * this.write(snapshot, entries, value, decisions);
		});
	}

	private write(
		snapshot: Snapshot,
		entries: ClaimEntries,
		value: string,
		decisions: readonly Decided[],
	): Effect.Effect<boolean> {
		const {store, metrics, log} = this.services;
		return store.write(this.key, value, snapshot.version).pipe(
			Effect.flatMap(version => {
				metrics.claimWrites.inc({outcome: 'written'});
				this.failingSince = undefined;
				this.snapshot = {...snapshot, version, entries};
				if (decisions.some(({operation}) => operation.mayBeRecorded)) {
					log.write('claimSettled', {shard: this.key});
				}

				return finishAll(decisions);
			}),
			Effect.catch(error => Effect.sync(() => {
				// The object must be read again: if only the answer was lost, it contains this write.
				this.snapshot = undefined;
				metrics.claimWrites.inc({outcome: error._tag === 'VersionConflict' ? 'conflict' : error.reason});
				this.recordError(error);
				if (error._tag === 'StoreFailure') {
					markMayBeRecorded(error.mayHaveApplied ? decisions : []);
				}

				return false;
			})),
		);
	}

	private read(): Effect.Effect<Snapshot | undefined> {
		const now = this.services.clock.monotonic();
		if (this.snapshot && this.snapshot.readAt > now - maxCacheAge) {
			return Effect.succeed(this.snapshot);
		}

		return this.services.store.read(this.key).pipe(
			Effect.map(object => {
				const entries = object.version === 0 ? Result.succeed({}) : decodeEntries(object.value);
				this.isUnreadable = Result.isFailure(entries);
				if (Result.isFailure(entries)) {
					this.services.log.write('claimShardUnreadable', {shard: this.key, version: object.version});
					this.recordFailure();
					return undefined;
				}

				this.failingSince = undefined;
				this.snapshot = {
					version: object.version,
					entries: entries.success,
					storeTime: object.storeTime,
					readAt: this.services.clock.monotonic(),
				};
				return this.snapshot;
			}),
			Effect.catch(error => Effect.sync(() => {
				this.isUnreadable = false;
				this.recordError(error);
				return undefined;
			})),
		);
	}

	/** A version conflict or a rate limit proves that the store is available: claims are retried until their deadline, as without an outage. */
	private recordError(error: StoreFailure | VersionConflict): void {
		if (error._tag === 'VersionConflict' || error.reason === 'throttled') {
			this.failingSince = undefined;
		} else {
			this.recordFailure();
		}
	}

	private recordFailure(): void {
		this.failingSince ??= this.services.clock.monotonic();
	}

	/** Refuses operations that have waited too long. @returns The remaining ones. */
	private expire(batch: readonly Operation[]): readonly Operation[] {
		const now = this.services.clock.monotonic();
		// Operations that ended a pause are refused with the first attempt in which the store fails. A conflict with another box is not a failure of the store.
		const isFailing = this.failingSince !== undefined;
		const isExpired = ({endsAt, endsPause}: Operation): boolean => endsAt <= now || (endsPause && isFailing);
		for (const operation of batch.filter(one => isExpired(one))) {
			refuse(operation, this.failureOf(operation, now));
		}

		return batch.filter(one => !isExpired(one));
	}

	private failureOf({endsAt}: Operation, now: number): ClaimFailure {
		if (this.isUnreadable) {
			return 'shard-unreadable';
		}

		return endsAt <= now ? 'deadline-passed' : 'retry-failed';
	}
}

type Decided = {readonly operation: Operation; readonly decision: ClaimDecision<unknown>};

function markMayBeRecorded(decisions: readonly Decided[]): void {
	for (const {operation} of decisions) {
		operation.mayBeRecorded = true;
	}
}

/** Each operation sees the entries written by the operations before it in the batch. */
function decideAll(batch: readonly Operation[], snapshot: Snapshot): readonly Decided[] {
	const written = new Map<string, ClaimEntry>();
	return batch.map(operation => {
		const entry = written.get(operation.name) ?? snapshot.entries[operation.name];
		const decision = operation.decide(entry, snapshot.storeTime);
		if (decision.write) {
			written.set(operation.name, decision.write);
		}

		return {operation, decision};
	});
}

/** Combines the entries that have not expired with the newly written ones. */
function mergeEntries(snapshot: Snapshot, decisions: readonly Decided[]): ClaimEntries {
	const oldest = snapshot.storeTime - claimRetention;
	const kept = Object.entries(snapshot.entries).filter(([, entry]) => entry.claimedAt >= oldest);
	const written = decisions.flatMap(({operation, decision}) => decision.write ? [[operation.name, decision.write] as const] : []);
	return Object.fromEntries([...kept, ...written]);
}

function finishAll(decisions: readonly Decided[]): Effect.Effect<boolean> {
	return Effect.sync(() => {
		for (const {operation, decision} of decisions) {
			Deferred.doneUnsafe(operation.done, Effect.succeed(decision.outcome));
		}

		return true;
	});
}

function refuseAll(batch: readonly Operation[], failure: ClaimFailure): Effect.Effect<boolean> {
	return Effect.sync(() => {
		for (const operation of batch) {
			refuse(operation, failure);
		}

		return true;
	});
}

function refuse({done, mayBeRecorded}: Operation, failure: ClaimFailure): void {
	Deferred.doneUnsafe(done, Effect.fail(new ClaimUnavailable({mayBeRecorded, failure})));
}
