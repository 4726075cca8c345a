/**
 * An in-memory metadata store that holds one object, for tests that inspect the object. Development only.
 */
import * as Effect from 'effect/Effect';
import {
	MetadataStore, type Changes, type Listing, type StoredObject,
} from '../../src/follow/metadata-store.js';

/** A store of one object of any kind and name. */
export class OneObjectStore extends MetadataStore {
	override readonly era = 0;
	private object: StoredObject | undefined;

	/** @param afterWrite - Called after the object is written, before the caller gets the result. */
	constructor(private readonly afterWrite: () => void = () => undefined) {
		super();
	}

	override list(): Effect.Effect<Listing> {
		return Effect.succeed({objects: [], at: 0});
	}

	override read(): Effect.Effect<StoredObject | undefined> {
		return Effect.sync(() => this.object);
	}

	override watch(): Effect.Effect<Changes> {
		return Effect.never;
	}

	override create(_kind: string, name: string, spec: unknown): Effect.Effect<StoredObject> {
		return this.write(name, spec);
	}

	override replace(_kind: string, name: string, spec: unknown): Effect.Effect<StoredObject> {
		return this.write(name, spec);
	}

	override replaceStatus(_kind: string, name: string): Effect.Effect<StoredObject> {
		return this.write(name, this.object?.spec);
	}

	override remove(): Effect.Effect<void> {
		return Effect.void;
	}

	private write(name: string, spec: unknown): Effect.Effect<StoredObject> {
		return Effect.sync(() => {
			this.object = {name, spec, revision: (this.object?.revision ?? 0) + 1};
			this.afterWrite();
			return this.object;
		});
	}
}
