/**
 * Saves in the store what replicas have stated about themselves in responses, as far as their entries do not say it, so that it survives the
 * simultaneous loss of all boxes.
 *
 * @remarks Source: docs/design/statements-after-restart.md.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {createDecoder, describeFaults} from '../base/faults.js';
import type {MetadataStore, RevisionConflict, StoreUnavailable} from '../follow/metadata-store.js';
import {eraOf} from '../follow/store-position.js';

/** Kind and name of the object. */
export const statementKind = 'waydrift-replica-statements';
export const statementName = 'statements';
/** Milliseconds between two checks whether the statements have changed, and after a failed call. */
const checkInterval = 200;
/** Minimum milliseconds between two writes that add no statement. */
const amountInterval = 1000;
/** Milliseconds after the start for which a box does not serve while it has not read the record: the store may be unavailable. */
const maxRestoreTime = 1000;
/** Milliseconds after the start in which a box writes nothing: until it hears the others, each box takes itself for the owner. */
const writeDelay = 1000;

const StoredStatements = Schema.Struct({
	/** Incarnations that have announced that they leave. */
	leaving: Schema.Array(Schema.String),
	/** Requests a second that incarnations accept from all boxes. */
	limits: Schema.Array(Schema.Struct({start: Schema.String, limit: Schema.Finite})),
});

/** The record, with the number of boxes that share the limits. */
const StoredRecord = Schema.Struct({...StoredStatements.fields, boxes: Schema.Finite});
type StoredRecord = typeof StoredRecord.Type;
const decodeRecord = createDecoder(StoredRecord, 'ignore');

/** Statements that hold for an incarnation of a replica. */
export type LastingStatements = typeof StoredStatements.Type;

/** The statements that one box knows. */
export type LastingStatementSource = {
	/** Statements of the listed replicas, in a stable order; `undefined` before the list is known. */
	readonly lasting: LastingStatements | undefined;
	/** Adds statements that were read from the store. */
	readonly restore: (statements: LastingStatements) => void;
};

/** Dependencies of the record. */
export type StatementRecordServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly store: MetadataStore;
	readonly statements: LastingStatementSource;
	/** @returns Number of boxes in the fleet. */
	readonly boxes: () => number;
	/** @returns Whether this box is the one of all reachable boxes that writes the record. */
	readonly isOwner: () => boolean;
};

const emptyRecord: StoredRecord = {leaving: [], limits: [], boxes: 0};

/** The record, as one box reads and writes it. */
export class StatementRecord {
	/**
	 * @param services - Its dependencies.
	 * @returns A record that has not been read; run {@link run}.
	 */
	static create(services: StatementRecordServices): StatementRecord {
		return new StatementRecord(services);
	}

	private readonly startedAt: number;
	private isRead = false;
	/** Whether this box has read the record since it became its owner. */
	private isTakenOver = false;
	/** Position of the object in the store; `undefined` if it does not exist. */
	private revision: number | undefined;
	/** Era of the store in which the object was read or written. */
	private era = 0;
	/** Statements that the store has. */
	private stored = emptyRecord;
	private boxesAtStart: number | undefined;
	/** Monotonic milliseconds of the last write. */
	private writtenAt = Number.NEGATIVE_INFINITY;
	/** Whether a write that was sent earlier, by this box or by the last owner, may still be applied: after another write it conflicts. */
	private mayChangeLate = false;

	private constructor(private readonly services: StatementRecordServices) {
		this.startedAt = services.clock.monotonic();
	}

	/** Whether the statements are restored, or the store does not answer. */
	get isRestored(): boolean {
		return this.isRead || this.uptime > maxRestoreTime;
	}

	/** Number of boxes that shared the limits before this process started; `undefined` if unknown. */
	get recordedBoxes(): number | undefined {
		return this.boxesAtStart;
	}

	/** Milliseconds since the start of this process. */
	private get uptime(): number {
		return this.services.clock.monotonic() - this.startedAt;
	}

	/** @returns An effect that restores the statements, and then saves them whenever they change, until it is interrupted. */
	run(): Effect.Effect<never> {
		return Effect.forever(this.check().pipe(Effect.andThen(Effect.sleep(checkInterval))));
	}

	/** @returns An effect that restores the statements, or saves what has changed. */
	check(): Effect.Effect<void> {
		return Effect.suspend(() => this.isRead ? this.save() : this.read()).pipe(
			Effect.catchTag('RevisionConflict', () => this.read()),
			Effect.catchTag('StoreUnavailable', () => Effect.void),
		);
	}

	private read(): Effect.Effect<void, StoreUnavailable> {
		const {store, statements, log} = this.services;
		return store.read(statementKind, statementName).pipe(Effect.map(object => {
			const isFirst = !this.isRead;
			this.isRead = true;
			this.revision = object?.revision;
			this.era = store.era;
			const decoded = object && decodeRecord(object.spec);
			if (decoded && Result.isFailure(decoded)) {
				log.write('replicaStatementsUnreadable', {detail: describeFaults('statements', decoded.failure)});
			}

			const restored = decoded && Result.isSuccess(decoded) ? decoded.success : emptyRecord;
			this.stored = restored;
			statements.restore(restored);
			if (isFirst && object) {
				this.boxesAtStart = restored.boxes || undefined;
				log.write('replicaStatementsRestored', {leaving: restored.leaving.join(' '), limits: restored.limits.length});
			}
		}));
	}

	private save(): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		return Effect.suspend(() => {
			if (!this.services.isOwner()) {
				this.isTakenOver = false;
				return Effect.void;
			}

			const {lasting} = this.services.statements;
			if (lasting === undefined || this.uptime < writeDelay) {
				return Effect.void;
			}

			if (!this.isTakenOver || this.era !== this.services.store.era) {
				return this.takeOver();
			}

			// Without limits the size of the fleet is no reason to write.
			const record = {...lasting, boxes: lasting.limits.length > 0 ? this.services.boxes() : 0};
			return this.isDue(record) ? this.write(record) : Effect.void;
		});
	}

	/** Other amounts of known limits, and statements that ended, wait so that a replica whose limit changes all the time causes few writes. */
	private isDue(record: StoredRecord): boolean {
		if (this.mayChangeLate) {
			return true;
		}

		if (JSON.stringify(record) === JSON.stringify(this.stored)) {
			return false;
		}

		const known = new Set(keysOf(this.stored));
		const hasAdditions = keysOf(record).some(key => !known.has(key));
		return hasAdditions || this.services.clock.monotonic() - this.writtenAt >= amountInterval;
	}

	/** Other owners have written since this box last read the record, or the store was restored from a backup. */
	private takeOver(): Effect.Effect<void, StoreUnavailable> {
		return this.read().pipe(Effect.map(() => {
			this.isTakenOver = true;
			this.mayChangeLate = this.revision !== undefined;
		}));
	}

	private write(record: StoredRecord): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		const {store} = this.services;
		const written = this.revision === undefined
			? store.create(statementKind, statementName, record)
			: store.replace(statementKind, statementName, record, this.revision);
		return written.pipe(
			Effect.map(({revision}) => {
				this.revision = revision;
				this.era = eraOf(revision);
				this.stored = record;
				this.writtenAt = this.services.clock.monotonic();
				this.mayChangeLate = false;
			}),
			Effect.tapError(error => Effect.sync(() => {
				this.mayChangeLate ||= error._tag === 'StoreUnavailable';
			})),
		);
	}
}

function keysOf({leaving, limits}: LastingStatements): readonly string[] {
	return [...leaving.map(start => `leaving ${start}`), ...limits.map(({start}) => `limit ${start}`)];
}
