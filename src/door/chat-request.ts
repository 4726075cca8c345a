/**
 * The body of a chat completion, as far as this system reads it; the rest is passed on.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import {RequestKind, type ServiceName} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import {describePrompt, type Prompt} from '../routing/prefix-cache-estimate.js';

const largestAnswer = 131_072;
const defaultAnswer = 1024;
const AnswerLength = Schema.Int.check(Schema.isBetween({minimum: 1, maximum: largestAnswer}, {expected: `a whole number from 1 to ${largestAnswer}`}));
const Message = Schema.Struct({
	role: Schema.String,
	content: Schema.optionalKey(Schema.NullOr(Schema.Union([Schema.String, Schema.Array(Schema.Struct({type: Schema.String}))]))),
});

/** What this system reads; what it does not is passed on as it came. */
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

/** A chat completion that was asked for. */
export type ChatRequest = {
	/** Name of the service; callers may write `service:kind` as the model. */
	readonly service: string;
	readonly kind: RequestKind | undefined;
	readonly prompt: Prompt;
	readonly maximumTokens: number;
	readonly isStreamed: boolean;
	readonly wantsUsage: boolean;
	/** What goes to the engine. */
	readonly body: Readonly<Record<string, unknown>>;
};

const malformed = (detail: string) => Effect.fail(Refusal.create('malformed', detail));

/**
 * Reads the body of a chat completion.
 *
 * @param bytes - The body.
 * @returns What was asked for; refused with every fault named.
 */
export function decodeChatRequest(bytes: Uint8Array): Effect.Effect<ChatRequest, Refusal> {
	const input = parseJson(bytes);
	if (Result.isFailure(input)) {
		return malformed('The body is not valid JSON.');
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

	const maximumTokens = body.max_completion_tokens ?? body.max_tokens ?? defaultAnswer;
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
 * @returns The prompt they make.
 */
export function promptOf(messages: ReadonlyArray<{readonly content?: unknown}>): Prompt {
	return describePrompt(messages
		.map(({content}) => typeof content === 'string' ? content : JSON.stringify(content ?? ''))
		.join('\n'));
}

function parseJson(bytes: Uint8Array): Result.Result<unknown, undefined> {
	try {
		return Result.succeed(JSON.parse(Buffer.from(bytes).toString()) as unknown);
	} catch {
		return Result.fail(undefined);
	}
}
