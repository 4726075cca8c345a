/**
 * Remembers which objects of a kind cannot be decoded, so that each revision is reported once.
 */
import type {StoredObject} from './metadata-store.js';

/** The unreadable objects of one kind. */
export class UnreadableObjects {
	/** @returns Objects of which none is unreadable. */
	static create(): UnreadableObjects {
		return new UnreadableObjects();
	}

	/** Revisions by name. */
	private readonly revisions = new Map<string, number>();

	private constructor() {
		// Use create().
	}

	/**
	 * @param object - An object that cannot be decoded.
	 * @returns Whether this revision of it is recorded for the first time.
	 */
	record({name, revision}: Pick<StoredObject, 'name' | 'revision'>): boolean {
		const isNew = this.revisions.get(name) !== revision;
		this.revisions.set(name, revision);
		return isNew;
	}

	/** @param names - Names of all objects that there are. */
	retain(names: ReadonlySet<string>): void {
		for (const name of this.revisions.keys()) {
			if (!names.has(name)) {
				this.revisions.delete(name);
			}
		}
	}

	/** @param name - Name of an object that is gone or can be decoded. */
	forget(name: string): void {
		this.revisions.delete(name);
	}
}
