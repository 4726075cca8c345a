/**
 * An in-memory model engine with deterministic answers and injected failures.
 */
import * as Effect from 'effect/Effect';
import type {LoadReport} from '../../src/upstream/load-report.js';
import {
	ModelEngine, type CacheSource, type EngineListener, type EngineRequest, type EngineStream,
} from '../../src/upstream/model-engine.js';
import {UpstreamFailure} from '../../src/upstream/upstream-failure.js';

/** Milliseconds between tokens. */
export const tokenInterval = 20;

/**
 * @param requestId - Id of the request.
 * @param index - Position of the token in the answer.
 * @returns The event that carries this token.
 */
export function tokenEvent(requestId: string, index: number): string {
	return `data: ${JSON.stringify({choices: [{index: 0, delta: {content: ` ${requestId}.${index}`}}]})}\n\n`;
}

type Running = {readonly cut: (detail: string) => void; isStalled: boolean};

/** An in-memory model engine. */
export class FakeEngine extends ModelEngine {
	/** How the engine treats new requests. */
	mode: 'serves' | 'refuses' | 'unreachable' | 'leaving' = 'serves';
	/** Requests in progress. */
	readonly running = new Set<Running>();
	started = 0;

	override start(request: EngineRequest, listener: EngineListener): Effect.Effect<EngineStream, UpstreamFailure> {
		return Effect.suspend(() => {
			if (this.mode !== 'serves') {
				const reason = this.mode === 'refuses' ? 'refused' : this.mode;
				return Effect.fail(new UpstreamFailure({reason, verdict: 'not-run', detail: this.mode}));
			}

			this.started++;
			return Effect.as(Effect.sleep(tokenInterval), this.stream(request, listener));
		});
	}

	override importCache(_source: CacheSource): Effect.Effect<number, UpstreamFailure> {
		return Effect.as(Effect.sleep(5), 1);
	}

	override load(): Effect.Effect<LoadReport, UpstreamFailure> {
		return Effect.succeed({running: this.running.size, queued: 0, isLeaving: this.mode === 'leaving'});
	}

	override close(): void {
		// There are no resources to release.
	}

	/** Cuts all answers in progress. */
	cutAll(): void {
		for (const {cut} of this.running) {
			cut('cut by the test');
		}
	}

	/** Stalls all answers in progress: they send no more tokens and do not end. */
	stallAll(): void {
		for (const running of this.running) {
			running.isStalled = true;
		}
	}

	private stream(request: EngineRequest, listener: EngineListener): EngineStream {
		const end = Number(request.body.max_tokens);
		let position = request.offset;
		let isPaused = false;
		const completed = Effect.callback<void, UpstreamFailure>(resume => {
			const stop = () => {
				clearInterval(timer);
				this.running.delete(running);
			};

			const running: Running = {
				isStalled: false,
				cut(detail) {
					stop();
					resume(Effect.fail(new UpstreamFailure({reason: 'cut', verdict: 'may-have-run', detail})));
				},
			};
			const timer = setInterval(() => {
				if (isPaused || running.isStalled) {
					return;
				}

				if (position >= end) {
					stop();
					listener.onUsage({promptTokens: 10, completionTokens: end, cachedTokens: 0}, 'data: {"usage":{}}\n\n');
					resume(Effect.void);
					return;
				}

				isPaused = !listener.onTokens([tokenEvent(request.requestId, position)]);
				position++;
			}, tokenInterval);
			this.running.add(running);
			return Effect.sync(stop);
		});
		return {
			completed,
			resume() {
				isPaused = false;
			},
		};
	}
}
