/**
 * Leases on duties. A lease is an object in the store with its holder and a generation, renewed by conditional writes.
 * It does not rely on wall clocks: a holder measures the term on its own monotonic clock from before the write that
 * renewed the lease, and a candidate measures on its own clock how long the object has been unchanged.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {BoxId} from '../base/identifiers.js';
import type {
	ObjectStore, ObjectVersion, StoreFailure, VersionConflict,
} from '../external/object-store.js';

/** Milliseconds after which a lease expires unless it is renewed. */
export const leaseTerm = 10_000;
/** Milliseconds between two renewals. */
const renewInterval = 3000;
/** Milliseconds before the end of the term at which the holder stops, as a margin before the next holder starts. */
const holderMargin = 2000;
/** Milliseconds between two attempts to acquire a lease, on average. */
const candidateInterval = 3000;

const LeaseObject = Schema.Struct({
	holder: BoxId,
	/** Increases with each acquisition. */
	generation: Schema.Number,
	/** Number of renewals since the acquisition; changes the object, and thereby its version, with each renewal. */
	renewal: Schema.Number,
});
type LeaseObject = typeof LeaseObject.Type;

const decodeLease = Schema.decodeUnknownResult(Schema.fromJsonString(LeaseObject));

/** Stored as the holder of a lease that was released. */
const noHolder = 'nobody' as BoxId;

/** A lease that this box holds. */
export type HeldLease = {
	readonly generation: number;
	/** @returns Remaining milliseconds; at zero or below, the holder must not issue orders. To be checked before each order. */
	readonly timeLeft: () => number;
};

/** Dependencies of a lease. */
export type LeaseServices = {
	readonly self: BoxId;
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly log: EventLog;
};

type ObservedLease = {
	readonly version: ObjectVersion;
	readonly object: LeaseObject | undefined;
	/** Monotonic milliseconds at which this box first read this version. */
	readonly firstSeenAt: number;
};

/** Lease of one duty, as this box sees it. */
export class Lease {
	/**
	 * @param duty - Name of the duty.
	 * @param services - Dependencies.
	 * @returns The lease, not held.
	 */
	static create(duty: string, services: LeaseServices): Lease {
		return new Lease(duty, services);
	}

	private observed: ObservedLease | undefined;
	/** Monotonic milliseconds at which the write that last extended the term was sent; negative infinity if the lease is not held. */
	private extendedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly duty: string, private readonly services: LeaseServices) {}

	/** Whether this box currently holds the lease. */
	get isHeld(): boolean {
		return this.timeLeft > 0;
	}

	/** Milliseconds until the holder stops; negative infinity if the machine was suspended since the term began, as the monotonic clock does not count that. */
	private get timeLeft(): number {
		return leaseTerm - holderMargin - this.services.clock.ageOf(this.extendedAt);
	}

	private get key(): string {
		return `leases/${this.duty}`;
	}

	/**
	 * Runs a duty whenever this box holds its lease.
	 *
	 * @param work - The duty; interrupted when the lease is lost.
	 * @returns An effect that runs until it is interrupted, and then releases the lease.
	 */
	whileHeld(work: (lease: HeldLease) => Effect.Effect<unknown>): Effect.Effect<never> {
		const cycle = Effect.gen({self: this}, function * () {
			const generation = yield * this.acquire();
			this.services.log.write('leaseAcquired', {duty: this.duty, generation});
			const held: HeldLease = {generation, timeLeft: () => this.timeLeft};
			yield * Effect.raceFirst(work(held), this.renewUntilLost());
			this.services.log.write('leaseLost', {duty: this.duty, generation});
		});
		return Effect.forever(cycle.pipe(Effect.andThen(Effect.sleep(candidateInterval * Math.random()))))
			.pipe(Effect.onInterrupt(() => this.release()));
	}

	/**
	 * Acquires the lease if it is free. If the response to the write is lost, the next read finds this box as the holder.
	 *
	 * @returns The generation; `undefined` if another box may hold the lease.
	 */
	tryAcquire(): Effect.Effect<number | undefined, StoreFailure | VersionConflict> {
		return Effect.gen({self: this}, function * () {
			const {clock, self, store} = this.services;
			const observed = yield * this.read();
			if (!isFree(observed, self, clock.monotonic())) {
				return undefined;
			}

			const requestedAt = clock.monotonic();
			const object: LeaseObject = {holder: self, generation: (observed.object?.generation ?? 0) + 1, renewal: 0};
			const version = yield * store.write(this.key, JSON.stringify(object), observed.version);
			this.extendTerm({version, object, firstSeenAt: clock.monotonic()}, requestedAt);
			return object.generation;
		});
	}

	/**
	 * Renews the lease. If the store is unavailable, the lease is kept until its term ends.
	 *
	 * @returns Whether the lease was lost to another holder or generation.
	 */
	renew(): Effect.Effect<boolean> {
		const {clock, store, self} = this.services;
		const requestedAt = clock.monotonic();
		const observed = this.observed!;
		const object: LeaseObject = {...observed.object!, renewal: observed.object!.renewal + 1};
		return store.write(this.key, JSON.stringify(object), observed.version).pipe(
			Effect.map(version => {
				this.extendTerm({version, object, firstSeenAt: clock.monotonic()}, requestedAt);
				return false;
			}),
			Effect.catch(() => this.read().pipe(
				// If only the response to the renewal was lost, this box is still the holder; the term is extended by the next renewal.
				Effect.map(now => now.object?.holder !== self || now.object.generation !== object.generation),
				Effect.catch(() => Effect.succeed(false)),
			)),
		);
	}

	/** @returns The generation, as soon as this box has acquired the lease. */
	private acquire(): Effect.Effect<number> {
		return Effect.gen({self: this}, function * () {
			for (;;) {
				const generation = yield * this.tryAcquire().pipe(Effect.catch(() => Effect.succeed(undefined)));
				if (generation !== undefined) {
					return generation;
				}

				yield * Effect.sleep(candidateInterval * (0.75 + (Math.random() / 2)));
			}
		});
	}

	/** Reads the object; an unchanged version keeps the time at which it was first read. */
	private read(): Effect.Effect<ObservedLease, StoreFailure> {
		const {store, clock} = this.services;
		return store.read(this.key).pipe(Effect.map(({version, value}) => {
			if (this.observed?.version !== version) {
				const decoded = version === 0 ? undefined : decodeLease(value);
				this.observed = {
					version,
					object: decoded && Result.isSuccess(decoded) ? decoded.success : undefined,
					firstSeenAt: clock.monotonic(),
				};
			}

			return this.observed;
		}));
	}

	/** Renews the lease until it is lost or expires. */
	private renewUntilLost(): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			for (;;) {
				const {timeLeft} = this;
				if (timeLeft <= 0) {
					return;
				}

				yield * Effect.sleep(Math.min(renewInterval, timeLeft));
				const isLost = this.isHeld ? yield * this.renew() : true;
				if (isLost) {
					this.extendedAt = Number.NEGATIVE_INFINITY;
					return;
				}
			}
		});
	}

	private extendTerm(observed: ObservedLease, requestedAt: number): void {
		this.observed = observed;
		this.extendedAt = requestedAt;
	}

	/** Writes the object without a holder, so that the next holder does not have to wait for the term to end. */
	private release(): Effect.Effect<void> {
		return Effect.suspend(() => {
			if (!this.isHeld || !this.observed?.object) {
				return Effect.void;
			}

			this.extendedAt = Number.NEGATIVE_INFINITY;
			const {object, version} = this.observed;
			return Effect.ignore(this.services.store.write(this.key, JSON.stringify({...object, holder: noHolder}), version));
		});
	}
}

/** Whether a lease may be acquired. A holder that no longer renews it is waited out for one term since its last renewal was first read. */
function isFree({object, firstSeenAt}: ObservedLease, self: BoxId, now: number): boolean {
	return !object || object.holder === noHolder || object.holder === self || now - firstSeenAt > leaseTerm;
}
