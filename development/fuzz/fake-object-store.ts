/**
 * An in-memory object store with injected faults: outages, slow calls, answers lost after the write took effect, and writes that take
 * effect after the caller's timeout.
 */
import * as Effect from 'effect/Effect';
import {
	ObjectStore, StoreFailure, VersionConflict, type ObjectVersion, type StoredObject,
} from '../../src/external/object-store.js';

/** Timeout of a call in milliseconds. */
const callTimeout = 2000;

/** Outcome of one call. */
export type CallOutcome = 'normal' | 'lost-answer' | 'lost-call' | 'late' | 'slow' | 'outage';

type Entry = {readonly version: ObjectVersion; readonly value: string};

const failUnanswered = (mayHaveApplied: boolean) => Effect.fail(new StoreFailure({reason: 'unreachable', mayHaveApplied, detail: 'no answer'}));

/** The objects, shared by all boxes. */
export class FakeObjects {
	readonly entries = new Map<string, Entry>();
	/** Number of injected faults that took effect. */
	faults = 0;
	private version = 0;

	constructor(readonly now: () => number) {}

	write(key: string, value: string, expected: ObjectVersion): ObjectVersion | undefined {
		if ((this.entries.get(key)?.version ?? 0) !== expected) {
			return undefined;
		}

		this.version++;
		this.entries.set(key, {version: this.version, value});
		return this.version;
	}

	read(key: string): StoredObject {
		return {
			version: 0, value: '', ...this.entries.get(key), storeTime: 1_000_000_000 + this.now(),
		};
	}
}

/** The store as seen by one box. */
export class FakeObjectStore extends ObjectStore {
	/**
	 * @param objects - Objects that all boxes share.
	 * @returns A store without faults.
	 */
	static create(objects: FakeObjects): FakeObjectStore {
		return new FakeObjectStore(objects);
	}

	/** Outcomes of the next calls, in order; calls beyond the last are normal. */
	callOutcomes: CallOutcome[] = [];
	/** Whether the store is unavailable to this box. */
	isUnavailable = false;
	/** Whether the box is suspended; answers are delivered once it resumes. */
	isSuspended = false;

	private constructor(private readonly objects: FakeObjects) {
		super();
	}

	override read(key: string): Effect.Effect<StoredObject, StoreFailure> {
		return this.call(() => Effect.succeed(this.objects.read(key)), false);
	}

	override write(key: string, value: string, expected: ObjectVersion): Effect.Effect<ObjectVersion, StoreFailure | VersionConflict> {
		return this.call(() => {
			const version = this.objects.write(key, value, expected);
			return version === undefined ? Effect.fail(new VersionConflict({key})) : Effect.succeed(version);
		}, true);
	}

	override watch(key: string, after: ObjectVersion, wait: number): Effect.Effect<StoredObject | undefined, StoreFailure> {
		return this.read(key).pipe(Effect.flatMap(object => object.version > after
			? Effect.succeed(object)
			: Effect.as(Effect.sleep(wait), undefined)));
	}

	override list(prefix: string): Effect.Effect<readonly string[], StoreFailure> {
		return Effect.succeed([...this.objects.entries.keys()].filter(key => key.startsWith(prefix)));
	}

	private call<Answer, Failure>(act: () => Effect.Effect<Answer, Failure>, isWrite: boolean): Effect.Effect<Answer, Failure | StoreFailure> {
		return Effect.suspend(() => {
			const fate = this.isUnavailable ? 'outage' : (this.callOutcomes.shift() ?? 'normal');
			this.objects.faults += fate === 'normal' ? 0 : 1;
			return Effect.andThen(Effect.sleep(5), this.applyOutcome(fate, act, isWrite));
		}).pipe(Effect.tap(() => this.whenResumed()));
	}

	private applyOutcome<Answer, Failure>(fate: CallOutcome, act: () => Effect.Effect<Answer, Failure>, isWrite: boolean): Effect.Effect<Answer, Failure | StoreFailure> {
		switch (fate) {
			case 'outage': {
				return failUnanswered(false);
			}

			case 'lost-call': {
				return Effect.andThen(Effect.sleep(callTimeout), failUnanswered(isWrite));
			}

			case 'lost-answer': {
				return Effect.suspend(() => Effect.andThen(Effect.ignore(act()), failUnanswered(isWrite)));
			}

			case 'late': {
				// The write takes effect after the caller's timeout.
				return Effect.sync(() => {
					setTimeout(() => {
						Effect.runFork(Effect.ignore(Effect.suspend(act)));
					}, callTimeout + 500);
				}).pipe(Effect.andThen(Effect.sleep(callTimeout)), Effect.andThen(failUnanswered(isWrite)));
			}

			case 'slow': {
				return Effect.andThen(Effect.sleep(800), Effect.suspend(act));
			}

			case 'normal': {
				return Effect.suspend(act);
			}
		}
	}

	private whenResumed(): Effect.Effect<void> {
		return Effect.suspend((): Effect.Effect<void> => this.isSuspended
			? Effect.andThen(Effect.sleep(50), this.whenResumed())
			: Effect.void);
	}
}
