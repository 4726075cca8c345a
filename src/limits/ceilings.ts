/**
 * The spending side of ceilings: each box tracks, for each row, the rate that it may use.
 */
import type {Clock} from '../base/clock.js';
import type {BoxId} from '../base/identifiers.js';
import {rankOwners} from '../base/rendezvous.js';
import {
	fallbackDelay, grantLifetime, type CeilingDemand, type CeilingGrant,
} from './ceiling-grant.js';
import type {CeilingFacts} from './ceiling-owner.js';
import {DemandMeter} from './demand-meter.js';
import {TokenBucket} from './token-bucket.js';

/** Grant and usage of a row of the table at this box. */
type RowUsage = {
	readonly row: string;
	readonly bucket: TokenBucket;
	readonly demand: DemandMeter;
	/** The box that granted the rate; `undefined` before the first grant. */
	owner: BoxId | undefined;
	/** Granted rate, in units a second. */
	granted: number;
	/** Monotonic milliseconds at which the grant was requested. */
	grantedAt: number;
};

/** Admits requests within the granted parts of ceilings. */
export class Ceilings {
	/**
	 * @param self - This box.
	 * @param facts - From the table and the box list.
	 * @param clock - For the age of grants.
	 * @returns Ceilings without traffic.
	 */
	static create(self: BoxId, facts: CeilingFacts, clock: Clock): Ceilings {
		return new Ceilings(self, facts, clock);
	}

	private readonly usages = new Map<string, RowUsage>();

	private constructor(
		private readonly self: BoxId,
		private readonly facts: CeilingFacts,
		private readonly clock: Clock,
	) {}

	/**
	 * Admits or rejects a request.
	 *
	 * @param row - Name of the row that governs it.
	 * @param cost - Units.
	 * @returns Zero where the request is admitted; otherwise the milliseconds after which to retry.
	 */
	take(row: string, cost: number): number {
		const now = this.clock.monotonic();
		const usage = this.usageOf(row, now);
		usage.demand.add(cost, now);
		const rate = this.rateOf(usage, now);
		usage.bucket.setRate(rate, now);
		if (usage.bucket.take(cost, now)) {
			return 0;
		}

		// A bucket with rate zero has no finite wait time; the next grant arrives within the lifetime of a grant.
		return rate > 0 ? Math.max(1, usage.bucket.waitTime(now)) : grantLifetime;
	}

	/**
	 * Returns the units that a request did not use.
	 *
	 * @param row - Name of the row.
	 * @param units - Unused units.
	 */
	giveBack(row: string, units: number): void {
		this.usages.get(row)?.bucket.giveBack(units);
	}

	/**
	 * @param row - Name of the row.
	 * @returns Units a second that this box may admit now.
	 */
	rate(row: string): number {
		const now = this.clock.monotonic();
		return this.rateOf(this.usageOf(row, now), now);
	}

	/**
	 * @param owner - A box.
	 * @param reachable - Reachable boxes, including this one.
	 * @returns The demands to send to that box: those of the rows it owns, except while a grant of a previous owner may still be valid.
	 */
	demandsFor(owner: BoxId, reachable: readonly BoxId[]): readonly CeilingDemand[] {
		const now = this.clock.monotonic();
		this.dropRemovedRows();
		return this.facts.rows()
			.map(row => this.usageOf(row, now))
			.filter(usage => rankOwners(usage.row, reachable)[0] === owner)
			.filter(usage => usage.owner === undefined || usage.owner === owner || now - usage.grantedAt > fallbackDelay)
			.map(({row, demand}) => ({row, rate: demand.rate(now)}));
	}

	/**
	 * Applies the grants of an owner.
	 *
	 * @param owner - The box that granted them.
	 * @param grants - The grants.
	 * @param askedAt - Monotonic milliseconds, taken before the request to the owner was sent.
	 */
	applyGrants(owner: BoxId, grants: readonly CeilingGrant[], askedAt: number): void {
		for (const {row, rate} of grants) {
			const usage = this.usages.get(row);
			if (usage && askedAt >= usage.grantedAt) {
				usage.owner = owner;
				usage.granted = rate;
				usage.grantedAt = askedAt;
			}
		}
	}

	private usageOf(row: string, now: number): RowUsage {
		const known = this.usages.get(row);
		if (known) {
			return known;
		}

		const usage: RowUsage = {
			row,
			bucket: TokenBucket.create(now, this.fairPart(row)),
			demand: DemandMeter.create(now),
			owner: undefined,
			granted: 0,
			grantedAt: Number.NEGATIVE_INFINITY,
		};
		this.usages.set(row, usage);
		return usage;
	}

	private rateOf(usage: RowUsage, now: number): number {
		const ceiling = this.facts.ceiling(usage.row) ?? 0;
		const age = now - usage.grantedAt;
		if (age <= grantLifetime) {
			return Math.min(usage.granted, ceiling);
		}

		const fairPart = this.fairPart(usage.row);
		return age <= fallbackDelay ? Math.min(usage.granted, fairPart) : fairPart;
	}

	private fairPart(row: string): number {
		const boxes = new Set([...this.facts.entryBoxes(), this.self]);
		return (this.facts.ceiling(row) ?? 0) / boxes.size;
	}

	private dropRemovedRows(): void {
		for (const row of this.usages.keys()) {
			if (this.facts.ceiling(row) === undefined) {
				this.usages.delete(row);
			}
		}
	}
}
