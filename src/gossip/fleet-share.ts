/**
 * The fraction of a limit for the whole fleet that one box may use without asking the others. The fractions of all boxes add up to at most
 * one, also while boxes start and stop and while the fleet is partitioned.
 *
 * @remarks Source: docs/DESIGN.md, "Retry budget".
 */
import type {Clock} from '../base/clock.js';

/** Dependencies of the share. */
export type FleetShareServices = {
	readonly clock: Clock;
	/** @returns Number of boxes that this box knows of, including itself; boxes without messages are forgotten after a while. */
	readonly size: () => number;
	/** @returns Whether this box and all others that it knows of receive each other's messages. */
	readonly isConnected: () => boolean;
	/**
	 * @returns Milliseconds for which a box counts what it used of the limit. Before a box joins, an earlier start of it may have used its
	 * fraction, or the others, which did not know it.
	 */
	readonly memory: () => number;
	/** @returns Whether the fleet has just been started for the first time, so that no earlier process has used anything. */
	readonly isNewFleet: () => boolean;
};

/**
 * Milliseconds for which the fleet must have been smaller before its boxes use larger fractions. The boxes that were lost may run in another
 * part of a partitioned fleet, which by then has noticed that it is the smaller part and has stopped using its fractions.
 */
const shrinkDelay = 30_000;

/** The share of one box. */
export class FleetShare {
	/**
	 * @param services - Its dependencies.
	 * @returns A share of zero, which grows once the box knows the others.
	 */
	static create(services: FleetShareServices): FleetShare {
		return new FleetShare(services);
	}

	/** Number of boxes among which a limit is divided. */
	private size = 1;
	/** A majority that has been known since then, and never more than it; `undefined` if all boxes are known, or no majority. */
	private smaller: {readonly since: number; readonly size: number} | undefined;
	/** Monotonic milliseconds at which this box joined the others; `undefined` before, and once it has lost the majority of them. */
	private joinedAt: number | undefined;

	private constructor(private readonly services: FleetShareServices) {}

	/** Updates the share. To be called about once a second. */
	update(): void {
		const {clock, isConnected, isNewFleet} = this.services;
		const now = clock.monotonic();
		const size = this.services.size();
		if (!this.isMajority(size)) {
			this.joinedAt = undefined;
			this.smaller = undefined;
			return;
		}

		if (this.joinedAt === undefined && isConnected()) {
			this.joinedAt = isNewFleet() ? Number.NEGATIVE_INFINITY : now;
		}

		if (size >= this.size) {
			this.size = size;
			this.smaller = undefined;
			return;
		}

		if (!this.smaller || size > this.smaller.size) {
			this.smaller = {since: now, size};
		}

		if (now - this.smaller.since >= shrinkDelay) {
			this.size = this.smaller.size;
			this.smaller = undefined;
		}
	}

	/** Fraction of a limit for the whole fleet, from zero to one. */
	get fraction(): number {
		const {clock, memory} = this.services;
		const size = this.services.size();
		const hasShare = this.joinedAt !== undefined && clock.monotonic() - this.joinedAt >= memory() && this.isMajority(size);
		return hasShare ? 1 / Math.max(this.size, size) : 0;
	}

	/** At most one part of a partitioned fleet is more than half of it. */
	private isMajority(size: number): boolean {
		return size * 2 > this.size;
	}
}
