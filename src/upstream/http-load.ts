/**
 * Load reports over HTTP, in the same form from all upstreams.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import {createDecoder, describeFaults} from '../base/faults.js';
import type {HttpClient} from '../base/http-client.js';
import {decodeAnswer} from '../base/json-answer.js';
import type {LoadReport} from './load-report.js';
import {UpstreamFailure} from './upstream-failure.js';

/** Milliseconds. */
const reportTimeout = 1000;
const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));
/** Ignores unknown fields, which upstreams may add. */
const decodeReport = createDecoder(Schema.Struct({running: Count, queued: Count, isLeaving: Schema.Boolean}), 'ignore');

/**
 * @param client - HTTP client of the upstream.
 * @returns Its load report.
 */
export function readLoad(client: HttpClient): Effect.Effect<LoadReport, UpstreamFailure> {
	return client.exchange({method: 'GET', path: '/load', timeout: reportTimeout}).pipe(
		Effect.mapError(failure => new UpstreamFailure({reason: 'unreachable', verdict: 'not-run', detail: failure.detail})),
		Effect.flatMap(answer => Effect.fromResult(decodeAnswer(answer, decodeReport)).pipe(Effect.mapError(faults => new UpstreamFailure({
			reason: 'bad-answer', verdict: 'not-run', detail: describeFaults('load report', faults),
		})))),
	);
}

/**
 * @param body - Body of a response with status 503 from an upstream.
 * @returns `leaving` if the body names that reason; otherwise `refused`.
 */
export function refusalReasonOf(body: Uint8Array): 'leaving' | 'refused' {
	return Buffer.from(body).includes('"leaving"') ? 'leaving' : 'refused';
}
