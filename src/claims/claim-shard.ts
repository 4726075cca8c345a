/**
 * One object of claims. Whatever waits goes in with one conditional write (group commit); that the write is
 * conditional is all that safety rests on, so any box may claim through any shard.
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

/** Milliseconds a claim is remembered, on the store's clock. */
export const claimRetention = 24 * 3_600_000;
/** Milliseconds after which what was read is read again, so that claims get a fresh time. */
const longestCache = 60_000;
/** Milliseconds an operation may take before it is given up. */
const operationDeadline = 3000;
/** Characters a shard may hold; the store takes a megabyte. */
const largestShard = 900_000;
/** Milliseconds of failures after which new operations wait for one try at most. */
const outageDelay = 1000;
/** Milliseconds that an operation nobody waits for stays open for others to share its write. */
const patience = 400;
const firstPause = 10;
const longestPause = 500;
/** Milliseconds into a pause at which new operations end it, to find out whether the store is back; they share that try. */
const shortestPause = 100;

/** Milliseconds that an operation waits at most for a try while the store fails. */
const outagePatience = 3 * shortestPause;

/** The claims of a shard by request. */
export type ClaimEntries = Readonly<Record<string, ClaimEntry>>;

const Entries = Schema.Record(Schema.String, ClaimEntry);
const decodeEntries = Schema.decodeUnknownResult(Schema.fromJsonString(Entries));

/** What an operation wants of the entries it is shown. */
export type ClaimDecision<T> = {
	/** Entry to write; `undefined` where nothing changes. */
	readonly write: ClaimEntry | undefined;
	/** What the operation returns once that holds. */
	readonly outcome: T;
};

type Operation = {
	readonly name: string;
	readonly decide: (entry: ClaimEntry | undefined, storeTime: number) => ClaimDecision<unknown>;
	readonly done: Deferred.Deferred<unknown, ClaimUnavailable>;
	readonly endsAt: number;
	/** Whether it came while the store failed, and ended a pause. */
	readonly endsPause: boolean;
	/** Whether a write that carried this operation was sent without a clear answer. */
	mayBeRecorded: boolean;
};

type Snapshot = {
	readonly version: ObjectVersion;
	readonly entries: ClaimEntries;
	readonly storeTime: number;
	readonly readAt: number;
};

/** What a shard needs. */
export type ClaimShardServices = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** One shard, as this box sees it. */
export class ClaimShard {
	/**
	 * @param key - Name of the object.
	 * @param services - What it works with.
	 * @returns The shard; it reads the object when first used.
	 */
	static create(key: string, services: ClaimShardServices): ClaimShard {
		return new ClaimShard(key, services);
	}

	private waiting: Operation[] = [];
	private isCommitting = false;
	/** Monotonic milliseconds since which no write or read went through; `undefined` while they do. */
	private failingSince: number | undefined;
	private snapshot: Snapshot | undefined;
	/** Whether the last read brought entries that do not decode. */
	private isUnreadable = false;
	/** Ends the committer's pause; `undefined` while it tries. */
	private endPause: (() => void) | undefined;
	private pausedAt = 0;

	private constructor(private readonly key: string, private readonly services: ClaimShardServices) {}

	/**
	 * Runs an operation on one entry, together with all that wait.
	 *
	 * @param name - Which entry.
	 * @param decide - What to write, given what stands there; called again when that has changed.
	 * @param urgency - `patient`: waits a little for others to share a write with.
	 * @returns The outcome, once what it rests on is durable.
	 */
	run<T>(
		name: string,
		decide: (entry: ClaimEntry | undefined, storeTime: number) => ClaimDecision<T>,
		urgency: 'urgent' | 'patient' = 'urgent',
	): Effect.Effect<T, ClaimUnavailable> {
		return Effect.suspend(() => {
			const isOut = this.isOut();
			const operation: Operation = {
				name,
				decide,
				done: Deferred.makeUnsafe<unknown, ClaimUnavailable>(),
				endsAt: this.services.clock.monotonic() + operationDeadline,
				endsPause: isOut,
				mayBeRecorded: false,
			};
			this.waiting.push(operation);
			if (isOut) {
				this.endPauseSoon();
				this.giveUpSoon(operation);
			} else if (urgency === 'urgent') {
				this.startCommitting();
			} else {
				setTimeout(() => {
					this.startCommitting();
				}, patience);
			}

			// The cast is sound: only decide() of this operation makes its outcome.
			return Deferred.await(operation.done) as Effect.Effect<T, ClaimUnavailable>;
		});
	}

	/** While the store fails, what comes shares one try, and is refused with it or soon. */
	private isOut(): boolean {
		return this.isCommitting && this.failingSince !== undefined
			&& this.services.clock.monotonic() - this.failingSince > outageDelay;
	}

	/**
	 * The store may be back since the last try: what comes in the rest of the pause would else be refused as not run though
	 * the store answers.
	 */
	private endPauseSoon(): void {
		const {endPause} = this;
		if (!endPause) {
			return;
		}

		setTimeout(() => {
			// Another pause may have begun since.
			if (this.endPause === endPause) {
				endPause?.();
			}
		}, Math.max(0, this.pausedAt + shortestPause - this.services.clock.monotonic()));
	}

	/** What comes while a try is under way waits for it, since the store may answer it: but not for as long as one that is silent may take. */
	private giveUpSoon(operation: Operation): void {
		setTimeout(() => {
			if (this.waiting.includes(operation) && this.failingSince !== undefined) {
				this.waiting = this.waiting.filter(other => other !== operation);
				refuse(operation, 'no-retry');
			}
		}, outagePatience);
	}

	/** One committer a shard and box; it outlives the callers that wait, for others may wait with them. */
	private startCommitting(): void {
		if (this.isCommitting || this.waiting.length === 0) {
			return;
		}

		this.isCommitting = true;
		Effect.runFork(this.commitAll());
	}

	private commitAll(): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			// What comes in the same turn goes into the same write.
			yield * Effect.yieldNow;
			let pause = firstPause;
			while (this.waiting.length > 0) {
				const batch = this.waiting;
				this.waiting = [];
				const wasOut = this.failingSince !== undefined;
				const isDone = yield * this.commit(batch);
				if (isDone) {
					pause = firstPause;
					continue;
				}

				// The pauses of an outage are too long for a store that answers again.
				pause = wasOut && this.failingSince === undefined ? firstPause : pause;
				this.waiting = [...this.expire(batch), ...this.waiting];
				yield * this.pauseFor(pause * (0.5 + Math.random()));
				pause = Math.min(longestPause, pause * 2);
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

	/** @returns Whether every operation of the batch is done; otherwise it has to be tried again. */
	private commit(batch: readonly Operation[]): Effect.Effect<boolean> {
		return Effect.gen({self: this}, function * () {
			const snapshot = yield * this.read();
			if (!snapshot) {
				return false;
			}

			const decisions = decideAll(batch, snapshot);
			if (decisions.every(({decision}) => decision.write === undefined)) {
				// An entry that is held may have been released since it was read.
				if (snapshot.readAt < this.services.clock.monotonic() - 1) {
					this.snapshot = undefined;
					return yield * this.commit(batch);
				}

				return yield * finishAll(decisions);
			}

			const entries = mergeEntries(snapshot, decisions);
			const value = JSON.stringify(entries);
			if (value.length > largestShard) {
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
				// What stands there now has to be read: it may be ours, if an answer was lost.
				this.snapshot = undefined;
				metrics.claimWrites.inc({outcome: error._tag === 'VersionConflict' ? 'conflict' : error.reason});
				this.noteError(error);
				if (error._tag === 'StoreFailure') {
					markMayBeRecorded(error.mayHaveApplied ? decisions : []);
				}

				return false;
			})),
		);
	}

	private read(): Effect.Effect<Snapshot | undefined> {
		const now = this.services.clock.monotonic();
		if (this.snapshot && this.snapshot.readAt > now - longestCache) {
			return Effect.succeed(this.snapshot);
		}

		return this.services.store.read(this.key).pipe(
			Effect.map(object => {
				const entries = object.version === 0 ? Result.succeed({}) : decodeEntries(object.value);
				this.isUnreadable = Result.isFailure(entries);
				if (Result.isFailure(entries)) {
					this.services.log.write('claimShardUnreadable', {shard: this.key, version: object.version});
					this.noteFailure();
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
				this.noteError(error);
				return undefined;
			})),
		);
	}

	/** A version conflict and a rate limit prove that the store answers: claims are tried again until their deadline, as without an outage. */
	private noteError(error: StoreFailure | VersionConflict): void {
		if (error._tag === 'VersionConflict' || error.reason === 'throttled') {
			this.failingSince = undefined;
		} else {
			this.noteFailure();
		}
	}

	private noteFailure(): void {
		this.failingSince ??= this.services.clock.monotonic();
	}

	/** Gives up what has waited too long. @returns What is left. */
	private expire(batch: readonly Operation[]): readonly Operation[] {
		const now = this.services.clock.monotonic();
		// What ended a pause is given up with the first try in which the store failed; that another box wrote first is no failure of the store.
		const isFailing = this.failingSince !== undefined;
		const isOver = ({endsAt, endsPause}: Operation): boolean => endsAt <= now || (endsPause && isFailing);
		for (const operation of batch.filter(one => isOver(one))) {
			refuse(operation, this.failureOf(operation, now));
		}

		return batch.filter(one => !isOver(one));
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

/** Operations see what those before them in the batch decided. */
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

/** What stands, less what is too old, and what is new. */
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
