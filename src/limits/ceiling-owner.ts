/**
 * The granting side of a ceiling: one box for each row, chosen by rendezvous hash. Its state may be lost: it reserves a fair part for
 * each box whose grant it does not know.
 */
import {sumOf} from '../base/sum.js';
import type {Clock} from '../base/clock.js';
import type {BoxId} from '../base/identifiers.js';
import {
	fallbackDelay, fallbackMargin, grantLifetime, type CeilingDemand, type CeilingGrant,
} from './ceiling-grant.js';
import {divideByDemand} from './ceiling-division.js';

/** The last demand and grant of a box, in units a second. */
type BoxGrant = {
	readonly demand: number;
	readonly rate: number;
	readonly requestedAt: number;
};

/** Facts from the table and the box list. */
export type CeilingFacts = {
	/** @returns The ceiling of a row, in units a second; `undefined` where there is no such row. */
	readonly ceiling: (row: string) => number | undefined;
	/** @returns Names of all rows. */
	readonly rows: () => readonly string[];
	/** @returns All listed entry boxes, including this one. */
	readonly entryBoxes: () => readonly BoxId[];
};

/** Grants parts of the ceilings that this box owns. */
export class CeilingOwner {
	/**
	 * @param facts - From the table and the box list.
	 * @param clock - For the age of grants.
	 * @returns An owner without any grants.
	 */
	static create(facts: CeilingFacts, clock: Clock): CeilingOwner {
		return new CeilingOwner(facts, clock);
	}

	private readonly boxGrants = new Map<string, Map<BoxId, BoxGrant>>();
	private readonly startedAt: number;

	private constructor(private readonly facts: CeilingFacts, private readonly clock: Clock) {
		this.startedAt = clock.monotonic();
	}

	/**
	 * Grants parts of ceilings to a box.
	 *
	 * @param box - The box that requests the parts.
	 * @param demands - Its demand for each row.
	 * @returns A grant for each row that exists.
	 */
	grant(box: BoxId, demands: readonly CeilingDemand[]): readonly CeilingGrant[] {
		return demands.flatMap(demand => {
			const ceiling = this.facts.ceiling(demand.row);
			return ceiling === undefined ? [] : [{row: demand.row, rate: this.grantRow(box, demand, ceiling)}];
		});
	}

	private grantRow(box: BoxId, {row, rate: demand}: CeilingDemand, ceiling: number): number {
		const now = this.clock.monotonic();
		const boxGrants = this.boxGrants.get(row) ?? new Map<BoxId, BoxGrant>();
		this.boxGrants.set(row, boxGrants);
		const listed = this.facts.entryBoxes();
		const allBoxes = [...new Set([...listed, ...boxGrants.keys(), box])];
		const fairPart = ceiling / Math.max(1, new Set([...listed, box]).size);
		const isFirstRequest = !boxGrants.has(box);
		boxGrants.set(box, {demand, rate: boxGrants.get(box)?.rate ?? 0, requestedAt: now});

		const isActive = (other: BoxId) => now - (boxGrants.get(other)?.requestedAt ?? Number.NEGATIVE_INFINITY) <= grantLifetime;
		const otherBoxes = allBoxes.filter(other => other !== box);
		const reserve = (other: BoxId) => reserveFor(boxGrants.get(other), listed.includes(other) ? fairPart : 0, now);
		const budget = ceiling - sumOf(otherBoxes.filter(other => !isActive(other)).map(other => reserve(other)));
		const active = [box, ...otherBoxes.filter(other => isActive(other))];
		const parts = divideByDemand(budget, active.map(key => ({key, rate: boxGrants.get(key)!.demand})));
		const wanted = parts.find(({key}) => key === box)!.rate;
		const unreserved = ceiling - sumOf(otherBoxes.map(other => reserve(other)));
		const available = Math.max(0, Math.min(this.isStarting(now) ? fairPart : wanted, unreserved));
		// A box uses its fair part from its start. Boxes that were granted the whole ceiling before it was listed get less with their next request;
		// a lower grant until then would make it refuse requests although the ceiling may not be in use.
		const rate = isFirstRequest ? Math.max(available, fairPart) : available;
		boxGrants.set(box, {demand, rate, requestedAt: now});
		this.dropExpired(boxGrants, listed, now);
		return rate;
	}

	/** Whether grants of a previous owner, which this one does not know, may still be valid. */
	private isStarting(now: number): boolean {
		return now - this.startedAt < fallbackDelay;
	}

	private dropExpired(boxGrants: Map<BoxId, BoxGrant>, listed: readonly BoxId[], now: number): void {
		for (const [box, {requestedAt}] of boxGrants) {
			if (!listed.includes(box) && now - requestedAt > fallbackDelay + fallbackMargin) {
				boxGrants.delete(box);
			}
		}
	}
}

/**
 * The rate that a box may be using: its grant while that is valid; then the greater of the grant and the fair part, since the box falls back at
 * an unknown time; then its fair part.
 */
function reserveFor(boxGrant: BoxGrant | undefined, fairPart: number, now: number): number {
	if (!boxGrant) {
		return fairPart;
	}

	const age = now - boxGrant.requestedAt;
	if (age <= grantLifetime) {
		return boxGrant.rate;
	}

	return age <= fallbackDelay + fallbackMargin ? Math.max(boxGrant.rate, fairPart) : fairPart;
}
