/**
 * A client of a plain service over HTTP.
 */
import * as Effect from 'effect/Effect';
import type {HttpAnswer, HttpClient, HttpFailure} from '../base/http-client.js';
import {readLoad, refusalReasonOf} from './http-load.js';
import type {LoadReport} from './load-report.js';
import {PlainService, type PlainAnswer, type PlainCall} from './plain-service.js';
import {UpstreamFailure} from './upstream-failure.js';

const unavailable = 503;

const failureOf = (failure: HttpFailure): UpstreamFailure => failure.mayHaveBeenSent
	? new UpstreamFailure({reason: 'cut', verdict: 'may-have-run', detail: failure.detail})
	: new UpstreamFailure({reason: 'unreachable', verdict: 'not-run', detail: failure.detail});

/** Calls a plain service over HTTP, with a new connection for each call. */
export class HttpPlainService extends PlainService {
	/**
	 * @param client - HTTP client of the upstream.
	 * @returns The service.
	 */
	static create(client: HttpClient): HttpPlainService {
		return new HttpPlainService(client);
	}

	private constructor(private readonly client: HttpClient) {
		super();
	}

	override call(call: PlainCall): Effect.Effect<PlainAnswer, UpstreamFailure> {
		return this.client.exchange({
			method: 'POST',
			path: call.path,
			headers: {'Content-Type': call.contentType, ...(call.key === undefined ? {} : {'Idempotency-Key': call.key})},
			body: call.body,
			timeout: call.timeout,
			freshConnection: true,
			memory: call.memory,
		}).pipe(
			Effect.mapError(failure => failureOf(failure)),
			Effect.flatMap(answer => answerOf(answer)),
		);
	}

	override load(): Effect.Effect<LoadReport, UpstreamFailure> {
		return readLoad(this.client);
	}

	override close(): void {
		this.client.close();
	}
}

/** The interface defines status 503 as a refusal before the call ran. Any other status is an answer. */
function answerOf(answer: HttpAnswer): Effect.Effect<PlainAnswer, UpstreamFailure> {
	return answer.status === unavailable
		? Effect.fail(new UpstreamFailure({reason: refusalReasonOf(answer.body), verdict: 'not-run', detail: 'the upstream answered 503'}))
		: Effect.succeed({
			status: answer.status,
			contentType: answer.headers['content-type'] ?? 'application/octet-stream',
			body: answer.body,
		});
}
