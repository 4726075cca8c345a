/**
 * The platform's Object API, which stores state that must be consistent between boxes or durable.
 */
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';

/** Version of an object. Each write to any object uses a higher one. Zero means that the object does not exist. */
export type ObjectVersion = number;

/** An object that was read. A missing object has version zero and an empty value. */
export type StoredObject = {
	readonly version: ObjectVersion;
	readonly value: string;
	/** Time of the answer by the store's clock, in milliseconds since the epoch. */
	readonly storeTime: number;
};

/** The store gave no usable answer. */
export class StoreFailure extends Data.TaggedError('StoreFailure')<{
	readonly reason: 'unreachable' | 'throttled' | 'refused';
	/** Whether a write may have taken effect despite the failure. */
	readonly mayHaveApplied: boolean;
	readonly detail: string;
}> {}

/** The object does not have the version that the write expected. */
export class VersionConflict extends Data.TaggedError('VersionConflict')<{
	readonly key: string;
}> {}

/** A store of versioned objects with conditional writes and watches. */
export abstract class ObjectStore {
	/**
	 * @param key - Name of the object.
	 * @returns The object; version zero if it does not exist.
	 */
	abstract read(key: string): Effect.Effect<StoredObject, StoreFailure>;

	/**
	 * Writes an object if it still has the expected version.
	 *
	 * @param key - Name of the object.
	 * @param value - The new value, at most one megabyte.
	 * @param expected - The version that the object must have; zero if it must not exist.
	 * @returns The new version.
	 */
	abstract write(key: string, value: string, expected: ObjectVersion): Effect.Effect<ObjectVersion, StoreFailure | VersionConflict>;

	/**
	 * Waits until an object has a higher version than the known one.
	 *
	 * @param key - Name of the object.
	 * @param after - The known version.
	 * @param wait - Maximum milliseconds to wait.
	 * @returns The object, or `undefined` if it did not change in that time.
	 */
	abstract watch(key: string, after: ObjectVersion, wait: number): Effect.Effect<StoredObject | undefined, StoreFailure>;

	/**
	 * @param prefix - Prefix of the names.
	 * @returns The names of the existing objects with that prefix.
	 */
	abstract list(prefix: string): Effect.Effect<readonly string[], StoreFailure>;
}
