/**
 * Watches the table in the Object API.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import type {EventLog} from '../base/event-log.js';
import type {ObjectStore, StoredObject} from '../external/object-store.js';
import type {TableView} from './table-view.js';
import {decodeVersionedTable, tableKey} from './versioned-table.js';

/** Milliseconds that one watch waits for a change; the platform counts each watch as one call. */
const watchWaitMs = 30_000;
/** Base of the retry delay in milliseconds. */
const baseRetryDelayMs = 200;
/** Maximum retry delay in milliseconds. */
const maxRetryDelayMs = 10_000;

/** Keeps a {@link TableView} up to date with the store. */
export class TableWatch {
	/**
	 * @param store - The store that holds the table.
	 * @param view - The view to update.
	 * @param log - Log for faults.
	 * @returns The watch, which does not begin before `run`.
	 */
	static create(store: ObjectStore, view: TableView, log: EventLog): TableWatch {
		return new TableWatch(store, view, log);
	}

	private failures = 0;
	/** Highest version read, including rejected tables, so that these are not read repeatedly. */
	private highestReadVersion = 0;

	private constructor(
		private readonly store: ObjectStore,
		private readonly view: TableView,
		private readonly log: EventLog,
	) {}

	/** @returns Runs until interrupted. During an outage of the store, the table in force stays. */
	run(): Effect.Effect<never> {
		return Effect.forever(this.watchOnce());
	}

	private watchOnce(): Effect.Effect<void> {
		return Effect.suspend(() => this.store.watch(tableKey, Math.max(this.highestReadVersion, this.view.version), watchWaitMs)).pipe(
			Effect.map(object => {
				this.recordAvailable();
				if (object) {
					this.applyObject(object);
				}
			}),
			Effect.catch(error => Effect.suspend(() => {
				this.recordFailure(error.detail);
				return Effect.sleep(this.retryDelay());
			})),
		);
	}

	private applyObject(object: StoredObject): void {
		this.highestReadVersion = Math.max(this.highestReadVersion, object.version);
		const decoded = decodeVersionedTable(object.version, object.value);
		if (Result.isSuccess(decoded)) {
			this.view.apply(decoded.success);
			return;
		}

		const [fault] = decoded.failure;
		this.log.write('tableRejected', {version: object.version, path: fault?.path, expected: fault?.expected});
	}

	private recordAvailable(): void {
		if (this.failures > 0) {
			this.log.write('storeAvailable', {failures: this.failures});
		}

		this.failures = 0;
	}

	private recordFailure(detail: string): void {
		this.failures++;
		if (this.failures === 1) {
			this.log.write('storeUnavailable', {detail});
		}
	}

	/** @returns Delay before a retry in milliseconds. It doubles with each failure and has random jitter, so that boxes do not retry at the same time. */
	private retryDelay(): number {
		return Math.min(maxRetryDelayMs, baseRetryDelayMs * (2 ** this.failures)) * (0.5 + (Math.random() / 2));
	}
}
