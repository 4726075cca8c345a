/**
 * Validates the events of an engine before they are passed on to the caller with event ids of this system.
 *
 * @remarks Source: the chunk object of a chat completion, and the end of its stream, in the interface that OpenAI published.
 */
import * as Data from 'effect/Data';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {parseBoundedJson} from '../base/bounded-json.js';
import {createDecoder, describeFaults} from '../base/faults.js';
import type {EngineUsage} from './model-engine.js';

const dataField = 'data: ';
const doneEvent = 'data: [DONE]\n\n';
/** The end of an event, after its only line. */
const blankLine = '\n\n';
/** Marks the start of the text of a token. It cannot occur inside a JSON string, where its quotes would be escaped. */
const textStart = '"content":"';
/** Characters that need no escape in a JSON string. */
const unescapedText = /^[^"\\\p{Cc}]*$/v;
/** Maximum number of characters of an event that are quoted in a failure. */
const maxQuotedLength = 60;

/** The kind of an event. */
export type EngineEvent = Data.TaggedEnum<{
	/** A token, which is passed on to the caller. */
	readonly Token: Readonly<Record<never, never>>;
	readonly Usage: {readonly usage: EngineUsage};
	/** A comment, or an event after the end of the answer or after an invalid event. It is not passed on. */
	readonly Ignored: Readonly<Record<never, never>>;
	readonly Done: Readonly<Record<never, never>>;
	/** An event that is invalid or belongs to another answer. */
	readonly Garbled: {readonly detail: string};
}>;
const EngineEvent = Data.taggedEnum<EngineEvent>();
/** Created once, since one of them is returned for almost every token. */
const [token, ignored, done] = [EngineEvent.Token(), EngineEvent.Ignored(), EngineEvent.Done()];

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));
const UsageLayout = Schema.Struct({
	usage: Schema.Struct({
		prompt_tokens: Count,
		completion_tokens: Count,
		prompt_tokens_details: Schema.optionalKey(Schema.NullOr(Schema.Struct({cached_tokens: Schema.optionalKey(Schema.NullOr(Count))}))),
	}),
});
/** Ignores unknown fields, which engines may add. */
const decodeUsage = createDecoder(UsageLayout, 'ignore');

type Fields = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null;
/** The published interface allows null where a token has no text or no tool call. */
const isAbsent = (value: unknown): boolean => value === undefined || value === null;

/** Reads the events of one answer, in order. */
export class EngineEventReader {
	/** @returns A reader at the start of an answer. */
	static create(): EngineEventReader {
		return new EngineEventReader();
	}

	private id: unknown;
	/** The parts before and after the text of the last token that was parsed. An event that differs only in its text is valid without parsing. */
	private envelope: {readonly prefix: string; readonly suffix: string} | undefined;
	private ending: 'done' | 'garbled' | undefined;

	private constructor() {
		// Use create().
	}

	/** Whether the last event of the answer was read. */
	get isDone(): boolean {
		return this.ending === 'done';
	}

	/**
	 * @param event - The next event, with its closing blank line.
	 * @returns Its kind. All events after the end of the answer or after an invalid event are ignored.
	 */
	read(event: string): EngineEvent {
		if (this.ending !== undefined) {
			return ignored;
		}

		if (this.matchesEnvelope(event)) {
			return token;
		}

		const result = this.classify(event);
		if (result._tag === 'Done') {
			this.ending = 'done';
		} else if (result._tag === 'Garbled') {
			this.ending = 'garbled';
		}

		return result;
	}

	/** @returns Whether only the text differs from the last parsed token. Most events do, and the comparison costs a fraction of parsing. */
	private matchesEnvelope(event: string): boolean {
		if (this.envelope === undefined) {
			return false;
		}

		const {prefix, suffix} = this.envelope;
		return event.length >= prefix.length + suffix.length
			&& event.startsWith(prefix)
			&& event.endsWith(suffix)
			&& unescapedText.test(event.slice(prefix.length, event.length - suffix.length));
	}

	private classify(event: string): EngineEvent {
		if (event === doneEvent) {
			return done;
		}

		if (event.indexOf('\n') !== event.length - blankLine.length || event.includes('\r')) {
			return garbled('an event of more lines than one', event);
		}

		if (event.startsWith(':')) {
			return ignored;
		}

		const content = event.startsWith(dataField) ? parse(event.slice(dataField.length)) : undefined;
		if (!isObject(content) || !Array.isArray(content.choices)) {
			return garbled('an event that is no part of an answer', event);
		}

		return content.choices.length === 0 ? usageOf(content) : this.classifyToken(content, content.choices, event);
	}

	/** Validates by hand, since decoding with a schema costs many times as much. */
	private classifyToken({id}: Fields, choices: readonly unknown[], event: string): EngineEvent {
		if (!choices.every(choice => isObject(choice) && isDelta(choice.delta))) {
			return garbled('a token without its text', event);
		}

		this.id ??= id;
		if (id !== undefined && id !== this.id) {
			return garbled('a token of another answer', event);
		}

		this.recordEnvelope(event);
		return token;
	}

	private recordEnvelope(event: string): void {
		const textIndex = event.indexOf(textStart);
		const start = textIndex + textStart.length;
		const end = event.indexOf('"', start);
		// With a backslash in the text, the quote found may be an escaped one rather than the end of the string.
		if (textIndex !== -1 && unescapedText.test(event.slice(start, end))) {
			this.envelope = {prefix: event.slice(0, start), suffix: event.slice(end)};
		}
	}
}

function parse(text: string): unknown {
	try {
		return parseBoundedJson(text);
	} catch {
		return undefined;
	}
}

const isText = (value: unknown): boolean => isAbsent(value) || typeof value === 'string';
const isToolCall = (value: unknown): boolean => isObject(value) && (isAbsent(value.function) || (isObject(value.function) && isText(value.function.arguments)));
const isDelta = (delta: unknown): boolean => isObject(delta) && isText(delta.content)
	&& (isAbsent(delta.tool_calls) || (Array.isArray(delta.tool_calls) && delta.tool_calls.every(call => isToolCall(call))));

function usageOf(content: unknown): EngineEvent {
	return Result.match(decodeUsage(content), {
		onFailure: faults => EngineEvent.Garbled({detail: describeFaults('usage', faults)}),
		onSuccess: ({usage}) => EngineEvent.Usage({
			usage: {
				promptTokens: usage.prompt_tokens,
				completionTokens: usage.completion_tokens,
				cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
			},
		}),
	});
}

const garbled = (problem: string, event: string): EngineEvent => EngineEvent.Garbled({detail: `${problem}: ${JSON.stringify(event.slice(0, maxQuotedLength))}`});
