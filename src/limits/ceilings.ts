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
type Spending = {
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

	private readonly spendings = new Map<string, Spending>();

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
		const spending = this.spendingOf(row, now);
		spending.demand.note(cost, now);
		const rate = this.rateOf(spending, now);
		spending.bucket.setRate(rate, now);
		if (spending.bucket.take(cost, now)) {
			return 0;
		}

		// A bucket with rate zero has no finite wait time; the next grant arrives within the lifetime of a grant.
		return rate > 0 ? Math.max(1, spending.bucket.waitTime(now)) : grantLifetime;
	}

	/**
	 * Returns the units that a request did not use.
	 *
	 * @param row - Name of the row.
	 * @param units - Unused units.
	 */
	giveBack(row: string, units: number): void {
		this.spendings.get(row)?.bucket.giveBack(units);
	}

	/**
	 * @param row - Name of the row.
	 * @returns Units a second that this box may admit now.
	 */
	rate(row: string): number {
		const now = this.clock.monotonic();
		return this.rateOf(this.spendingOf(row, now), now);
	}

	/**
	 * @param owner - A box.
	 * @param reachable - Reachable boxes, including this one.
	 * @returns The demands to send to that box: those of the rows it owns, except while a grant of a previous owner may still be valid.
	 */
	demandsFor(owner: BoxId, reachable: readonly BoxId[]): readonly CeilingDemand[] {
		const now = this.clock.monotonic();
		this.forgetRemoved();
		return this.facts.rows()
			.map(row => this.spendingOf(row, now))
			.filter(spending => rankOwners(spending.row, reachable)[0] === owner)
			.filter(spending => spending.owner === undefined || spending.owner === owner || now - spending.grantedAt > fallbackDelay)
			.map(({row, demand}) => ({row, rate: demand.rate(now)}));
	}

	/**
	 * Applies the grants of an owner.
	 *
	 * @param owner - The box that granted them.
	 * @param grants - The grants.
	 * @param askedAt - Monotonic milliseconds, taken before the request to the owner was sent.
	 */
	takeGrants(owner: BoxId, grants: readonly CeilingGrant[], askedAt: number): void {
		for (const {row, rate} of grants) {
			const spending = this.spendings.get(row);
			if (spending && askedAt >= spending.grantedAt) {
				spending.owner = owner;
				spending.granted = rate;
				spending.grantedAt = askedAt;
			}
		}
	}

	private spendingOf(row: string, now: number): Spending {
		const known = this.spendings.get(row);
		if (known) {
			return known;
		}

		const spending: Spending = {
			row,
			bucket: TokenBucket.create(now, this.fairPart(row)),
			demand: DemandMeter.create(now),
			owner: undefined,
			granted: 0,
			grantedAt: Number.NEGATIVE_INFINITY,
		};
		this.spendings.set(row, spending);
		return spending;
	}

	private rateOf(spending: Spending, now: number): number {
		const ceiling = this.facts.ceiling(spending.row) ?? 0;
		const age = now - spending.grantedAt;
		if (age <= grantLifetime) {
			return Math.min(spending.granted, ceiling);
		}

		const fairPart = this.fairPart(spending.row);
		return age <= fallbackDelay ? Math.min(spending.granted, fairPart) : fairPart;
	}

	private fairPart(row: string): number {
		const boxes = new Set([...this.facts.entryBoxes(), this.self]);
		return (this.facts.ceiling(row) ?? 0) / boxes.size;
	}

	private forgetRemoved(): void {
		for (const row of this.spendings.keys()) {
			if (this.facts.ceiling(row) === undefined) {
				this.spendings.delete(row);
			}
		}
	}
}
