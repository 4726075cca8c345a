/**
 * Mutual exclusion for the duties, the cluster-wide tasks that one box at a time performs. It rests on a conditional
 * write (compare-and-set) of one object in the store.
 *
 * @remarks
 * The lease has no term to renew. Each call is recorded in the store before it is made, and a successful write proves
 * that no other box has acquired the duties. A new holder waits before its first call until the calls of the previous
 * holder have completed or expired.
 * Source: docs/PLATFORM.md, "ONE".
 */
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {MetadataStore, RevisionConflict, StoreUnavailable} from '../follow/metadata-store.js';
import type {DutySigner} from './duty-calls.js';
import {
	decodeDutyRecord, firstFenceOf, firstRecord, type DutyRecord,
} from './duty-record.js';

/** Kind and name of the object. */
const dutyKind = 'waydrift-duties';
const dutyName = 'record';
/** Milliseconds after sending a write during which the recorded call may be made. */
const permitLifetime = 1200;

/** Another box holds the duties. */
export class DutyTaken extends Data.TaggedError('DutyTaken')<{readonly holder: string}> {}

/** Proves that this box held the duties when its decision was written. */
export type ActPermit = {
	readonly signer: DutySigner;
	readonly record: DutyRecord;
	/** @returns Whether the call may still be made. */
	readonly isValid: () => boolean;
};

/** Dependencies of the lease. */
export type DutyLeaseServices = {
	readonly self: string;
	readonly incarnation: string;
	readonly store: MetadataStore;
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns Milliseconds during which calls of a previous holder may still take effect. */
	readonly wait: () => number;
	/** @returns Whether the platform itself rejects calls with the fence of a previous holder. */
	readonly isFenced: () => boolean;
	/** @returns The record to continue from after a restore, when the store may have lost decisions; by default the known record. */
	readonly amendRestored?: (record: DutyRecord) => DutyRecord;
};

/** Ownership of the duties as this box knows it. */
export class DutyLease {
	/**
	 * @param services - Dependencies.
	 * @returns A lease that this box does not hold.
	 */
	static create(services: DutyLeaseServices): DutyLease {
		return new DutyLease(services);
	}

	private record: DutyRecord | undefined;
	private revision: number | undefined;
	/** Monotonic milliseconds from which this box may make calls. */
	private actsFrom = Number.POSITIVE_INFINITY;
	/** Monotonic milliseconds until which this box may have made calls; an earlier process of it may have until this one started. */
	private actedUntil: number;
	/** Whether a write failed or a call was fenced off, so that the record must be read again. */
	private isRecordStale = false;
	/** The record that this process last wrote as a holder. */
	private ownRecord: DutyRecord | undefined;
	/** Monotonic milliseconds since which the known record belongs to an earlier era of the store. */
	private outdatedSince: number | undefined;
	/** Monotonic milliseconds at which the record was last read or written. */
	private syncedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly services: DutyLeaseServices) {
		this.actedUntil = services.clock.monotonic();
	}

	/** The record that was last read or written; `undefined` before the first. */
	get known(): DutyRecord | undefined {
		return this.record;
	}

	/** Whether this process holds the duties, according to the known record. */
	get isHeld(): boolean {
		const {self, incarnation} = this.services;
		return this.record?.holder === self && this.record.incarnation === incarnation && !this.isOutdated;
	}

	/** Milliseconds since the store was restored from a backup without a known holder in its new era; zero otherwise. */
	get outdatedFor(): number {
		const now = this.services.clock.monotonic();
		this.outdatedSince = this.isOutdated ? this.outdatedSince ?? now : undefined;
		return this.outdatedSince === undefined ? 0 : now - this.outdatedSince;
	}

	/** Whether the known record was written in an earlier era of the store, which may have lost later holders. */
	private get isOutdated(): boolean {
		const fence = this.record?.fence ?? 0;
		return fence > 0 && fence < firstFenceOf(this.services.store.era);
	}

	/** Whether this box may make calls: it holds the duties and its waiting time has passed. */
	get mayAct(): boolean {
		return this.isHeld && this.services.clock.monotonic() >= this.actsFrom;
	}

	/** @returns Completes when the record has been read from the store. */
	read(): Effect.Effect<void, StoreUnavailable> {
		return this.services.store.read(dutyKind, dutyName).pipe(Effect.map(object => {
			const wasHeld = this.isHeld;
			const decoded = object && decodeDutyRecord(object.spec);
			this.revision = object?.revision;
			this.record = decoded && Result.isSuccess(decoded) ? decoded.success : firstRecord;
			this.isRecordStale = false;
			this.syncedAt = this.services.clock.monotonic();
			if (wasHeld && !this.isHeld) {
				this.recordLoss();
			}
		}));
	}

	/** @returns Acquires the duties unless another box does so first. */
	acquire(): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		return Effect.gen({self: this}, function * () {
			const {self, incarnation, log, store, amendRestored = unchanged} = this.services;
			yield * this.read();
			if (this.isHeld) {
				return;
			}

			const isRestored = this.isOutdated || (this.record!.fence === 0 && this.ownRecord !== undefined);
			const before = isRestored ? amendRestored(laterOf(this.record!, this.ownRecord)) : this.record!;
			const fence = Math.max(before.fence + 1, firstFenceOf(store.era));
			yield * this.write({
				...before, holder: self, incarnation, fence, decision: before.decision + 1, ...formerHolder(before),
			});
			this.actsFrom = isRestored ? this.firstActAfterRestore() : this.firstActAfter(before);
			log.write('dutyAcquired', {
				fence, before: before.holder, isRestored, reportsFrom: before.reportsFrom,
			});
		});
	}

	/**
	 * Writes a decision to the store before it is carried out.
	 *
	 * @param decide - Computes the new record from the known one.
	 * @returns A permit to carry the decision out, valid for 1.2 s after the write was sent.
	 */
	decide(decide: (record: DutyRecord) => DutyRecord): Effect.Effect<ActPermit, StoreUnavailable | DutyTaken> {
		return Effect.gen({self: this}, function * () {
			const {self, clock, store} = this.services;
			if (this.isRecordStale || this.syncedAt <= clock.lastResumedAt()) {
				yield * this.read();
			}

			if (!this.isHeld) {
				return yield * Effect.fail(new DutyTaken({holder: this.record?.holder ?? ''}));
			}

			const sentAt = clock.monotonic();
			this.actedUntil = sentAt + permitLifetime;
			const record = {...decide(this.record!), decision: this.record!.decision + 1};
			yield * this.write(record).pipe(Effect.catchTag('RevisionConflict', () => this.readAfterConflict()));
			return {
				record,
				signer: {holder: self, fence: record.fence},
				isValid: () => clock.ageOf(sentAt) < permitLifetime && record.fence >= firstFenceOf(store.era),
			};
		});
	}

	/** @returns Releases the duties, so that another box need not detect that this one has stopped. */
	release(): Effect.Effect<void> {
		return Effect.suspend(() => this.isHeld
			? Effect.ignore(this.decide(record => ({
				...record, holder: '', incarnation: '', ...formerHolder(record),
			})).pipe(Effect.map(() => {
				this.recordLoss();
			})))
			: Effect.void);
	}

	/** @param detail - Why this box no longer holds the duties: the platform has seen a higher fence. */
	giveUp(detail: string): void {
		this.services.log.write('dutyLost', {detail});
		this.actsFrom = Number.POSITIVE_INFINITY;
		this.isRecordStale = true;
	}

	/**
	 * This box need not wait for its own earlier calls, nor for calls that the platform rejects by their fence. If another
	 * box has held the duties in between, this box still waits until its own last call can no longer take effect.
	 *
	 * @returns Monotonic milliseconds of the first permitted call.
	 */
	private firstActAfter({fence, holder, formerHolder: former}: DutyRecord): number {
		const {self, isFenced, clock, wait} = this.services;
		const now = clock.monotonic();
		if (fence === 0 || holder === self) {
			return now;
		}

		if (!isFenced()) {
			return now + wait();
		}

		return former === self ? Math.max(now, this.actedUntil + wait()) : now;
	}

	/** Holders that the store has lost may have made calls until now, whichever holder the record names. */
	private firstActAfterRestore(): number {
		const {isFenced, clock, wait} = this.services;
		const now = clock.monotonic();
		return isFenced() ? Math.max(now, this.actedUntil + wait()) : now + wait();
	}

	private readAfterConflict(): Effect.Effect<never, StoreUnavailable | DutyTaken> {
		return this.read().pipe(Effect.andThen(Effect.suspend(() => Effect.fail(new DutyTaken({holder: this.record?.holder ?? ''})))));
	}

	private write(record: DutyRecord): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		const {store} = this.services;
		const written = this.revision === undefined
			? store.create(dutyKind, dutyName, record)
			: store.replace(dutyKind, dutyName, record, this.revision);
		return written.pipe(
			Effect.map(({revision}) => {
				this.revision = revision;
				this.record = record;
				this.ownRecord = record;
				this.syncedAt = this.services.clock.monotonic();
			}),
			Effect.tapError(() => Effect.sync(() => {
				this.isRecordStale = true;
			})),
		);
	}

	private recordLoss(): void {
		this.actsFrom = Number.POSITIVE_INFINITY;
		this.services.log.write('dutyLost', {holder: this.record?.holder});
	}
}

const unchanged = (record: DutyRecord): DutyRecord => record;

/** The record with the higher decision counter includes the decisions of the other one. */
function laterOf(stored: DutyRecord, own: DutyRecord | undefined): DutyRecord {
	return own && own.decision > stored.decision ? own : stored;
}

/** After a release there is no holder, and the box that released the duties remains the former holder. */
function formerHolder({holder}: DutyRecord): Pick<DutyRecord, 'formerHolder'> {
	return holder === '' ? {} : {formerHolder: holder};
}
