/**
 * Runs a chat request until its answer is complete, with as many attempts at engines as needed and allowed.
 */
import * as Effect from 'effect/Effect';
import {AttemptId} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import type {RequestRecord} from '../records/request-record.js';
import type {Prompt} from '../routing/prefix-cache-estimate.js';
import {rowName, type Row, type Service} from '../table/table.js';
import type {UpstreamFailure} from '../upstream/upstream-failure.js';
import {ChatAttempt, type AttemptOutcome} from './chat-attempt.js';
import {runWithClaim} from './claimed-run.js';
import {
	backoff, evaluateFailure, passCeiling, refuseWithoutUpstream,
} from './dispatch-outcome.js';
import type {DispatchServices} from './dispatch-services.js';
import type {EngineLink} from './upstream-links.js';

/** Milliseconds between two searches for an engine when a stream in progress finds none. */
const engineSearchInterval = 100;

/** Why a stream continues on another engine. */
type MoveCause = 'leaving' | 'failure' | 'caller-resumed' | 'box-left';

/** The request to run and its limits. */
export type ChatPlan = {
	readonly row: Row;
	readonly service: Service;
	readonly prompt: Prompt;
	/** Maximum number of tokens of the answer. */
	readonly maximumTokens: number;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
	/** `new`: the request has to be admitted and claimed first. The other values continue a request that already was. */
	readonly origin: 'new' | 'caller-resumed' | 'box-left';
};

/** Runs one chat request. */
export class ChatRun {
	/**
	 * @param services - The services of this box.
	 * @param record - Receives the answer.
	 * @param plan - The request and its limits.
	 * @returns The run; `run` starts it.
	 */
	static create(services: DispatchServices, record: RequestRecord, plan: ChatPlan): ChatRun {
		return new ChatRun(services, record, plan);
	}

	private attempts = 0;
	/** Consecutive attempts that were cut before any token arrived. */
	private cutsWithoutProgress = 0;
	/** Position of the record when the last attempt started. */
	private attemptStart = 0;
	/** Whether an engine may have run the request in an earlier attempt. */
	private mayHaveRun = false;
	private moveCause: MoveCause | undefined;
	/** The engine of the last attempt, which holds the KV cache of the request. */
	private source: EngineLink | undefined;

	private constructor(
		private readonly services: DispatchServices,
		private readonly record: RequestRecord,
		private readonly plan: ChatPlan,
	) {
		this.moveCause = plan.origin === 'new' ? undefined : plan.origin;
	}

	/** @returns Completes when the record has ended; interruption cancels the request at the engine. */
	run(): Effect.Effect<void> {
		const {records} = this.services;
		return this.serveAdmitted().pipe(
			Effect.map(() => {
				this.finishRecord();
			}),
			Effect.catchTag('Refusal', refusal => Effect.sync(() => {
				this.record.refuse(refusal);
			})),
			Effect.catchDefect(defect => Effect.sync(() => {
				this.services.log.write('requestFailed', {detail: String(defect)});
				this.record.refuse(Refusal.create('internal', 'The program failed; its log says how.'));
			})),
			Effect.ensuring(Effect.sync(() => {
				records.retire(this.record);
			})),
		);
	}

	private serveAdmitted(): Effect.Effect<void, Refusal> {
		const {row, service} = this.plan;
		if (this.plan.origin !== 'new') {
			return this.serve();
		}

		const cost = this.plan.prompt.tokens + this.plan.maximumTokens;
		const passed = this.services.gates.gate(service.pool).run(row, cost, this.serveWithClaim()).pipe(Effect.ensuring(Effect.sync(() => {
			this.services.ceilings.giveBack(rowName(row), this.plan.maximumTokens - this.record.position);
		})));
		return passCeiling(this.services, row, cost).pipe(Effect.andThen(passed));
	}

	private serveWithClaim(): Effect.Effect<void, Refusal> {
		const {account, key, fingerprint, requestId} = this.record.origin;
		if (this.plan.row.repeatable) {
			return this.serve();
		}

		const claim = {
			account, key, fingerprint, attempt: AttemptId(requestId),
		};
		const alreadyRan = Refusal.create('claim-held', 'This request has run.', {verdict: 'ran'});
		return runWithClaim(this.services.ledger, claim, this.serve(), () => undefined)
			.pipe(Effect.catchTag('KeptAnswerFound', () => Effect.fail(alreadyRan)));
	}

	/** Makes one attempt after another until the answer is complete or no further attempt is allowed. */
	private serve(): Effect.Effect<void, Refusal> {
		return Effect.gen({self: this}, function * () {
			for (;;) {
				const link = yield * this.chooseEngine();
				yield * this.importCache(link);
				this.attempts++;
				this.attemptStart = this.record.position;
				const outcome = yield * this.attempt(link);
				if (outcome._tag === 'Finished') {
					return;
				}

				yield * this.afterAttempt(link, outcome);
			}
		});
	}

	private chooseEngine(): Effect.Effect<EngineLink, Refusal> {
		return Effect.gen({self: this}, function * () {
			for (;;) {
				const links = this.services.links.engines(this.plan.service.pool);
				const others = links.filter(link => link !== this.source);
				const candidates = others.length > 0 ? others : links;
				if (candidates.length > 0) {
					return this.choose(candidates);
				}

				if (this.record.position === 0 && this.plan.origin === 'new') {
					return yield * Effect.fail(refuseWithoutUpstream(this.plan.service.pool, this.mayHaveRun));
				}

				yield * this.checkDeadline();
				yield * Effect.sleep(engineSearchInterval);
			}
		});
	}

	private choose(candidates: readonly EngineLink[]): EngineLink {
		const {prompt, service} = this.plan;
		const state = this.services.policy.choose(candidates.map(link => link.state), {prompt, latencyWeight: service.latencyWeight});
		return candidates.find(link => link.state === state)!;
	}

	/** Copies the KV cache of the request from the previous engine if the stream moves because that engine is leaving. */
	private importCache(link: EngineLink): Effect.Effect<void> {
		const {source} = this;
		if (!source || source === link || this.moveCause !== 'leaving') {
			return Effect.void;
		}

		const {host, port} = source.state.box;
		// A failed import is ignored: the engine then recomputes the tokens.
		return Effect.ignore(link.engine.importCache({requestId: this.record.origin.requestId, host, port}));
	}

	private attempt(link: EngineLink): Effect.Effect<AttemptOutcome> {
		const {record, plan} = this;
		const expectedCachedTokens = link.state.prefixCache.cachedTokens(plan.prompt);
		link.state.prefixCache.recordSent(plan.prompt);
		const offset = record.position;
		const attempt = ChatAttempt.create(this.services, link, record, {
			request: {
				requestId: record.origin.requestId,
				body: record.origin.body,
				priority: plan.row.priority,
				offset,
				textSoFar: offset === 0 ? '' : record.text(),
			},
			maximumTokens: plan.maximumTokens,
			deadlineAt: plan.deadlineAt,
		});
		return attempt.run().pipe(Effect.tap(outcome => Effect.sync(() => {
			if (outcome._tag === 'Finished' && offset === 0 && record.usage) {
				link.state.prefixCache.correct(expectedCachedTokens, record.usage.cachedTokens);
			}
		})));
	}

	/** Records the outcome of an attempt; fails where no further attempt is allowed. */
	private afterAttempt(link: EngineLink, outcome: Exclude<AttemptOutcome, {readonly _tag: 'Finished'}>): Effect.Effect<void, Refusal> {
		this.source = link;
		switch (outcome._tag) {
			case 'DeadlinePassed': {
				return this.checkDeadline();
			}

			case 'Leaving': {
				this.recordMove('leaving', link);
				return Effect.void;
			}

			case 'Failed': {
				return this.afterFailure(link, outcome.failure);
			}
		}
	}

	private afterFailure(link: EngineLink, failure: UpstreamFailure): Effect.Effect<void, Refusal> {
		const isCut = failure.reason === 'cut' || failure.reason === 'garbled';
		this.cutsWithoutProgress = isCut && this.record.position === this.attemptStart ? this.cutsWithoutProgress + 1 : 0;
		const refusal = evaluateFailure(this.services, {
			failure,
			upstream: link.state,
			isRepeatable: this.plan.row.repeatable,
			hasBegun: this.record.position > 0,
			mayHaveRun: this.mayHaveRun,
			attempts: this.attempts,
			cutsWithoutProgress: this.cutsWithoutProgress,
			pool: this.plan.service.pool,
		});
		this.mayHaveRun ||= failure.verdict !== 'not-run';
		if (refusal) {
			return Effect.fail(refusal);
		}

		if (this.record.position > 0) {
			this.recordMove('failure', link);
		}

		return this.checkDeadline().pipe(Effect.andThen(failure.reason === 'leaving' ? Effect.void : Effect.sleep(backoff(this.attempts))));
	}

	private recordMove(cause: MoveCause, link: EngineLink): void {
		this.moveCause = cause;
		if (this.record.position > 0) {
			this.services.metrics.moves.inc({cause});
			this.services.log.write('streamMoved', {from: link.state.box.id, cause, position: this.record.position});
		}
	}

	private checkDeadline(): Effect.Effect<void, Refusal> {
		return this.services.clock.monotonic() < this.plan.deadlineAt
			? Effect.void
			: Effect.fail(Refusal.create('deadline-passed', 'The answer was not whole at the deadline. It is given up.'));
	}

	private finishRecord(): void {
		const {metrics, gates} = this.services;
		gates.budget(this.plan.service.pool).deposit();
		const {usage} = this.record;
		if (usage) {
			metrics.promptTokens.inc({cached: 'yes'}, usage.cachedTokens);
			metrics.promptTokens.inc({cached: 'no'}, Math.max(0, usage.promptTokens - usage.cachedTokens));
			metrics.recomputedTokens.inc({cause: this.moveCause ?? 'none'}, usage.recomputedTokens);
		}

		metrics.tokens.inc(this.record.position);
		this.record.finish();
	}
}
