/**
 * Holds the duties by one object in the store, written under the condition that nobody else has written it.
 *
 * @remarks
 * There is no term to renew: each act is written before it is done, and a write that succeeds proves that nobody
 * took over before. A new holder waits before its first act until the acts of the one before have been done.
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
/** Milliseconds after a write was sent in which the act it stands for may be done. */
const actWithin = 1200;

/** Somebody else holds the duties. */
export class DutyTaken extends Data.TaggedError('DutyTaken')<{readonly holder: string}> {}

/** Proves that this box held the duties a moment ago. */
export type ActPermit = {
	readonly signer: DutySigner;
	readonly record: DutyRecord;
	/** @returns Whether the act may still be done. */
	readonly isValid: () => boolean;
};

/** What the lease needs. */
export type DutyLeaseServices = {
	readonly self: string;
	readonly incarnation: string;
	readonly store: MetadataStore;
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns Milliseconds in which the acts of a holder before may still be done. */
	readonly wait: () => number;
	/** @returns Whether the platform itself refuses acts of a holder that somebody has followed. */
	readonly isFenced: () => boolean;
	/** @returns The record to go on from where the store may have lost what holders decided; the one that is known by default. */
	readonly amendRestored?: (record: DutyRecord) => DutyRecord;
};

/** The duties, as this box sees them. */
export class DutyLease {
	/**
	 * @param services - What it needs.
	 * @returns The lease, not held.
	 */
	static create(services: DutyLeaseServices): DutyLease {
		return new DutyLease(services);
	}

	private record: DutyRecord | undefined;
	private revision: number | undefined;
	private actsFrom = Number.POSITIVE_INFINITY;
	/** Monotonic milliseconds up to which this box may have acted: another start of it until this one began. */
	private actedUntil: number;
	private isUnsure = false;
	/** What this start last decided or took as a holder. */
	private ownRecord: DutyRecord | undefined;
	/** Monotonic milliseconds since which the record that is known is of an era before. */
	private outdatedSince: number | undefined;
	/** Monotonic milliseconds at which the record was last read or written. */
	private knownAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly services: DutyLeaseServices) {
		this.actedUntil = services.clock.monotonic();
	}

	/** What was last read or written; `undefined` before the first. */
	get known(): DutyRecord | undefined {
		return this.record;
	}

	/** Whether this start of this box holds the duties, as far as it knows. */
	get isHeld(): boolean {
		const {self, incarnation} = this.services;
		return this.record?.holder === self && this.record.incarnation === incarnation && !this.isOutdated;
	}

	/** Milliseconds since the store has come back from a copy without a holder taking the duties in its new era, as far as is known; zero before. */
	get outdatedFor(): number {
		const now = this.services.clock.monotonic();
		this.outdatedSince = this.isOutdated ? this.outdatedSince ?? now : undefined;
		return this.outdatedSince === undefined ? 0 : now - this.outdatedSince;
	}

	/** Whether a holder of an era before wrote the record that is known: the store may have lost the ones that followed. */
	private get isOutdated(): boolean {
		const fence = this.record?.fence ?? 0;
		return fence > 0 && fence < firstFenceOf(this.services.store.era);
	}

	/** Whether it may act: it holds the duties and has waited. */
	get mayAct(): boolean {
		return this.isHeld && this.services.clock.monotonic() >= this.actsFrom;
	}

	/** @returns Ends when the object has been read. */
	look(): Effect.Effect<void, StoreUnavailable> {
		return this.services.store.read(dutyKind, dutyName).pipe(Effect.map(object => {
			const wasHeld = this.isHeld;
			const decoded = object && decodeDutyRecord(object.spec);
			this.revision = object?.revision;
			this.record = decoded && Result.isSuccess(decoded) ? decoded.success : firstRecord;
			this.isUnsure = false;
			this.knownAt = this.services.clock.monotonic();
			if (wasHeld && !this.isHeld) {
				this.noteLoss();
			}
		}));
	}

	/** @returns Takes the duties over if nobody else does so first. */
	acquire(): Effect.Effect<void, StoreUnavailable | RevisionConflict> {
		return Effect.gen({self: this}, function * () {
			const {self, incarnation, log, store, amendRestored = asItIs} = this.services;
			yield * this.look();
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
	 * Writes a decision; it may be acted on for a moment after.
	 *
	 * @param decide - Makes the record out of the one that stands.
	 * @returns The permit.
	 */
	decide(decide: (record: DutyRecord) => DutyRecord): Effect.Effect<ActPermit, StoreUnavailable | DutyTaken> {
		return Effect.gen({self: this}, function * () {
			const {self, clock, store} = this.services;
			if (this.isUnsure || this.knownAt <= clock.lastWake()) {
				yield * this.look();
			}

			if (!this.isHeld) {
				return yield * Effect.fail(new DutyTaken({holder: this.record?.holder ?? ''}));
			}

			const sentAt = clock.monotonic();
			this.actedUntil = sentAt + actWithin;
			const record = {...decide(this.record!), decision: this.record!.decision + 1};
			yield * this.write(record).pipe(Effect.catchTag('RevisionConflict', () => this.lookAfterConflict()));
			return {
				record,
				signer: {holder: self, fence: record.fence},
				isValid: () => clock.ageOf(sentAt) < actWithin && record.fence >= firstFenceOf(store.era),
			};
		});
	}

	/** @returns Gives the duties up, so that another box need not find out. */
	release(): Effect.Effect<void> {
		return Effect.suspend(() => this.isHeld
			? Effect.ignore(this.decide(record => ({
				...record, holder: '', incarnation: '', ...formerHolder(record),
			})).pipe(Effect.map(() => {
				this.noteLoss();
			})))
			: Effect.void);
	}

	/** @param detail - Why this box no longer holds the duties: a call showed a higher fence. */
	giveUp(detail: string): void {
		this.services.log.write('dutyLost', {detail});
		this.actsFrom = Number.POSITIVE_INFINITY;
		this.isUnsure = true;
	}

	/**
	 * What this box itself did before needs no waiting out, and neither does what the platform refuses by its fence. But
	 * where boxes take turns, the one that comes back acts only when its own last act is long ago.
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

	/** Holders that the store has lost may have acted until a moment ago, whoever the record names. */
	private firstActAfterRestore(): number {
		const {isFenced, clock, wait} = this.services;
		const now = clock.monotonic();
		return isFenced() ? Math.max(now, this.actedUntil + wait()) : now + wait();
	}

	private lookAfterConflict(): Effect.Effect<never, StoreUnavailable | DutyTaken> {
		return this.look().pipe(Effect.andThen(Effect.suspend(() => Effect.fail(new DutyTaken({holder: this.record?.holder ?? ''})))));
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
				this.knownAt = this.services.clock.monotonic();
			}),
			Effect.tapError(() => Effect.sync(() => {
				this.isUnsure = true;
			})),
		);
	}

	private noteLoss(): void {
		this.actsFrom = Number.POSITIVE_INFINITY;
		this.services.log.write('dutyLost', {holder: this.record?.holder});
	}
}

const asItIs = (record: DutyRecord): DutyRecord => record;

/** Decisions are counted, so that the record with more of them holds what the other one does. */
function laterOf(stored: DutyRecord, own: DutyRecord | undefined): DutyRecord {
	return own && own.decision > stored.decision ? own : stored;
}

/** Nobody holds the duties between a release and the next holder: then the one that released them is the former. */
function formerHolder({holder}: DutyRecord): Pick<DutyRecord, 'formerHolder'> {
	return holder === '' ? {} : {formerHolder: holder};
}
