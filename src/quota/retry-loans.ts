/**
 * Asks other boxes to lend parts of their retry budgets when the budget of this box is spent, and answers such requests.
 *
 * @remarks Source: docs/DESIGN.md, "Retry budget".
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {ServiceRetryBudget} from './service-retry-budget.js';

/** A request for a loan. */
export type LoanRequest = {
	/** Identifies the request and the process that sent it. */
	readonly id: string;
	readonly service: string;
	/** Number of retries that the other box is asked for. */
	readonly amount: number;
};

/** The answer to a request for a loan. */
export type LoanGrant = {
	readonly id: string;
	/** Number of retries that were lent; may be a fraction. */
	readonly amount: number;
};

/** Dependencies of the loans. */
export type RetryLoansServices = {
	readonly clock: Clock;
	/** Distinguishes the requests of this process from those of earlier ones on the same box. */
	readonly incarnation: string;
	/** @returns The budget of a service. */
	readonly budgetOf: (service: string) => ServiceRetryBudget;
	/**
	 * @param create - Creates the request, given the number of boxes that are asked.
	 * @returns Number of boxes that were asked.
	 */
	readonly ask: (create: (boxes: number) => LoanRequest) => number;
	/** Called with the amount that was lent to this box. */
	readonly onBorrowed: (service: string, amount: number) => void;
};

/** Milliseconds in which requests that need a retry at the same time join one round. */
const batchDelay = 2;
/** Milliseconds that the answers of other boxes are waited for. */
const answerTimeout = 40;
/** Milliseconds after a round without a loan in which the other boxes are not asked again. */
const exhaustedPause = 250;
/** Smallest amount of a round that counts as a loan. */
const minRound = 0.1;

/** A round of requests to other boxes. */
type Round = {
	readonly service: string;
	/** One for each retry that is waited for. */
	readonly listeners: Array<() => void>;
	id: string | undefined;
	askedAt: number;
	/** Boxes that have not answered yet. */
	unanswered: number;
	readonly answered: Set<string>;
	/** Number of retries that each box was asked for. */
	asked: number;
	borrowed: number;
};

/** The loans of one box. */
export class RetryLoans {
	/**
	 * @param services - Their dependencies.
	 * @returns Loans of which none was requested yet.
	 */
	static create(services: RetryLoansServices): RetryLoans {
		return new RetryLoans(services);
	}

	private readonly rounds = new Map<string, Round>();
	/** Monotonic milliseconds until which no box is asked, by service. */
	private readonly exhaustedUntil = new Map<string, number>();
	private requests = 0;

	private constructor(private readonly services: RetryLoansServices) {}

	/**
	 * Asks the other boxes for one retry.
	 *
	 * @param service - Name of a service.
	 * @returns An effect that yields, once the others have answered or the time for that has passed, whether they were asked.
	 */
	borrow(service: string): Effect.Effect<boolean> {
		return Effect.callback<boolean>(resume => {
			if (this.services.clock.monotonic() < (this.exhaustedUntil.get(service) ?? 0)) {
				resume(Effect.succeed(false));
				return;
			}

			const round = getOrCreate(this.rounds, service, () => this.begin(service));
			round.listeners.push(() => {
				resume(Effect.succeed(true));
			});
		});
	}

	/**
	 * @param request - A request of another box.
	 * @returns The answer.
	 */
	grant({id, service, amount}: LoanRequest): LoanGrant {
		return {id, amount: amount > 0 ? this.services.budgetOf(service).lend(amount) : 0};
	}

	/**
	 * Applies the answer of another box.
	 *
	 * @param grant - The answer.
	 * @param box - The box that sent it; a repeated answer of the same box is ignored.
	 */
	applyGrant({id, amount}: LoanGrant, box: string): void {
		const round = [...this.rounds.values()].find(one => one.id === id);
		if (!round || round.answered.has(box) || amount < 0 || amount > round.asked) {
			return;
		}

		round.answered.add(box);
		if (amount > 0) {
			round.borrowed += amount;
			this.services.budgetOf(round.service).addCredit(amount, round.askedAt);
		}

		round.unanswered--;
		if (round.unanswered <= 0) {
			this.end(round);
		}
	}

	private begin(service: string): Round {
		const round: Round = {
			service, listeners: [], id: undefined, askedAt: 0, unanswered: 0, answered: new Set(), asked: 0, borrowed: 0,
		};
		setTimeout(() => {
			this.ask(round);
		}, batchDelay);
		return round;
	}

	private ask(round: Round): void {
		const {clock, incarnation, ask} = this.services;
		const {service} = round;
		this.requests++;
		const id = `${incarnation}-${this.requests}`;
		round.id = id;
		round.askedAt = clock.monotonic();
		const amount = this.services.budgetOf(service).amountToBorrow(round.listeners.length);
		round.unanswered = amount === 0
			? 0
			: ask(boxes => {
				round.asked = amount / boxes;
				return {id, service, amount: round.asked};
			});
		if (round.unanswered === 0) {
			this.end(round);
			return;
		}

		setTimeout(() => {
			this.end(round);
		}, answerTimeout);
	}

	private end(round: Round): void {
		if (this.rounds.get(round.service) !== round) {
			return;
		}

		this.rounds.delete(round.service);
		if (round.borrowed > 0) {
			this.services.onBorrowed(round.service, round.borrowed);
		}

		if (round.borrowed < minRound) {
			this.exhaustedUntil.set(round.service, this.services.clock.monotonic() + exhaustedPause);
		}

		for (const listener of round.listeners) {
			listener();
		}
	}
}
