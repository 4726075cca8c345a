/**
 * One bucket for each tenant over all machines: every machine counts what it lets pass, tells the others, and takes
 * what they tell from its own copy of the bucket.
 *
 * @remarks
 * What two machines let pass at the same moment neither knows of; that excess is at most demand times the time
 * between two exchanges, and it is paid back, since the bucket goes below zero. Machines that cannot hear each other
 * leave each other a fair part. Source: docs/PLATFORM.md, "QUOTA".
 */
import type {Clock} from '../base/clock.js';

/** A tenant's bound for all machines together. */
export type QuotaBound = {
	/** Units a second; zero stands for no bound. */
	readonly rate: number;
	/** Units. */
	readonly burst: number;
};

/** What a machine tells of a tenant: units let pass since it started, and how full its copy of the bucket is. */
export type QuotaCount = {
	readonly tenant: string;
	readonly passed: number;
	readonly level: number;
};

/** What is known of the other machines. */
export type QuotaFacts = {
	/** @returns The tenant's bound; `undefined` where there is no such tenant. */
	readonly bound: (tenant: string) => QuotaBound | undefined;
	/** @returns Part of all machines that are heard of, this one too; above 0, at most 1. */
	readonly heardPart: () => number;
};

type Bucket = {
	level: number;
	refilledAt: number;
	passed: number;
};

const millisecondsPerSecond = 1000;
/** Part of the burst that a machine has that starts anew: others, or its own last start, may just have used the rest. */
const restartPart = 0.5;

/** The buckets of all tenants. */
export class QuotaLedger {
	/**
	 * @param facts - What is known of tenants and machines.
	 * @param clock - For refilling.
	 * @param startsFull - Whether nobody can have used anything yet: the whole system starts for the first time.
	 * @returns A ledger.
	 */
	static create(facts: QuotaFacts, clock: Clock, startsFull: boolean): QuotaLedger {
		return new QuotaLedger(facts, clock, startsFull);
	}

	private readonly buckets = new Map<string, Bucket>();
	private readonly peers = new Map<string, Map<string, number>>();

	private constructor(
		private readonly facts: QuotaFacts,
		private readonly clock: Clock,
		private readonly startsFull: boolean,
	) {}

	/** What this machine tells the others. */
	get counts(): readonly QuotaCount[] {
		return [...this.buckets].map(([tenant, bucket]) => {
			this.refill(tenant, bucket);
			return {tenant, passed: Math.round(bucket.passed), level: Math.round(bucket.level)};
		});
	}

	/**
	 * Lets a request pass or not.
	 *
	 * @param tenant - Whose it is.
	 * @param units - How much it counts.
	 * @returns Zero where it may pass; otherwise the milliseconds after which to come back.
	 */
	take(tenant: string, units: number): number {
		const bound = this.facts.bound(tenant);
		if (!bound || bound.rate <= 0) {
			return 0;
		}

		const bucket = this.bucketOf(tenant);
		this.refill(tenant, bucket);
		if (bucket.level <= 0) {
			return Math.max(1, -bucket.level / bound.rate * millisecondsPerSecond);
		}

		bucket.level -= units;
		bucket.passed += units;
		return 0;
	}

	/**
	 * Takes back what a request counted that has not run.
	 *
	 * @param tenant - Whose it was.
	 * @param units - How much it counted.
	 */
	giveBack(tenant: string, units: number): void {
		const bucket = this.buckets.get(tenant);
		if (bucket) {
			bucket.level += units;
			bucket.passed -= units;
		}
	}

	/**
	 * Takes what another machine tells.
	 *
	 * @param peer - One start of one machine.
	 * @param counts - What it tells.
	 * @param meeting - How it is met: `known` has been heard lately; `younger` is new and began after this one;
	 * `other` is older, or was not heard for a while, so that its part was left to it.
	 */
	takeCounts(peer: string, counts: readonly QuotaCount[], meeting: 'known' | 'younger' | 'other'): void {
		const known = this.peers.get(peer) ?? new Map<string, number>();
		this.peers.set(peer, known);
		for (const {tenant, passed, level} of counts) {
			const before = known.get(tenant) ?? 0;
			known.set(tenant, passed);
			if (!this.facts.bound(tenant)) {
				continue;
			}

			const bucket = this.bucketOf(tenant);
			this.refill(tenant, bucket);
			if (meeting === 'other') {
				bucket.level = Math.min(bucket.level, level);
			} else {
				bucket.level -= passed - before;
			}
		}
	}

	/** @param peer - One start of one machine, which is gone. */
	forget(peer: string): void {
		this.peers.delete(peer);
	}

	private bucketOf(tenant: string): Bucket {
		const known = this.buckets.get(tenant);
		if (known) {
			return known;
		}

		const bucket: Bucket = {
			level: (this.facts.bound(tenant)?.burst ?? 0) * (this.startsFull ? 1 : restartPart * this.facts.heardPart()), refilledAt: this.clock.monotonic(), passed: 0,
		};
		this.buckets.set(tenant, bucket);
		return bucket;
	}

	private refill(tenant: string, bucket: Bucket): void {
		const now = this.clock.monotonic();
		const elapsed = now - bucket.refilledAt;
		const bound = this.facts.bound(tenant);
		bucket.refilledAt = now;
		if (bound) {
			const part = this.facts.heardPart();
			bucket.level = Math.min(bound.burst * part, bucket.level + (elapsed * bound.rate * part / millisecondsPerSecond));
		}
	}
}
