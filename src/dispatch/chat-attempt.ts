/**
 * One try of a chat request at one engine.
 */
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {RequestRecord} from '../records/request-record.js';
import type {EngineRequest, EngineUsage} from '../upstream/model-engine.js';
import {UpstreamFailure} from '../upstream/upstream-failure.js';
import type {DispatchServices} from './dispatch-services.js';
import type {EngineLink} from './upstream-links.js';

/** Milliseconds between two looks at the progress of an answer. */
const checkInterval = 1000;
/** Milliseconds without a token after which the engine counts as gone. */
const longestStall = 5000;
/** Milliseconds to the first token after which the engine counts as gone. */
const longestFirstToken = 15_000;
/** Milliseconds a token takes before one was measured: what the planned size allows. */
const assumedTokenTime = 54;
/** Milliseconds of a notice that are kept for moving. */
const moveMargin = 1500;

/** How a try ended. */
export type AttemptOutcome = Data.TaggedEnum<{
	readonly Finished: Readonly<Record<never, never>>;
	/** The engine is leaving before the answer could be whole. */
	readonly Leaving: Readonly<Record<never, never>>;
	readonly Failed: {readonly failure: UpstreamFailure};
	readonly DeadlinePassed: Readonly<Record<never, never>>;
}>;
export const AttemptOutcome = Data.taggedEnum<AttemptOutcome>();

/** What a try needs to know of its request. */
export type AttemptPlan = {
	readonly request: EngineRequest;
	/** Tokens of the whole answer at most. */
	readonly maximumTokens: number;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};

/** One try. */
export class ChatAttempt {
	/**
	 * @param services - What it works with.
	 * @param link - The engine.
	 * @param record - Takes the answer.
	 * @param plan - The request.
	 * @returns The try; run it to begin.
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

	/** @returns How it ended. Interruption cancels the request at the engine. */
	run(): Effect.Effect<AttemptOutcome> {
		const {state} = this.link;
		return Effect.suspend(() => {
			state.begin();
			return this.receiveWatched();
		}).pipe(Effect.ensuring(Effect.sync(() => {
			state.end();
			this.record.onDidDrain(() => undefined);
		})));
	}

	private receive(): Effect.Effect<AttemptOutcome> {
		return this.link.engine.start(this.plan.request, {
			onTokens: events => this.takeTokens(events),
			onUsage: (usage, event) => {
				this.takeUsage(usage, event);
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

	private takeTokens(events: readonly string[]): boolean {
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

	private takeUsage(usage: EngineUsage, event: string): void {
		const {offset} = this.plan.request;
		this.record.usage = {...usage, recomputedTokens: offset === 0 ? 0 : Math.max(0, usage.promptTokens + offset - usage.cachedTokens)};
		this.record.usageEvent = event;
	}

	/** Ends the try when the engine is leaving too soon, stands still, or the deadline passes. */
	private receiveWatched(): Effect.Effect<AttemptOutcome> {
		const {directory, clock} = this.services;
		return Effect.callback<AttemptOutcome>(resume => {
			// One task for the answer; looking after it takes timers alone.
			const receiving = Effect.runFork(this.receive());
			const check = () => {
				const outcome = this.endedBy();
				if (outcome) {
					end(Effect.succeed(outcome));
				}
			};

			const deadline = setTimeout(check, Math.max(0, this.plan.deadlineAt - clock.monotonic()) + 1);
			const interval = setInterval(check, checkInterval);
			const stopListening = directory.onDidLeave(({box}) => {
				if (box === this.link.state.box.id) {
					check();
				}
			});
			const stop = () => {
				clearTimeout(deadline);
				clearInterval(interval);
				stopListening();
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

	private endedBy(): AttemptOutcome | undefined {
		const now = this.services.clock.monotonic();
		if (now >= this.plan.deadlineAt) {
			return AttemptOutcome.DeadlinePassed();
		}

		if (this.mustMove(now)) {
			return AttemptOutcome.Leaving();
		}

		const longest = this.firstTokenAt === undefined ? longestFirstToken : longestStall;
		if (!this.isPaused && now - this.lastTokenAt > longest) {
			return AttemptOutcome.Failed({
				failure: new UpstreamFailure({reason: 'timeout', verdict: 'may-have-run', detail: `no token for ${longest} ms`}),
			});
		}

		return undefined;
	}

	/** An answer that will be whole before the engine goes is left alone. */
	private mustMove(now: number): boolean {
		const leaving = this.services.directory.leavingOf(this.link.state.box.id);
		if (leaving?.endsAt === undefined) {
			return false;
		}

		const tokensLeft = this.plan.maximumTokens - this.record.position;
		return now + (tokensLeft * this.tokenTime(now)) + moveMargin > leaving.endsAt;
	}

	private tokenTime(now: number): number {
		const received = this.record.position - this.plan.request.offset;
		return this.firstTokenAt === undefined || received < 2 ? assumedTokenTime : (now - this.firstTokenAt) / (received - 1);
	}
}
