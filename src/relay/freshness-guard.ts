/**
 * Decides whether what this box knows of the configuration is new enough to act on.
 *
 * @remarks Source: docs/PLATFORM.md, "CONFIG, strict revocation".
 */
import type {RouteTableView} from '../routes/route-table-view.js';

/** What the guard holds to. */
export type RevocationBound = {
	/** Whether keys that were taken away must not be used past the bound, whatever happens. */
	readonly isStrict: boolean;
	/** Milliseconds. */
	readonly revoke: number;
};

/** Part of the bound up to which requests with keys are sent; the rest is for what is on its way. */
const usedPart = 0.85;
/** Milliseconds up to which the absence of a key or route is believed. */
const absenceBelief = 1800;

/** The guard. */
export class FreshnessGuard {
	/**
	 * @param table - The configuration in force.
	 * @param bound - What to hold to.
	 * @returns The guard.
	 */
	static create(table: RouteTableView, bound: () => RevocationBound): FreshnessGuard {
		return new FreshnessGuard(table, bound);
	}

	private constructor(private readonly table: RouteTableView, private readonly bound: () => RevocationBound) {}

	/** Whether a request with a key may be sent now. */
	get allowsKeys(): boolean {
		const {isStrict, revoke} = this.bound();
		return !isStrict || this.table.proofAge < revoke * usedPart;
	}

	/** Whether a key or route that is not known may be said not to exist. */
	get believesAbsence(): boolean {
		return this.table.proofAge < absenceBelief;
	}
}
