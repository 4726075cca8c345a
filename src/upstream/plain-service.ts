/**
 * A plain service, as the system speaks to it.
 */
import type * as Effect from 'effect/Effect';
import type {LoadReport} from './load-report.js';
import type {UpstreamFailure} from './upstream-failure.js';

/** A call of a plain service. */
export type PlainCall = {
	readonly path: string;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** The caller's name for the request, passed on. */
	readonly key: string | undefined;
	/** Milliseconds for the whole answer. */
	readonly timeout: number;
};

/** A whole answer of a plain service. */
export type PlainAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
};

/** A plain service on one upstream. Another protocol costs one more class like this. */
export abstract class PlainService {
	/**
	 * Sends a call once. It is never sent again by this class.
	 *
	 * @param call - What to send.
	 * @returns The answer; a failure says whether the call may have run.
	 */
	abstract call(call: PlainCall): Effect.Effect<PlainAnswer, UpstreamFailure>;

	/** @returns The load, as the service last reported it. */
	abstract load(): Effect.Effect<LoadReport, UpstreamFailure>;

	/** Closes the connections that are kept. */
	abstract close(): void;
}
