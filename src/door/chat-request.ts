/**
 * Decodes the body of a chat completion request. Fields that are not read here are passed on unchanged.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {parseStrictJson} from '../base/bounded-json.js';
import {createDecoder} from '../base/faults.js';
import {RequestKind, type ServiceName} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import {describePrompt, type Prompt} from '../routing/prefix-cache-estimate.js';

/** Maximum number of tokens that a caller may set for an answer. */
const maxAnswerTokens = 131_072;
/** Maximum of an answer where the caller sets none. */
const defaultAnswerTokens = 1024;
const AnswerLength = Schema.Int.check(Schema.isBetween({minimum: 1, maximum: maxAnswerTokens}, {expected: `a whole number from 1 to ${maxAnswerTokens}`}));
const Message = Schema.Struct({
	role: Schema.String,
	content: Schema.optionalKey(Schema.NullOr(Schema.Union([Schema.String, Schema.Array(Schema.Struct({type: Schema.String}))]))),
});

/** The fields that are read here. */
const ChatBody = Schema.Struct({
	model: Schema.NonEmptyString,
	messages: Schema.Array(Message).check(Schema.isMinLength(1, {expected: 'at least one message'})),
	n: Schema.optionalKey(Schema.NullOr(Schema.Literal(1))),
	max_tokens: Schema.optionalKey(Schema.NullOr(AnswerLength)),
	max_completion_tokens: Schema.optionalKey(Schema.NullOr(AnswerLength)),
	stream: Schema.optionalKey(Schema.NullOr(Schema.Boolean)),
	stream_options: Schema.optionalKey(Schema.NullOr(Schema.Struct({include_usage: Schema.optionalKey(Schema.Boolean)}))),
});

const decodeBody = createDecoder(ChatBody, 'ignore');

/** A decoded chat completion request. */
export type ChatRequest = {
	/** Name of the service. The field `model` holds `service` or `service:kind`. */
	readonly service: string;
	readonly kind: RequestKind | undefined;
	readonly prompt: Prompt;
	readonly maximumTokens: number;
	readonly isStreamed: boolean;
	readonly wantsUsage: boolean;
	/** The body that is sent to the engine. */
	readonly body: Readonly<Record<string, unknown>>;
};

const malformed = (detail: string) => Effect.fail(Refusal.create('malformed', detail));

/**
 * Decodes the body of a chat completion request.
 *
 * @param bytes - The body.
 * @returns The request; fails with a refusal that lists all faults.
 */
export function decodeChatRequest(bytes: Uint8Array): Effect.Effect<ChatRequest, Refusal> {
	const input = parseJson(bytes);
	if (Result.isFailure(input)) {
		return malformed(`The body ${input.failure}.`);
	}

	const decoded = decodeBody(input.success);
	if (Result.isFailure(decoded)) {
		return malformed(decoded.failure.map(({path, expected}) => `${path === '' ? 'body' : path}: expected ${expected}`).join('; '));
	}

	const body = decoded.success;
	const [service = '', kind] = body.model.split(':', 2);
	if (kind !== undefined && !Schema.is(RequestKind)(kind)) {
		return malformed(`model: "${kind}" is not the name of a request kind`);
	}

	const maximumTokens = body.max_completion_tokens ?? body.max_tokens ?? defaultAnswerTokens;
	return Effect.succeed({
		service: service as ServiceName,
		kind,
		prompt: promptOf(body.messages),
		maximumTokens,
		isStreamed: body.stream ?? false,
		wantsUsage: body.stream_options?.include_usage ?? false,
		body: {...input.success as Readonly<Record<string, unknown>>, model: service, max_tokens: maximumTokens},
	});
}

/**
 * @param messages - The messages of a chat.
 * @returns Their prompt: its approximate length in tokens, and its blocks.
 */
export function promptOf(messages: ReadonlyArray<{readonly content?: unknown}>): Prompt {
	return describePrompt(messages
		.map(({content}) => typeof content === 'string' ? content : JSON.stringify(content ?? ''))
		.join('\n'));
}

/** @returns The parsed body, or what is wrong with it. */
function parseJson(bytes: Uint8Array): Result.Result<unknown, string> {
	try {
		return Result.succeed(parseStrictJson(Buffer.from(bytes).toString()));
	} catch (error) {
		return Result.fail(error instanceof RangeError ? error.message : 'is not valid JSON');
	}
}
