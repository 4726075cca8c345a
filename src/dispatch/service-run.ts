/**
 * Runs a call to a plain service, with retries.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import type {
	AttemptId, ClientAccountName, RequestKey,
} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import type {ClaimRequest, StoredAnswer} from '../claims/claim.js';
import {rowName, type Row, type Service} from '../table/table.js';
import type {PlainAnswer} from '../upstream/plain-service.js';
import type {UpstreamFailure} from '../upstream/upstream-failure.js';
import {runWithClaim} from './claimed-run.js';
import type {DispatchServices} from './dispatch-services.js';
import {
	backoff, evaluateFailure, passCeiling, refuseWithoutUpstream,
} from './dispatch-outcome.js';
import type {ServiceLink} from './upstream-links.js';

/** Maximum size in bytes of an answer that is stored with its claim. */
const maxKeptAnswer = 1024;

/** A call to run. */
export type ServicePlan = {
	readonly account: ClientAccountName;
	readonly key: RequestKey | undefined;
	readonly attempt: AttemptId;
	readonly fingerprint: string;
	readonly row: Row;
	readonly service: Service;
	readonly path: string;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};

/** An answer, and whether it is the stored answer of an earlier run. */
export type ServiceAnswer = PlainAnswer & {readonly isReplayed: boolean};

const toKeptAnswer = (answer: PlainAnswer): StoredAnswer | undefined => answer.body.length > maxKeptAnswer
	? undefined
	: {status: answer.status, contentType: answer.contentType, body: Buffer.from(answer.body).toString('base64')};

const replayedAnswer = (answer: StoredAnswer): ServiceAnswer => ({
	status: answer.status, contentType: answer.contentType, body: Buffer.from(answer.body, 'base64'), isReplayed: true,
});

/** Runs one call. */
export class ServiceRun {
	/**
	 * @param services - The services of this box.
	 * @param plan - The call.
	 * @returns The run; `run` starts it.
	 */
	static create(services: DispatchServices, plan: ServicePlan): ServiceRun {
		return new ServiceRun(services, plan);
	}

	private attempts = 0;
	/** Consecutive attempts that were cut. */
	private consecutiveCuts = 0;
	/** Whether an upstream may have run the call in an earlier attempt. */
	private mayHaveRun = false;

	private constructor(private readonly services: DispatchServices, private readonly plan: ServicePlan) {}

	/** @returns The answer; a refusal says whether the call may have run. */
	run(): Effect.Effect<ServiceAnswer, Refusal> {
		const {row, service} = this.plan;
		const passed = this.services.gates.gate(service.pool).run(row, 1, this.serveWithClaim());
		return passCeiling(this.services, row, 1).pipe(Effect.andThen(passed));
	}

	private serveWithClaim(): Effect.Effect<ServiceAnswer, Refusal> {
		const {account, key, fingerprint, attempt, row} = this.plan;
		if (row.repeatable || key === undefined) {
			return this.serve();
		}

		const claim: ClaimRequest = {
			account, key, fingerprint, attempt,
		};
		return runWithClaim(this.services.ledger, claim, this.serve(), toKeptAnswer)
			.pipe(Effect.catchTag('KeptAnswerFound', ({answer}) => Effect.succeed(replayedAnswer(answer))));
	}

	private serve(): Effect.Effect<ServiceAnswer, Refusal> {
		return Effect.gen({self: this}, function * () {
			let failedLink: ServiceLink | undefined;
			for (;;) {
				const link = yield * this.chooseService(failedLink);
				this.attempts++;
				const answer = yield * this.attempt(link).pipe(Effect.catch(error => this.afterFailure(link, error)));
				if (answer) {
					return answer;
				}

				failedLink = link;
			}
		});
	}

	private chooseService(failedLink: ServiceLink | undefined): Effect.Effect<ServiceLink, Refusal> {
		const {service} = this.plan;
		const links = this.services.links.plainServices(service.pool);
		const others = links.filter(link => link !== failedLink);
		const candidates = others.length > 0 ? others : links;
		if (candidates.length === 0) {
			return Effect.fail(refuseWithoutUpstream(service.pool, this.mayHaveRun));
		}

		const state = this.services.policy.choose(candidates.map(link => link.state), {
			prompt: {tokens: 0, blocks: []}, latencyWeight: service.latencyWeight,
		});
		return Effect.succeed(candidates.find(link => link.state === state)!);
	}

	private attempt(link: ServiceLink): Effect.Effect<ServiceAnswer, UpstreamFailure> {
		const {state} = link;
		const {clock} = this.services;
		return Effect.suspend(() => {
			const startedAt = clock.monotonic();
			state.begin();
			return link.service.call({
				path: this.plan.path,
				contentType: this.plan.contentType,
				body: this.plan.body,
				key: this.plan.key,
				timeout: Math.max(1, this.plan.deadlineAt - startedAt),
				memory: this.services.answers,
			}).pipe(Effect.map(answer => {
				const duration = clock.monotonic() - startedAt;
				state.recordFirstToken(duration);
				state.recordSuccess(duration);
				this.services.gates.budget(this.plan.service.pool).deposit();
				return {...answer, isReplayed: false};
			}));
		}).pipe(Effect.ensuring(Effect.sync(() => {
			state.end();
		})));
	}

	/** @returns `undefined` to retry, after a backoff. */
	private afterFailure(link: ServiceLink, failure: UpstreamFailure): Effect.Effect<undefined, Refusal> {
		this.consecutiveCuts = failure.reason === 'cut' ? this.consecutiveCuts + 1 : 0;
		const refusal = evaluateFailure(this.services, {
			failure,
			upstream: link.state,
			isRepeatable: this.plan.row.repeatable,
			hasBegun: false,
			mayHaveRun: this.mayHaveRun,
			attempts: this.attempts,
			cutsWithoutProgress: this.consecutiveCuts,
			pool: this.plan.service.pool,
		});
		this.mayHaveRun ||= failure.verdict !== 'not-run';
		if (refusal) {
			return Effect.fail(refusal);
		}

		if (this.services.clock.monotonic() >= this.plan.deadlineAt) {
			return Effect.fail(Refusal.create('deadline-passed', 'No answer came before the deadline.', {verdict: this.mayHaveRun ? 'may-have-run' : 'not-run'}));
		}

		return Effect.as(Effect.sleep(backoff(this.attempts)), undefined);
	}
}
