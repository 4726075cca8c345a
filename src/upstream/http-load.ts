/**
 * Load reports over HTTP, which all upstreams give the same way.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import {jsonOf, type HttpClient} from '../base/http-client.js';
import type {LoadReport} from './load-report.js';
import {UpstreamFailure} from './upstream-failure.js';

const reportTimeout = 1000;

/**
 * @param client - Connections to the upstream.
 * @returns Its load report.
 */
export function readLoad(client: HttpClient): Effect.Effect<LoadReport, UpstreamFailure> {
	return client.exchange({method: 'GET', path: '/load', timeout: reportTimeout}).pipe(
		Effect.map(answer => jsonOf<LoadReport>(answer)),
		Effect.mapError(failure => new UpstreamFailure({reason: 'unreachable', verdict: 'not-run', detail: failure.detail})),
	);
}

/**
 * @param body - Body of a 503 of an upstream.
 * @returns The reason it names: leaving, or another refusal.
 */
export function refusalReasonOf(body: Uint8Array): 'leaving' | 'refused' {
	return Buffer.from(body).includes('"leaving"') ? 'leaving' : 'refused';
}
