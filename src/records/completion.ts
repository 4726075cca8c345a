/* eslint-disable @typescript-eslint/no-restricted-types -- the published interface has null */
/**
 * Assembles a complete response from the events of a stream.
 *
 * @remarks Source: the chat completion object of the published OpenAI API.
 */
import {groupBy} from '../base/group-by.js';
import type {RequestRecord} from './request-record.js';

type ToolCall = {
	readonly index: number;
	readonly id?: string;
	readonly type?: string;
	readonly function?: {readonly name?: string; readonly arguments?: string};
};

type Chunk = {
	readonly id: string;
	readonly created: number;
	readonly model: string;
	readonly choices: ReadonlyArray<{
		readonly delta: {readonly content?: string | null; readonly tool_calls?: readonly ToolCall[]};
		readonly finish_reason?: string | null;
	}>;
};

type UsageChunk = {readonly usage: unknown};

/** A chat completion object. */
export type Completion = {
	readonly id: string;
	readonly object: 'chat.completion';
	readonly created: number;
	readonly model: string;
	readonly choices: readonly [{
		readonly index: 0;
		readonly message: {readonly role: 'assistant'; readonly content: string | null; readonly tool_calls?: readonly ToolCall[]};
		readonly finish_reason: string;
	}];
	readonly usage?: unknown;
};

const parse = <Event>(event: string): Event => JSON.parse(event.slice('data: '.length)) as Event;

/** Joins the fragments of each tool call; fragments of the same call have the same index. */
function joinToolCalls(pieces: readonly ToolCall[]): readonly ToolCall[] {
	return [...groupBy(pieces, ({index}) => index).values()].map(group => ({
		...group[0]!,
		function: {
			name: group[0]!.function?.name ?? '',
			arguments: group.map(piece => piece.function?.arguments ?? '').join(''),
		},
	}));
}

/**
 * @param record - The record of a finished request.
 * @returns The response as one object.
 */
export function completionOf(record: RequestRecord): Completion {
	const chunks = record.events.map(event => parse<Chunk>(event));
	const choices = chunks.flatMap(chunk => chunk.choices);
	const content = choices.map(choice => choice.delta.content ?? '').join('');
	const toolCalls = joinToolCalls(choices.flatMap(choice => choice.delta.tool_calls ?? []));
	const [first] = chunks;
	return {
		id: first?.id ?? `chatcmpl-${record.origin.requestId}`,
		object: 'chat.completion',
		created: first?.created ?? 0,
		model: first?.model ?? record.origin.service,
		choices: [{
			index: 0,
			message: {
				role: 'assistant',
				content: toolCalls.length > 0 && content === '' ? null : content,
				...(toolCalls.length > 0 ? {tool_calls: toolCalls} : {}),
			},
			finish_reason: choices.map(choice => choice.finish_reason ?? '').findLast(reason => reason !== '') ?? 'stop',
		}],
		...(record.usageEvent === undefined ? {} : {usage: parse<UsageChunk>(record.usageEvent).usage}),
	};
}
