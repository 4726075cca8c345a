/**
 * Leases on duties: an object with its holder, a generation and a term, renewed by conditional updates. No
 * wall clock counts: a holder measures its term on its own monotonic clock from before the call that renewed
 * it, and a candidate measures on its own how long the object has not changed.
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

/** Milliseconds a lease lives without being renewed. */
export const leaseTerm = 10_000;
const renewInterval = 3000;
/** Milliseconds by which a holder stops before its term ends. */
const holderMargin = 2000;
const candidateInterval = 3000;

const LeaseObject = Schema.Struct({
	holder: BoxId,
	/** Grows with each new holder. */
	generation: Schema.Number,
	/** Changes with each renewal, so that the object does. */
	renewal: Schema.Number,
});
type LeaseObject = typeof LeaseObject.Type;

const decodeLease = Schema.decodeUnknownResult(Schema.fromJsonString(LeaseObject));

/** Holder of a lease that was given up. */
const nobody = 'nobody' as BoxId;

/** A lease while it is held. */
export type HeldLease = {
	readonly generation: number;
	/** @returns Milliseconds left; nothing may be ordered at zero or below. To be asked before each order. */
	readonly timeLeft: () => number;
};

/** What a lease needs. */
export type LeaseServices = {
	readonly self: BoxId;
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly log: EventLog;
};

type Seen = {
	readonly version: ObjectVersion;
	readonly object: LeaseObject | undefined;
	/** Monotonic milliseconds when this version was first seen. */
	readonly seenAt: number;
};

/** One duty's lease, as this box sees it. */
export class Lease {
	/**
	 * @param duty - Name of the duty.
	 * @param services - What it works with.
	 * @returns The lease, not held.
	 */
	static create(duty: string, services: LeaseServices): Lease {
		return new Lease(duty, services);
	}

	private seen: Seen | undefined;
	private validUntil = Number.NEGATIVE_INFINITY;

	private constructor(private readonly duty: string, private readonly services: LeaseServices) {}

	/** Whether this box holds the lease now. */
	get isHeld(): boolean {
		return this.services.clock.monotonic() < this.validUntil;
	}

	private get key(): string {
		return `leases/${this.duty}`;
	}

	/**
	 * Does a duty whenever this box holds its lease.
	 *
	 * @param work - The duty; interrupted when the lease is lost.
	 * @returns Runs until interrupted; gives the lease up then.
	 */
	whileHeld(work: (lease: HeldLease) => Effect.Effect<unknown>): Effect.Effect<never> {
		const turn = Effect.gen({self: this}, function * () {
			const generation = yield * this.campaign();
			this.services.log.write('leaseAcquired', {duty: this.duty, generation});
			const held: HeldLease = {generation, timeLeft: () => this.validUntil - this.services.clock.monotonic()};
			yield * Effect.raceFirst(work(held), this.keep());
			this.services.log.write('leaseLost', {duty: this.duty, generation});
		});
		return Effect.forever(turn.pipe(Effect.andThen(Effect.sleep(candidateInterval * Math.random()))))
			.pipe(Effect.onInterrupt(() => this.giveUp()));
	}

	/**
	 * Takes the lease if it is free. A write whose answer is lost is found by the next look.
	 *
	 * @returns The generation; `undefined` while somebody else may hold it.
	 */
	tryAcquire(): Effect.Effect<number | undefined, StoreFailure | VersionConflict> {
		return Effect.gen({self: this}, function * () {
			const {clock, self, store} = this.services;
			const seen = yield * this.look();
			if (!isFree(seen, self, clock.monotonic())) {
				return undefined;
			}

			const askedAt = clock.monotonic();
			const object: LeaseObject = {holder: self, generation: (seen.object?.generation ?? 0) + 1, renewal: 0};
			const version = yield * store.write(this.key, JSON.stringify(object), seen.version);
			this.note({version, object, seenAt: clock.monotonic()}, askedAt);
			return object.generation;
		});
	}

	/**
	 * Renews the lease. A store that is out leaves it to the term.
	 *
	 * @returns Whether somebody else holds the lease.
	 */
	renew(): Effect.Effect<boolean> {
		const {clock, store, self} = this.services;
		const askedAt = clock.monotonic();
		const seen = this.seen!;
		const object: LeaseObject = {...seen.object!, renewal: seen.object!.renewal + 1};
		return store.write(this.key, JSON.stringify(object), seen.version).pipe(
			Effect.map(version => {
				this.note({version, object, seenAt: clock.monotonic()}, askedAt);
				return false;
			}),
			Effect.catch(() => this.look().pipe(
				// A renewal whose answer was lost shows as ours; its time counts from the next one.
				Effect.map(now => now.object?.holder !== self || now.object.generation !== object.generation),
				Effect.catch(() => Effect.succeed(false)),
			)),
		);
	}

	/** @returns Ends with the generation when the lease is this box's. */
	private campaign(): Effect.Effect<number> {
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

	/** Reads the object; one that has not changed keeps the time it was first seen. */
	private look(): Effect.Effect<Seen, StoreFailure> {
		const {store, clock} = this.services;
		return store.read(this.key).pipe(Effect.map(({version, value}) => {
			if (this.seen?.version !== version) {
				const decoded = version === 0 ? undefined : decodeLease(value);
				this.seen = {
					version,
					object: decoded && Result.isSuccess(decoded) ? decoded.success : undefined,
					seenAt: clock.monotonic(),
				};
			}

			return this.seen;
		}));
	}

	/** @returns Renews until the lease is lost. */
	private keep(): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			for (;;) {
				const left = this.validUntil - this.services.clock.monotonic();
				if (left <= 0) {
					return;
				}

				yield * Effect.sleep(Math.min(renewInterval, left));
				const isLost = this.isHeld ? yield * this.renew() : true;
				if (isLost) {
					this.validUntil = Number.NEGATIVE_INFINITY;
					return;
				}
			}
		});
	}

	private note(seen: Seen, askedAt: number): void {
		this.seen = seen;
		this.validUntil = askedAt + leaseTerm - holderMargin;
	}

	/** Leaves the object without a holder, so that the next one need not wait. */
	private giveUp(): Effect.Effect<void> {
		return Effect.suspend(() => {
			if (!this.isHeld || !this.seen?.object) {
				return Effect.void;
			}

			this.validUntil = Number.NEGATIVE_INFINITY;
			const {object, version} = this.seen;
			return Effect.ignore(this.services.store.write(this.key, JSON.stringify({...object, holder: nobody}), version));
		});
	}
}

/** A holder that is gone is waited out from when its last renewal was first seen. */
function isFree({object, seenAt}: Seen, self: BoxId, now: number): boolean {
	return !object || object.holder === nobody || object.holder === self || now - seenAt > leaseTerm;
}
