/**
 * Saves the crashes of quarantined requests and parts in the store, so that the quarantine survives the simultaneous loss of all boxes.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {createDecoder, describeFaults} from '../base/faults.js';
import type {MetadataStore, RevisionConflict, StoreUnavailable} from '../follow/metadata-store.js';
import type {CrashUpdate} from './crash-ledger.js';
import {Fingerprint} from './fingerprint.js';
import type {Quarantine} from './quarantine.js';

/** Kind and name of the object. */
export const recordKind = 'waydrift-quarantine';
export const recordName = 'crashes';
/** Milliseconds between two checks whether the quarantine has changed, and after a failed call. */
const checkInterval = 200;
/** Milliseconds after the start for which a box does not serve while it has not read the record: the store may be unavailable. */
const maxRestoreTime = 1000;

const Record = Schema.Struct({
	crashes: Schema.Array(Schema.Struct({
		start: Schema.String,
		service: Schema.String,
		software: Schema.String,
		/** Milliseconds since the Unix epoch. */
		at: Schema.Finite,
		suspects: Schema.Array(Schema.Struct({
			fingerprint: Schema.String, ranFor: Schema.Finite, parts: Schema.optionalKey(Schema.Array(Schema.String)), clientAccount: Schema.optionalKey(Schema.String),
		})),
	})),
	/** Parts of these requests that replicas have completed. */
	completions: Schema.Array(Schema.Struct({fingerprint: Schema.String, at: Schema.Finite})),
});
type Record = typeof Record.Type;
const decodeRecord = createDecoder(Record, 'ignore');

/** Dependencies of the record. */
export type QuarantineRecordServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly store: MetadataStore;
	readonly quarantine: Quarantine;
	/** @returns Whether this box is the one of all reachable boxes that writes the record. */
	readonly isOwner: () => boolean;
};

/** The record, as one box reads and writes it. */
export class QuarantineRecord {
	/**
	 * @param services - Its dependencies.
	 * @returns A record that has not been read; run {@link run}.
	 */
	static create(services: QuarantineRecordServices): QuarantineRecord {
		return new QuarantineRecord(services);
	}

	private readonly startedAt: number;
	private isRead = false;
	/** Position of the object in the store; `undefined` if it does not exist. */
	private revision: number | undefined;
	/** Starts of the replicas whose crashes the store has. */
	private stored = '';

	private constructor(private readonly services: QuarantineRecordServices) {
		this.startedAt = services.clock.monotonic();
	}

	/** Whether the quarantine is restored, or the store does not answer. */
	get isRestored(): boolean {
		return this.isRead || this.services.clock.monotonic() - this.startedAt > maxRestoreTime;
	}

	/** @returns An effect that restores the quarantine, and then saves it whenever it changes. */
	run(): Effect.Effect<never> {
		const step = Effect.suspend(() => this.isRead ? this.save() : this.read()).pipe(
			Effect.catchTag('RevisionConflict', () => this.read()),
			Effect.catchTag('StoreUnavailable', () => Effect.void),
		);
		return Effect.forever(step.pipe(Effect.andThen(Effect.sleep(checkInterval))));
	}

	private read(): Effect.Effect<void, StoreUnavailable> {
		const {store, quarantine, log} = this.services;
		return store.read(recordKind, recordName).pipe(Effect.map(object => {
			this.isRead = true;
			this.revision = object?.revision;
			const decoded = object && decodeRecord(object.spec);
			if (!decoded) {
				return;
			}

			if (Result.isFailure(decoded)) {
				log.write('quarantineRecordUnreadable', {detail: describeFaults('record', decoded.failure)});
				return;
			}

			const {crashes, completions} = decoded.success;
			this.stored = keyOf(crashes);
			quarantine.merge({
				crashes: crashes.map(crash => this.updateOf(crash)),
				completions: completions.map(({fingerprint, at}) => ({fingerprint: Fingerprint(fingerprint), age: this.ageOf(at)})),
			});
			if (crashes.length > 0) {
				log.write('quarantineRestored', {starts: crashes.map(({start}) => start).join(' ')});
			}
		}));
	}

	private save(): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		return Effect.suspend(() => {
			const {store, quarantine, isOwner} = this.services;
			if (!isOwner()) {
				return Effect.void;
			}

			const {crashes, completions} = quarantine.causes;
			const key = keyOf(crashes);
			if (key === this.stored) {
				return Effect.void;
			}

			const record: Record = {
				crashes: crashes.map(({age, ...crash}) => ({...crash, at: this.timeOf(age)})),
				completions: completions.map(({fingerprint, age}) => ({fingerprint, at: this.timeOf(age)})),
			};
			const written = this.revision === undefined ? store.create(recordKind, recordName, record) : store.replace(recordKind, recordName, record, this.revision);
			return written.pipe(Effect.map(({revision}) => {
				this.revision = revision;
				this.stored = key;
			}));
		});
	}

	private updateOf({at, suspects, ...crash}: Record['crashes'][number]): CrashUpdate {
		return {
			...crash,
			age: this.ageOf(at),
			suspects: suspects.map(({fingerprint, ranFor, parts, clientAccount}) => ({
				fingerprint: Fingerprint(fingerprint),
				ranFor,
				...(parts ? {parts: parts.map(part => Fingerprint(part))} : {}),
				...(clientAccount === undefined ? {} : {clientAccount: Fingerprint(clientAccount)}),
			})),
		};
	}

	private ageOf(at: number): number {
		return Math.max(0, this.services.clock.wall() - at);
	}

	private timeOf(age: number): number {
		return Math.round(this.services.clock.wall() - age);
	}
}

/** Boxes may know different suspects of a crash; these make no difference after a restart. */
function keyOf(crashes: ReadonlyArray<{readonly start: string}>): string {
	return crashes.map(({start}) => start).sort().join(' ');
}
