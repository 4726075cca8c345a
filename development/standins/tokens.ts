/**
 * Deterministic answers: each request's tokens follow from its messages, so that a test can tell whose they are.
 */
import {hashText} from '../../src/base/rendezvous.js';

/** A message of a chat. */
export type ChatMessage = {readonly role: string; readonly content: string};

const charactersPerToken = 4;
/** Tokens of a prompt that are cached together. */
export const blockTokens = 16;

/**
 * @param messages - The chat.
 * @returns Its length in tokens, roughly.
 */
export function countPromptTokens(messages: readonly ChatMessage[]): number {
	return Math.ceil(messages.map(message => message.content).join('\n').length / charactersPerToken);
}

/**
 * @param messages - The chat.
 * @returns A name for each full block of the prompt, which depends on all before it.
 */
export function promptBlocks(messages: readonly ChatMessage[]): readonly number[] {
	const text = messages.map(message => message.content).join('\n');
	const blockLength = blockTokens * charactersPerToken;
	let previous = 0;
	return Array.from({length: Math.floor(text.length / blockLength)}, (_, index) => {
		previous = hashText(`${previous}:${text.slice(index * blockLength, (index + 1) * blockLength)}`);
		return previous;
	});
}

/**
 * @param messages - The chat.
 * @returns The number that its answer follows from.
 */
export function seedOf(messages: readonly ChatMessage[]): number {
	return hashText(JSON.stringify(messages.map(({role, content}) => [role, content])));
}

/**
 * @param seed - From {@link seedOf}.
 * @param index - Position in the answer.
 * @returns The token's text.
 */
export function tokenAt(seed: number, index: number): string {
	// A character of several bytes, so that it can be cut inside of it.
	return ` ${seed.toString(36)}·${index}`;
}

/** What names a token's event, besides the token. */
export type TokenFrame = {
	/** Name of the answer. */
	readonly id: string;
	readonly model: string;
	readonly seed: number;
	/** Tokens of the whole answer. */
	readonly end: number;
};

/**
 * @param frame - Of the answer.
 * @param index - Position in the answer.
 * @returns The event that carries that token, to the byte.
 */
export function tokenEvent({id, model, seed, end}: TokenFrame, index: number): string {
	return `data: ${JSON.stringify({
		id,
		object: 'chat.completion.chunk',
		created: 0,
		model,
		choices: [{index: 0, delta: {role: 'assistant', content: tokenAt(seed, index)}, finish_reason: index === end - 1 ? 'length' : null}],
	})}\n\n`;
}

/**
 * @param messages - The chat.
 * @param count - Tokens asked for.
 * @returns The whole answer.
 */
export function expectedAnswer(messages: readonly ChatMessage[], count: number): string {
	const seed = seedOf(messages);
	return Array.from({length: count}, (_, index) => tokenAt(seed, index)).join('');
}
