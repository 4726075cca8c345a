/**
 * A model engine over HTTP with the interface that OpenAI published, and server-sent events.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import {
	jsonOf, readWhole, type HttpClient, type HttpFailure, type OpenAnswer,
} from '../base/http-client.js';
import {EventSplitter} from './event-splitter.js';
import {readLoad, refusalReasonOf} from './http-load.js';
import type {LoadReport} from './load-report.js';
import {
	ModelEngine, type CacheSource, type EngineListener, type EngineRequest, type EngineStream,
} from './model-engine.js';
import {UpstreamFailure} from './upstream-failure.js';

const ok = 200;
const unavailable = 503;
/** Milliseconds an engine may take for an answer; callers' deadlines are shorter and kept elsewhere. */
const longestAnswer = 86_400_000;
const importTimeout = 5000;
const doneEvent = 'data: [DONE]\n\n';
const usageMark = '"choices":[]';

type UsageEvent = {
	readonly usage: {
		readonly prompt_tokens: number;
		readonly completion_tokens: number;
		readonly prompt_tokens_details?: {readonly cached_tokens?: number};
	};
};

const unreachable = (failure: HttpFailure): UpstreamFailure => new UpstreamFailure({
	reason: failure.maySent ? 'cut' : 'unreachable',
	verdict: failure.maySent ? 'may-have-run' : 'not-run',
	detail: failure.detail,
});

const cut = (detail: string): UpstreamFailure => new UpstreamFailure({reason: 'cut', verdict: 'may-have-run', detail});

/** Speaks to an engine by HTTP. */
export class HttpModelEngine extends ModelEngine {
	/**
	 * @param client - Connections to the engine.
	 * @returns The engine.
	 */
	static create(client: HttpClient): HttpModelEngine {
		return new HttpModelEngine(client);
	}

	private constructor(private readonly client: HttpClient) {
		super();
	}

	override start(request: EngineRequest, listener: EngineListener): Effect.Effect<EngineStream, UpstreamFailure> {
		return this.client.open({
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {'Content-Type': 'application/json'},
			body: JSON.stringify(bodyOf(request)),
			timeout: longestAnswer,
		}).pipe(
			Effect.mapError(failure => unreachable(failure)),
			Effect.flatMap(answer => answer.message.statusCode === ok
				? Effect.succeed(streamOf(answer, listener))
				: refusalOf(answer)),
		);
	}

	override importCache(source: CacheSource): Effect.Effect<number, UpstreamFailure> {
		return this.client.exchange({
			method: 'POST',
			path: '/kv/import',
			body: JSON.stringify({request: source.requestId, host: source.host, port: source.port}),
			timeout: importTimeout,
		}).pipe(
			Effect.mapError(failure => unreachable(failure)),
			Effect.flatMap(answer => answer.status === ok
				? Effect.succeed(jsonOf<{readonly tokens: number}>(answer).tokens)
				: Effect.fail(new UpstreamFailure({reason: 'refused', verdict: 'not-run', detail: 'the engine could not import the cache'}))),
		);
	}

	override load(): Effect.Effect<LoadReport, UpstreamFailure> {
		return readLoad(this.client);
	}

	override close(): void {
		this.client.close();
	}
}

function bodyOf(request: EngineRequest): Readonly<Record<string, unknown>> {
	return {
		...request.body,
		stream: true,
		stream_options: {include_usage: true},
		request_id: request.requestId,
		priority: request.priority,
		...(request.offset === 0 ? {} : {resume: {offset: request.offset, text: request.textSoFar}}),
	};
}

function refusalOf(answer: OpenAnswer): Effect.Effect<never, UpstreamFailure> {
	return readWhole(answer).pipe(
		Effect.mapError(failure => unreachable(failure)),
		Effect.flatMap(({status, body}) => Effect.fail(new UpstreamFailure({
			reason: status === unavailable ? refusalReasonOf(body) : 'bad-answer',
			verdict: 'not-run',
			detail: `the engine answered ${status}: ${Buffer.from(body).toString().slice(0, 200)}`,
		}))),
	);
}

/** Bytes go from the engine to the listener by Node's own stream: this is the hot path. */
function streamOf({message: answer}: OpenAnswer, listener: EngineListener): EngineStream {
	const splitter = EventSplitter.create();
	let isDone = false;
	let hasEnded = false;
	answer.setEncoding('utf8');
	const take = (event: string): boolean => {
		if (event === doneEvent) {
			isDone = true;
			return false;
		}

		if (!event.includes(usageMark)) {
			return true;
		}

		const {usage} = JSON.parse(event.slice('data: '.length)) as UsageEvent;
		listener.onUsage({
			promptTokens: usage.prompt_tokens,
			completionTokens: usage.completion_tokens,
			cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
		}, event);
		return false;
	};

	const completed = Effect.callback<void, UpstreamFailure>(resume => {
		answer.on('data', (chunk: string) => {
			const tokens = splitter.split(chunk).filter(event => take(event));
			if (tokens.length > 0 && !listener.onTokens(tokens)) {
				answer.pause();
			}
		});
		answer.once('end', () => {
			hasEnded = true;
			resume(isDone ? Effect.void : Effect.fail(cut('the answer ended before its last event')));
		});
		answer.on('error', error => {
			resume(Effect.fail(cut(error.message)));
		});
		answer.once('close', () => {
			// Each answer closes; building a failure for each would cost more than all else here.
			if (!hasEnded) {
				resume(Effect.fail(cut('the connection closed before the answer was whole')));
			}
		});
		return Effect.sync(() => answer.destroy());
	});
	return {
		completed,
		resume() {
			answer.resume();
		},
	};
}
