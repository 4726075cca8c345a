/**
 * A client of a model engine over HTTP, with the interface that OpenAI published and server-sent events.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import {containedListener} from '../base/contained-listener.js';
import {createDecoder, describeFaults} from '../base/faults.js';
import {
	readWhole, type HttpAnswer, type HttpClient, type HttpFailure, type OpenAnswer,
} from '../base/http-client.js';
import {decodeAnswer} from '../base/json-answer.js';
import {EngineEventReader} from './engine-event.js';
import {EventSplitter, maxEventLength} from './event-splitter.js';
import {readLoad, refusalReasonOf} from './http-load.js';
import type {LoadReport} from './load-report.js';
import {
	ModelEngine, type CacheSource, type EngineListener, type EngineRequest, type EngineStream,
} from './model-engine.js';
import {UpstreamFailure} from './upstream-failure.js';

const ok = 200;
const unavailable = 503;
const firstClientError = 400;
const firstServerError = 500;
/** Milliseconds, i.e. one day: practically no timeout, since each attempt enforces the shorter deadline of its caller. */
const maxAnswerTime = 86_400_000;
/** Milliseconds. */
const importTimeout = 5000;

const decodeImport = createDecoder(Schema.Struct({tokens: Schema.Int}), 'ignore');

const failureOf = (failure: HttpFailure): UpstreamFailure => new UpstreamFailure({
	reason: failure.mayHaveBeenSent ? 'cut' : 'unreachable',
	verdict: failure.mayHaveBeenSent ? 'may-have-run' : 'not-run',
	detail: failure.detail,
});

const streamFailure = (reason: 'cut' | 'garbled', detail: string): UpstreamFailure => new UpstreamFailure({reason, verdict: 'may-have-run', detail});

/** Talks to an engine over HTTP. */
export class HttpModelEngine extends ModelEngine {
	/**
	 * @param client - HTTP client of the engine.
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
			timeout: maxAnswerTime,
		}).pipe(
			Effect.mapError(failure => failureOf(failure)),
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
			Effect.mapError(failure => failureOf(failure)),
			Effect.flatMap(answer => answer.status === ok
				? importedTokens(answer)
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
		Effect.mapError(failure => failureOf(failure)),
		Effect.flatMap(({status, body}) => Effect.fail(new UpstreamFailure({
			reason: status === unavailable ? refusalReasonOf(body) : 'bad-answer',
			verdict: isRejection(status) ? 'not-run' : 'may-have-run',
			detail: `the engine answered ${status}: ${Buffer.from(body).toString().slice(0, 200)}`,
		}))),
	);
}

/** Whether the engine rejected the request before it ran it. With any other status it may have failed after that, or the status is garbled. */
const isRejection = (status: number): boolean => status === unavailable || (status >= firstClientError && status < firstServerError);

function importedTokens(answer: HttpAnswer): Effect.Effect<number, UpstreamFailure> {
	return Effect.fromResult(decodeAnswer(answer, decodeImport)).pipe(
		Effect.mapError(faults => new UpstreamFailure({reason: 'bad-answer', verdict: 'may-have-run', detail: describeFaults('import', faults)})),
		Effect.map(({tokens}) => tokens),
	);
}

/** Passes the response on to the listener. Uses the events of Node's stream directly, since this is the hot path. */
function streamOf({message}: OpenAnswer, listener: EngineListener): EngineStream {
	const splitter = EventSplitter.create();
	const reader = EngineEventReader.create();
	let fault: string | undefined;
	let hasEnded = false;
	message.setEncoding('utf8');
	const isToken = (event: string): boolean => {
		const result = reader.read(event);
		if (result._tag === 'Usage') {
			listener.onUsage(result.usage, event);
		} else if (result._tag === 'Garbled') {
			fault = result.detail;
		}

		return result._tag === 'Token';
	};

	/** Passes on the valid tokens of a chunk, also those before an invalid event. */
	const processChunk = (chunk: string): void => {
		const tokens = splitter.split(chunk).filter(event => isToken(event));
		if (tokens.length > 0 && !listener.onTokens(tokens)) {
			message.pause();
		}

		if (splitter.exceedsMaxLength) {
			fault ??= `an event is longer than ${maxEventLength} characters`;
		}
	};

	const completed = Effect.callback<void, UpstreamFailure>(resume => {
		const end = (outcome: Effect.Effect<void, UpstreamFailure>): void => {
			hasEnded = true;
			resume(outcome);
		};

		message.on('data', containedListener(resume, (chunk: string) => {
			if (reader.isDone) {
				// Data after the last event is not part of the answer. It is dropped, and the connection is not reused.
				end(Effect.void);
				message.destroy();
				return;
			}

			processChunk(chunk);
			if (fault !== undefined) {
				end(Effect.fail(streamFailure('garbled', fault)));
				message.destroy();
			}
		}));
		message.once('end', () => {
			end(reader.isDone ? Effect.void : Effect.fail(streamFailure('cut', 'the answer ended before its last event')));
		});
		message.on('error', error => {
			resume(Effect.fail(streamFailure('cut', error.message)));
		});
		message.once('close', () => {
			// Every response emits 'close'. The check avoids creating an error for each complete answer, which would dominate the cost.
			if (!hasEnded) {
				resume(Effect.fail(streamFailure('cut', 'the connection closed before the answer was whole')));
			}
		});
		return Effect.sync(() => message.destroy());
	});
	return {
		completed,
		resume() {
			message.resume();
		},
	};
}
