/**
 * Retry budget: limits the number of retries, so that retries do not worsen an overload of replicas. The limit holds for all boxes
 * together: each box may retry a fraction of its own requests, plus its share of the slack, and boxes lend each other what they do not need.
 *
 * @remarks Source: docs/DESIGN.md, "Retry budget".
 */
import type {Clock} from '../base/clock.js';
import {sumOf} from '../base/sum.js';
import {RetryPermit, type PermitParts} from './retry-permit.js';
import {RetryWindow, type RetryBound} from './retry-window.js';

/** Milliseconds for which a lent part of the budget may be used. */
export const loanLifetime = 500;
/** Smallest part of a retry that is lent. */
const minLoan = 0.001;
/** Factor on what is still missing after a first round. */
const surplusFactor = 2;
/** Tolerance for the rounding of sums of fractions. */
const roundingError = 1e-6;

/** Dependencies of a budget. */
export type ServiceRetryBudgetServices = {
	readonly clock: Clock;
	/** @returns The limit for all boxes. */
	readonly bound: () => RetryBound;
	/** @returns This box's fraction of the slack. */
	readonly share: () => number;
};

/** A part of the budget that another box has lent to this one. */
type Credit = {
	amount: number;
	/** Monotonic milliseconds at which this box asked for it. The other box lent it later than that. */
	readonly askedAt: number;
};

/** A part of the budget that this box has lent. */
type Loan = {readonly amount: number; readonly until: number};

/** What a decision on a retry was based on, for the log. */
export type RetryBasis = {
	/** Retries that the box may send, before those that other boxes have lent. */
	readonly room: number;
	/** Fraction of the slack that belongs to this box. */
	readonly share: number;
	readonly credit: number;
	/** Retries that are allowed and may still arrive at a replica, and parts that were lent. */
	readonly open: number;
};

/** The retry budget of one service on one box. */
export class ServiceRetryBudget {
	/**
	 * @param services - Its dependencies.
	 * @returns An unused budget.
	 */
	static create(services: ServiceRetryBudgetServices): ServiceRetryBudget {
		return new ServiceRetryBudget(services);
	}

	private readonly window: RetryWindow;
	private readonly permits = new Set<RetryPermit>();
	private credits: readonly Credit[] = [];
	private loans: readonly Loan[] = [];
	private readonly permitParts: PermitParts;

	private constructor(private readonly services: ServiceRetryBudgetServices) {
		this.window = RetryWindow.create(services.clock);
		this.permitParts = {
			isValid: askedAt => this.isValid(askedAt),
			hasRoom: () => this.ownRoom() >= -roundingError,
			onSettled: (permit, amount) => {
				this.permits.delete(permit);
				this.window.recordRetry(amount, services.clock.monotonic(), services.bound().window);
			},
		};
	}

	/** What a decision that is made now is based on. */
	get basis(): RetryBasis {
		return {
			room: rounded(this.ownRoom()), share: rounded(this.services.share()), credit: rounded(this.credit), open: rounded(this.open),
		};
	}

	/** Counts a request. */
	recordRequest(): void {
		this.window.recordRequest(this.services.bound().window);
	}

	/**
	 * Reserves a retry before it is sent.
	 *
	 * @returns A permit for one retry, which counts until it is settled; `undefined` if the budget is spent.
	 */
	reserve(): RetryPermit | undefined {
		const own = Math.min(1, Math.max(0, this.ownRoom()));
		const missing = 1 - own < roundingError ? 0 : 1 - own;
		if (missing > this.credit + roundingError) {
			return undefined;
		}

		const permit = RetryPermit.create(this.permitParts, {own: 1 - missing, lent: missing, askedAt: this.takeCredit(missing)});
		this.permits.add(permit);
		return permit;
	}

	/**
	 * @param count - Number of retries.
	 * @returns Number of retries to ask others for, so that this box may send that many. It is more than what is missing if others have lent a
	 * part already: some of them have nothing left.
	 */
	amountToBorrow(count: number): number {
		const {credit} = this;
		const missing = Math.max(0, count - Math.max(0, this.ownRoom()) - credit);
		return credit > 0 ? missing * surplusFactor : missing;
	}

	/**
	 * Lends a part of the budget to another box. It counts here as though it were used until the loan expires.
	 *
	 * @param amount - Retries that the other box asks for.
	 * @returns Retries that it may send within {@link loanLifetime}; may be a fraction.
	 */
	lend(amount: number): number {
		const {clock} = this.services;
		this.settleLoans();
		const granted = Math.min(amount, this.window.room(this.ownBound, this.open, loanLifetime));
		if (granted < minLoan) {
			return 0;
		}

		this.loans = [...this.loans, {amount: granted, until: clock.monotonic() + loanLifetime}];
		return granted;
	}

	/**
	 * Adds what another box has lent.
	 *
	 * @param amount - Retries that this box may send.
	 * @param askedAt - Monotonic milliseconds at which this box asked for them.
	 */
	addCredit(amount: number, askedAt: number): void {
		this.credits = [...this.credits.filter(credit => this.isValid(credit.askedAt)), {amount, askedAt}];
	}

	private get ownBound(): RetryBound {
		const {bound, share} = this.services;
		return {...bound(), slack: bound().slack * share()};
	}

	private get credit(): number {
		return sumOf(this.credits.filter(({askedAt}) => this.isValid(askedAt)).map(({amount}) => amount));
	}

	private get open(): number {
		return sumOf([...this.permits].map(({openAmount}) => openAmount)) + sumOf(this.loans.map(({amount}) => amount));
	}

	private ownRoom(): number {
		this.settleLoans();
		return this.window.room(this.ownBound, this.open);
	}

	/** An expired loan counts at the last moment at which it may have been used. */
	private settleLoans(): void {
		const now = this.services.clock.monotonic();
		const expired = this.loans.filter(({until}) => until <= now);
		if (expired.length > 0) {
			for (const {amount, until} of expired) {
				this.window.recordRetry(amount, until, this.services.bound().window);
			}

			this.loans = this.loans.filter(({until}) => until > now);
		}
	}

	private isValid(askedAt: number): boolean {
		return this.services.clock.ageOf(askedAt) < loanLifetime;
	}

	/** @returns When the oldest credit that was taken was asked for. */
	private takeCredit(amount: number): number {
		const usable = this.credits.filter(({askedAt}) => this.isValid(askedAt));
		let missing = amount;
		let oldest = this.services.clock.monotonic();
		for (const credit of usable) {
			const taken = Math.min(missing, credit.amount);
			if (taken > 0) {
				credit.amount -= taken;
				missing -= taken;
				oldest = Math.min(oldest, credit.askedAt);
			}
		}

		this.credits = usable.filter(credit => credit.amount > roundingError);
		return oldest;
	}
}

const rounded = (value: number): number => Math.round(value * 100) / 100;
