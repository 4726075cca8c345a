/**
 * Permission to send one retry. It counts against the budget from its reservation until the retry can no longer arrive at a replica, and
 * for one window after that.
 */

/** The budget that a permit belongs to. */
export type PermitParts = {
	/** @returns Whether a loan that was asked for at that time may still be used. */
	readonly isValid: (askedAt: number) => boolean;
	/** @returns Whether all open permits are within the budget. */
	readonly hasRoom: () => boolean;
	/** Called once with the part of a retry that counts in the window of this box. */
	readonly onSettled: (permit: RetryPermit, amount: number) => void;
};

/** What a permit was granted from. */
export type PermitSource = {
	/** Part of the retry that this box's own budget allows. */
	readonly own: number;
	/** Part that other boxes have lent, in whose windows it counts. */
	readonly lent: number;
	/** Monotonic milliseconds at which the lent part was asked for. */
	readonly askedAt: number;
};

/** A permit for one retry. */
export class RetryPermit {
	/**
	 * @param parts - The budget that it belongs to.
	 * @param source - What it was granted from.
	 * @returns An open permit.
	 */
	static create(parts: PermitParts, source: PermitSource): RetryPermit {
		return new RetryPermit(parts, source);
	}

	private isSettled = false;

	private constructor(private readonly parts: PermitParts, private readonly source: PermitSource) {}

	/** Part of the retry that counts at this box while the permit is open. The lent part does so once its loan has expired. */
	get openAmount(): number {
		const {own, lent, askedAt} = this.source;
		return lent > 0 && !this.parts.isValid(askedAt) ? own + lent : own;
	}

	/** Whether the retry may be sent now: it may have waited since the reservation, and the requests that allowed it may have passed. */
	get mayBeSent(): boolean {
		return this.openAmount === 0 || this.parts.hasRoom();
	}

	/** Counts the retry at the present time. To be called when it can no longer arrive at a replica. */
	settle(): void {
		this.close(this.openAmount);
	}

	/** Returns the permit of a retry that was not sent. */
	release(): void {
		this.close(0);
	}

	private close(amount: number): void {
		if (!this.isSettled) {
			this.isSettled = true;
			this.parts.onSettled(this, amount);
		}
	}
}
