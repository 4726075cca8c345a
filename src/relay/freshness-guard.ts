/**
 * Decides whether this box's copy of the configuration is fresh enough to act on.
 *
 * @remarks Source: docs/PLATFORM.md, "CONFIG, strict revocation".
 */
import type {RouteTableView} from '../routes/route-table-view.js';

/** The limit on how long a revoked key may still be accepted. */
export type RevocationBound = {
	/** Whether the limit holds even when the configuration cannot be refreshed. */
	readonly isStrict: boolean;
	/** Milliseconds after its revocation within which a key must be rejected. */
	readonly revoke: number;
};

/** Share of the limit up to which requests with keys are sent to replicas; the rest covers requests in transit. */
const maxProofAgeShare = 0.85;
/** Greatest age in milliseconds of the configuration's freshness proof at which a missing key or route counts as nonexistent. */
const maxProofAgeForAbsence = 1800;

/** Checks the age of the configuration before a request is sent or rejected. */
export class FreshnessGuard {
	/**
	 * @param table - The configuration in force.
	 * @param bound - Supplies the current limit.
	 * @returns The guard.
	 */
	static create(table: RouteTableView, bound: () => RevocationBound): FreshnessGuard {
		return new FreshnessGuard(table, bound);
	}

	private constructor(private readonly table: RouteTableView, private readonly bound: () => RevocationBound) {}

	/** Whether a request with a key may be sent to a replica now. */
	get allowsKeys(): boolean {
		const {isStrict, revoke} = this.bound();
		return !isStrict || this.table.proofAge < revoke * maxProofAgeShare;
	}

	/** Whether an unknown key or route may be reported as nonexistent. */
	get trustsAbsence(): boolean {
		return this.table.proofAge < maxProofAgeForAbsence;
	}
}
