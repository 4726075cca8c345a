/**
 * The interface of a model engine, independent of its protocol.
 */
import type * as Effect from 'effect/Effect';
import type {LoadReport} from './load-report.js';
import type {UpstreamFailure} from './upstream-failure.js';

/** A chat completion to run on an engine. */
export type EngineRequest = {
	/** Id of the request at the engine; the same for all attempts. */
	readonly requestId: string;
	/** The request body of the caller, in the form of the published interface. */
	readonly body: Readonly<Record<string, unknown>>;
	readonly priority: number;
	/** Number of tokens of the answer that already exist; the engine continues after them. */
	readonly offset: number;
	/** Text of those tokens. */
	readonly textSoFar: string;
};

/** The token counts that an engine reports at the end of an answer. */
export type EngineUsage = {
	readonly promptTokens: number;
	readonly completionTokens: number;
	readonly cachedTokens: number;
};

/** Receives the parts of an answer as they arrive. */
export type EngineListener = {
	/**
	 * Called with new tokens in order, each as one complete server-sent event.
	 * Returns false to pause the stream.
	 */
	readonly onTokens: (events: readonly string[]) => boolean;
	readonly onUsage: (usage: EngineUsage, event: string) => void;
};

/** An answer that is being received. */
export type EngineStream = {
	/** Completes when the answer is complete; fails when it is cut or invalid. Interruption cancels the request at the engine. */
	readonly completed: Effect.Effect<void, UpstreamFailure>;
	/** Resumes the stream after the listener paused it. */
	readonly resume: () => void;
};

/** The engine that holds the KV cache of a request. */
export type CacheSource = {
	readonly requestId: string;
	readonly host: string;
	readonly port: number;
};

/** A model engine. Each protocol has its own subclass. */
export abstract class ModelEngine {
	/**
	 * Starts a request, or continues it at an offset.
	 *
	 * @param request - The request.
	 * @param listener - Receives the answer.
	 * @returns The stream of the answer, once the engine has accepted the request.
	 */
	abstract start(request: EngineRequest, listener: EngineListener): Effect.Effect<EngineStream, UpstreamFailure>;

	/**
	 * Imports the KV cache of a request from another engine, so that its tokens need not be recomputed.
	 *
	 * @param source - The engine that holds it.
	 * @returns Number of imported tokens.
	 */
	abstract importCache(source: CacheSource): Effect.Effect<number, UpstreamFailure>;

	/** @returns The load, as the engine last reported it. */
	abstract load(): Effect.Effect<LoadReport, UpstreamFailure>;

	/** Closes the pooled connections. */
	abstract close(): void;
}
