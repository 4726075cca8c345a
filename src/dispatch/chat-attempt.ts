/**
 * One attempt to run a chat request on one engine.
 */
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {RequestRecord} from '../records/request-record.js';
import type {EngineRequest, EngineUsage} from '../upstream/model-engine.js';
import {UpstreamFailure} from '../upstream/upstream-failure.js';
import type {DispatchServices} from './dispatch-services.js';
import type {EngineLink} from './upstream-links.js';

/** Milliseconds between two checks of the progress of an answer. */
const checkInterval = 1000;
/** Milliseconds without a token after which the engine is considered unavailable and the attempt fails. */
const maxStall = 5000;
/** Milliseconds without the first token after which the engine is considered unavailable and the attempt fails. */
const maxFirstTokenDelay = 15_000;
/** Milliseconds per token that are assumed until two tokens have arrived: the rate that the capacity plan allows. */
const assumedTokenTime = 54;
/** Milliseconds before an engine leaves that are reserved for moving the stream to another engine. */
const moveMargin = 1500;

/** The outcome of an attempt. */
export type AttemptOutcome = Data.TaggedEnum<{
	readonly Finished: Readonly<Record<never, never>>;
	/** The engine leaves before it can complete the answer. */
	readonly Leaving: Readonly<Record<never, never>>;
	readonly Failed: {readonly failure: UpstreamFailure};
	readonly DeadlinePassed: Readonly<Record<never, never>>;
}>;
export const AttemptOutcome = Data.taggedEnum<AttemptOutcome>();

/** The request of an attempt and its limits. */
export type AttemptPlan = {
	readonly request: EngineRequest;
	/** Maximum number of tokens of the whole answer. */
	readonly maximumTokens: number;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};

/** Sends a request to one engine and appends the answer to a record. */
export class ChatAttempt {
	/**
	 * @param services - The services of this box.
	 * @param link - The engine.
	 * @param record - Receives the answer.
	 * @param plan - The request and its limits.
	 * @returns The attempt; `run` starts it.
	 */
	static create(services: DispatchServices, link: EngineLink, record: RequestRecord, plan: AttemptPlan): ChatAttempt {
		return new ChatAttempt(services, link, record, plan);
	}

	private readonly startedAt: number;
	private readonly epoch: number;
	private firstTokenAt: number | undefined;
	private lastTokenAt: number;
	private isPaused = false;

	private constructor(
		private readonly services: DispatchServices,
		private readonly link: EngineLink,
		private readonly record: RequestRecord,
		private readonly plan: AttemptPlan,
	) {
		this.startedAt = services.clock.monotonic();
		this.epoch = record.epoch;
		this.lastTokenAt = this.startedAt;
	}

	/** @returns The outcome. Interruption cancels the request at the engine. */
	run(): Effect.Effect<AttemptOutcome> {
		const {state} = this.link;
		return Effect.suspend(() => {
			state.begin();
			return this.receiveWithChecks();
		}).pipe(Effect.ensuring(Effect.sync(() => {
			state.end();
			this.record.onDidDrain(() => undefined);
		})));
	}

	private receive(): Effect.Effect<AttemptOutcome> {
		return this.link.engine.start(this.plan.request, {
			onTokens: events => this.receiveTokens(events),
			onUsage: (usage, event) => {
				this.recordUsage(usage, event);
			},
		}).pipe(
			Effect.flatMap(stream => {
				this.record.onDidDrain(() => {
					this.isPaused = false;
					this.lastTokenAt = this.services.clock.monotonic();
					stream.resume();
				});
				return stream.completed;
			}),
			Effect.map(() => {
				this.link.state.recordSuccess(this.services.clock.monotonic() - this.startedAt);
				return AttemptOutcome.Finished();
			}),
			Effect.catch(error => Effect.succeed(AttemptOutcome.Failed({failure: error}))),
		);
	}

	private receiveTokens(events: readonly string[]): boolean {
		if (this.record.epoch !== this.epoch) {
			return false;
		}

		const now = this.services.clock.monotonic();
		this.lastTokenAt = now;
		if (this.firstTokenAt === undefined) {
			this.firstTokenAt = now;
			this.link.state.recordFirstToken(now - this.startedAt);
			this.services.metrics.firstToken.observe((now - this.startedAt) / 1000);
		}

		this.isPaused = !this.record.append(events);
		return !this.isPaused;
	}

	private recordUsage(usage: EngineUsage, event: string): void {
		const {offset} = this.plan.request;
		this.record.usage = {...usage, recomputedTokens: offset === 0 ? 0 : Math.max(0, usage.promptTokens + offset - usage.cachedTokens)};
		this.record.usageEvent = event;
	}

	/** Receives the answer; ends the attempt when the engine leaves too soon or sends no tokens, or when the deadline passes. */
	private receiveWithChecks(): Effect.Effect<AttemptOutcome> {
		const {directory, clock} = this.services;
		return Effect.callback<AttemptOutcome>(resume => {
			// Only the answer needs a fiber; timers and a listener do the checks.
			const receiving = Effect.runFork(this.receive());
			const check = () => {
				const outcome = this.earlyOutcome();
				if (outcome) {
					end(Effect.succeed(outcome));
				}
			};

			const deadline = setTimeout(check, Math.max(0, this.plan.deadlineAt - clock.monotonic()) + 1);
			const interval = setInterval(check, checkInterval);
			const unsubscribe = directory.onDidMarkLeaving(({box}) => {
				if (box === this.link.state.box.id) {
					check();
				}
			});
			const stop = () => {
				clearTimeout(deadline);
				clearInterval(interval);
				unsubscribe();
			};

			const end = (outcome: Effect.Effect<AttemptOutcome>) => {
				stop();
				resume(Fiber.interrupt(receiving).pipe(Effect.andThen(outcome)));
			};

			receiving.addObserver(exit => {
				stop();
				resume(exit);
			});
			return Effect.suspend(() => {
				stop();
				return Fiber.interrupt(receiving);
			});
		});
	}

	private earlyOutcome(): AttemptOutcome | undefined {
		const now = this.services.clock.monotonic();
		if (now >= this.plan.deadlineAt) {
			return AttemptOutcome.DeadlinePassed();
		}

		if (this.mustMove(now)) {
			return AttemptOutcome.Leaving();
		}

		const maxDelay = this.firstTokenAt === undefined ? maxFirstTokenDelay : maxStall;
		if (!this.isPaused && now - this.lastTokenAt > maxDelay) {
			return AttemptOutcome.Failed({
				failure: new UpstreamFailure({reason: 'timeout', verdict: 'may-have-run', detail: `no token for ${maxDelay} ms`}),
			});
		}

		return undefined;
	}

	/** @returns Whether the stream has to move: the engine would leave before it has completed the answer, with a margin for the move. */
	private mustMove(now: number): boolean {
		const leaving = this.services.directory.leavingOf(this.link.state.box.id);
		if (leaving?.endsAt === undefined) {
			return false;
		}

		const tokensLeft = this.plan.maximumTokens - this.record.position;
		return now + (tokensLeft * this.tokenTime(now)) + moveMargin > leaving.endsAt;
	}

	/** @returns Milliseconds per token: the average of this attempt, or an assumed value before two tokens. */
	private tokenTime(now: number): number {
		const received = this.record.position - this.plan.request.offset;
		return this.firstTokenAt === undefined || received < 2 ? assumedTokenTime : (now - this.firstTokenAt) / (received - 1);
	}
}
