/**
 * A model engine, as the system speaks to it.
 */
import type * as Effect from 'effect/Effect';
import type {LoadReport} from './load-report.js';
import type {UpstreamFailure} from './upstream-failure.js';

/** A chat completion to run on an engine. */
export type EngineRequest = {
	/** Name of the request at the engine: the same over all attempts. */
	readonly requestId: string;
	/** The caller's request: what the published interface holds. */
	readonly body: Readonly<Record<string, unknown>>;
	readonly priority: number;
	/** Tokens of the answer that the caller has already; the engine goes on after them. */
	readonly offset: number;
	/** Text of those tokens. */
	readonly textSoFar: string;
};

/** What an engine says at the end of an answer. */
export type EngineUsage = {
	readonly promptTokens: number;
	readonly completionTokens: number;
	readonly cachedTokens: number;
};

/** Takes the pieces of an answer as they come. */
export type EngineListener = {
	/**
	 * Some tokens came, each as one event of the published stream, in order.
	 * Called with whole events only. Returns false when the listener wants a pause.
	 */
	readonly onTokens: (events: readonly string[]) => boolean;
	readonly onUsage: (usage: EngineUsage, event: string) => void;
};

/** An answer that is being received. */
export type EngineStream = {
	/** Ends when the answer is whole; fails when it is cut. Interruption cancels the request at the engine. */
	readonly completed: Effect.Effect<void, UpstreamFailure>;
	/** The listener is ready for more after it asked for a pause. */
	readonly resume: () => void;
};

/** KV cache that another engine holds for a request. */
export type CacheSource = {
	readonly requestId: string;
	readonly host: string;
	readonly port: number;
};

/** A model engine. Another protocol costs one more class like this. */
export abstract class ModelEngine {
	/**
	 * Starts a request, or goes on with it at an offset.
	 *
	 * @param request - What to run.
	 * @param listener - Takes the answer.
	 * @returns The answer as it comes, once the engine has accepted the request.
	 */
	abstract start(request: EngineRequest, listener: EngineListener): Effect.Effect<EngineStream, UpstreamFailure>;

	/**
	 * Fetches a request's KV cache from another engine, so that its tokens need not be computed again.
	 *
	 * @param source - Who holds it.
	 * @returns Tokens that came over.
	 */
	abstract importCache(source: CacheSource): Effect.Effect<number, UpstreamFailure>;

	/** @returns The load, as the engine last reported it. */
	abstract load(): Effect.Effect<LoadReport, UpstreamFailure>;

	/** Closes the connections that are kept. */
	abstract close(): void;
}
