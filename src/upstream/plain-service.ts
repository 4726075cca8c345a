/**
 * The interface of a plain service, independent of its protocol.
 */
import type * as Effect from 'effect/Effect';
import type {AnswerMemory} from '../base/http-client.js';
import type {LoadReport} from './load-report.js';
import type {UpstreamFailure} from './upstream-failure.js';

/** A call to a plain service. */
export type PlainCall = {
	readonly path: string;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** The idempotency key of the caller, which is passed on to the service. */
	readonly key: string | undefined;
	/** Milliseconds for the whole answer. */
	readonly timeout: number;
	/** Memory in which the answer counts while it is read. */
	readonly memory?: AnswerMemory;
};

/** The complete answer of a plain service. */
export type PlainAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
};

/** A plain service on one upstream. Each protocol has its own subclass. */
export abstract class PlainService {
	/**
	 * Sends a call once, without retries.
	 *
	 * @param call - The call.
	 * @returns The answer; a failure says whether the call may have run.
	 */
	abstract call(call: PlainCall): Effect.Effect<PlainAnswer, UpstreamFailure>;

	/** @returns The load, as the service last reported it. */
	abstract load(): Effect.Effect<LoadReport, UpstreamFailure>;

	/** Closes the pooled connections. */
	abstract close(): void;
}
