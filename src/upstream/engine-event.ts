/**
 * What is proved of an engine's events before their text is passed on with ids of our own.
 *
 * @remarks Source: the chunk object of a chat completion, and the end of its stream, in the interface that OpenAI published.
 */
import * as Data from 'effect/Data';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {createDecoder, describeFaults} from '../base/faults.js';
import type {EngineUsage} from './model-engine.js';

const field = 'data: ';
const doneEvent = 'data: [DONE]\n\n';
/** Behind the only line of an event. */
const blankLine = '\n\n';
/** Where the text of a token begins; inside a string of JSON this would have backslashes. */
const textStart = '"content":"';
/** What stands in a string of JSON as it is. */
const plainText = /^[^"\\\p{Cc}]*$/v;
/** Characters of an event that are shown in a failure. */
const longestShown = 60;

/** What an event is. */
export type EngineEvent = Data.TaggedEnum<{
	/** One token, for the caller. */
	readonly Token: Readonly<Record<never, never>>;
	readonly Usage: {readonly usage: EngineUsage};
	/** A comment, or what stands behind the end or behind what cannot be read: not for the caller. */
	readonly Nothing: Readonly<Record<never, never>>;
	readonly Done: Readonly<Record<never, never>>;
	/** No event of this answer. */
	readonly Garbled: {readonly detail: string};
}>;
const EngineEvent = Data.taggedEnum<EngineEvent>();
/** Made once: the first is read for each token. */
const [token, nothing, done] = [EngineEvent.Token(), EngineEvent.Nothing(), EngineEvent.Done()];

const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0));
const UsageLayout = Schema.Struct({
	usage: Schema.Struct({
		prompt_tokens: Count,
		completion_tokens: Count,
		prompt_tokens_details: Schema.optionalKey(Schema.NullOr(Schema.Struct({cached_tokens: Schema.optionalKey(Schema.NullOr(Count))}))),
	}),
});
/** What engines add is skipped. */
const decodeUsage = createDecoder(UsageLayout, 'ignore');

type Fields = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null;
/** The interface has null where there is no text, or no call. */
const isAbsent = (value: unknown): boolean => value === undefined || value === null;

/** Reads the events of one answer, in order. */
export class EngineEventReader {
	/** @returns A reader at the start of an answer. */
	static create(): EngineEventReader {
		return new EngineEventReader();
	}

	private id: unknown;
	/** What stood around the text of the last token that was read in full: an event that differs in its text alone is proved by it. */
	private around: {readonly before: string; readonly behind: string} | undefined;
	private ending: 'done' | 'garbled' | undefined;

	private constructor() {
		// Made by create().
	}

	/** Whether the last event of the answer has come. */
	get isDone(): boolean {
		return this.ending === 'done';
	}

	/**
	 * @param event - The next event, with its closing blank line.
	 * @returns What it is; nothing more is read once the answer has ended, or once one could not be read.
	 */
	read(event: string): EngineEvent {
		if (this.ending !== undefined) {
			return nothing;
		}

		if (this.differsInTextAlone(event)) {
			return token;
		}

		const seen = this.judge(event);
		if (seen._tag === 'Done') {
			this.ending = 'done';
		} else if (seen._tag === 'Garbled') {
			this.ending = 'garbled';
		}

		return seen;
	}

	/** Most events do, and to compare costs a fraction of reading them in full. */
	private differsInTextAlone(event: string): boolean {
		if (this.around === undefined) {
			return false;
		}

		const {before, behind} = this.around;
		return event.length >= before.length + behind.length
			&& event.startsWith(before)
			&& event.endsWith(behind)
			&& plainText.test(event.slice(before.length, event.length - behind.length));
	}

	private judge(event: string): EngineEvent {
		if (event === doneEvent) {
			return done;
		}

		if (event.indexOf('\n') !== event.length - blankLine.length || event.includes('\r')) {
			return garbled('an event of more lines than one', event);
		}

		if (event.startsWith(':')) {
			return nothing;
		}

		const content = event.startsWith(field) ? parse(event.slice(field.length)) : undefined;
		if (!isObject(content) || !Array.isArray(content.choices)) {
			return garbled('an event that is no part of an answer', event);
		}

		return content.choices.length === 0 ? usageOf(content) : this.judgeToken(content, content.choices, event);
	}

	/** By hand: a schema costs many times as much. */
	private judgeToken({id}: Fields, choices: readonly unknown[], event: string): EngineEvent {
		if (!choices.every(choice => isObject(choice) && isDelta(choice.delta))) {
			return garbled('a token without its text', event);
		}

		this.id ??= id;
		if (id !== undefined && id !== this.id) {
			return garbled('a token of another answer', event);
		}

		this.noteAround(event);
		return token;
	}

	private noteAround(event: string): void {
		const mark = event.indexOf(textStart);
		const start = mark + textStart.length;
		const end = event.indexOf('"', start);
		// A backslash may stand before a quote that ends nothing.
		if (mark !== -1 && plainText.test(event.slice(start, end))) {
			this.around = {before: event.slice(0, start), behind: event.slice(end)};
		}
	}
}

function parse(text: string): unknown {
	try {
		return JSON.parse(text);
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

const garbled = (what: string, event: string): EngineEvent => EngineEvent.Garbled({detail: `${what}: ${JSON.stringify(event.slice(0, longestShown))}`});
