/**
 * The platform's Object API: what must be agreed or kept goes through it.
 */
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';

/** Grows with every write to any object. Zero stands for "does not exist". */
export type ObjectVersion = number;

/** An object as read. One that does not exist is at version zero, with an empty value. */
export type StoredObject = {
	readonly version: ObjectVersion;
	readonly value: string;
	/** The store's own clock when it answered, in milliseconds since the epoch. */
	readonly storeTime: number;
};

/** The store gave no usable answer. */
export class StoreFailure extends Data.TaggedError('StoreFailure')<{
	readonly reason: 'unreachable' | 'throttled' | 'refused';
	/** Whether a write may have taken effect all the same. */
	readonly mayHaveApplied: boolean;
	readonly detail: string;
}> {}

/** The object is not at the version that the write expected. */
export class VersionConflict extends Data.TaggedError('VersionConflict')<{
	readonly key: string;
}> {}

/** Objects with versions, conditional updates and watches. */
export abstract class ObjectStore {
	/**
	 * @param key - Name of the object.
	 * @returns The object; at version zero where there is none.
	 */
	abstract read(key: string): Effect.Effect<StoredObject, StoreFailure>;

	/**
	 * Writes an object if it still is at the expected version.
	 *
	 * @param key - Name of the object.
	 * @param value - The new value, a megabyte at most.
	 * @param expected - The version it must be at; zero: it must not exist.
	 * @returns The new version.
	 */
	abstract write(key: string, value: string, expected: ObjectVersion): Effect.Effect<ObjectVersion, StoreFailure | VersionConflict>;

	/**
	 * Waits until an object is past a version.
	 *
	 * @param key - Name of the object.
	 * @param after - The version already known.
	 * @param wait - Milliseconds to wait at most.
	 * @returns The object, or `undefined` where it did not change in that time.
	 */
	abstract watch(key: string, after: ObjectVersion, wait: number): Effect.Effect<StoredObject | undefined, StoreFailure>;

	/**
	 * @param prefix - How the names begin.
	 * @returns The names of the objects that exist.
	 */
	abstract list(prefix: string): Effect.Effect<readonly string[], StoreFailure>;
}
