/**
 * Order of client accounts in a shortage.
 *
 * @remarks
 * The load pattern: one account sends several times its usual rate. Its requests would take all the room that others wait for; ordered by
 * the work that each account was given, relative to its weight, the others are served first until it has no more than its share.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import {examinationInterval} from './fill-level.js';
import type {AccountShare} from './waiting-request.js';

/** Milliseconds for which a shortage is known after a decision reported one: within them, each waiting request is examined again. */
const shortageKnownFor = 2 * examinationInterval.max;

/** The position of an account; the one with the least goes first. */
export type AccountPosition = {virtualTime: number};

/** The order of the client accounts of one service. */
export class AccountOrder {
	/**
	 * @param clock - For the age of a shortage.
	 * @returns An order in which all accounts are equal.
	 */
	static create(clock: Clock): AccountOrder {
		return new AccountOrder(clock);
	}

	private readonly accounts = new Map<string | undefined, AccountPosition>();
	private shortUntil = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock) {}

	/** Whether accounts share the service at this time. */
	get isShort(): boolean {
		return this.clock.monotonic() < this.shortUntil;
	}

	/**
	 * @param account - Name of a client account.
	 * @returns Its position, which is kept up to date. An account without a share goes first: it was given nothing yet.
	 */
	positionOf(account: string | undefined): AccountPosition {
		return getOrCreate(this.accounts, account, () => ({virtualTime: 0}));
	}

	/**
	 * @param account - Name of a client account.
	 * @param share - Its share at this time.
	 */
	record(account: string | undefined, share: AccountShare | undefined): void {
		if (!share) {
			return;
		}

		this.positionOf(account).virtualTime = share.virtualTime;
		if (share.fraction < 1) {
			this.shortUntil = this.clock.monotonic() + shortageKnownFor;
		}
	}
}
