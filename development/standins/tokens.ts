/**
 * Deterministic responses: the tokens depend only on the messages of the request, so that a test can tell which request they belong to.
 */
import {hashText} from '../../src/base/rendezvous.js';

/** A message of a chat. */
export type ChatMessage = {readonly role: string; readonly content: string};

/** Approximate number of characters per token. */
const charactersPerToken = 4;
/** Size of a prefix cache block in tokens. */
export const blockTokens = 16;

/**
 * @param messages - The chat.
 * @returns Approximate length of the prompt in tokens.
 */
export function countPromptTokens(messages: readonly ChatMessage[]): number {
	return Math.ceil(messages.map(message => message.content).join('\n').length / charactersPerToken);
}

/**
 * @param messages - The chat.
 * @returns A hash for each full block of the prompt, which also covers all earlier blocks.
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
 * @returns The seed that determines the tokens of the response.
 */
export function seedOf(messages: readonly ChatMessage[]): number {
	return hashText(JSON.stringify(messages.map(({role, content}) => [role, content])));
}

/**
 * @param seed - From {@link seedOf}.
 * @param index - Position of the token in the response, from 0.
 * @returns Text of the token.
 */
export function tokenAt(seed: number, index: number): string {
	// Contains a multi-byte character, so that a cut inside a character can occur.
	return ` ${seed.toString(36)}·${index}`;
}

/** Fields that all token events of a response share. */
export type TokenFrame = {
	/** Id of the response. */
	readonly id: string;
	readonly model: string;
	readonly seed: number;
	/** Number of tokens of the whole response. */
	readonly end: number;
};

/**
 * @param frame - Shared fields of the response.
 * @param index - Position of the token in the response, from 0.
 * @returns The exact text of the server-sent event for that token, without an `id:` line.
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
 * @param count - Number of requested tokens.
 * @returns Text of the whole response.
 */
export function expectedAnswer(messages: readonly ChatMessage[], count: number): string {
	const seed = seedOf(messages);
	return Array.from({length: count}, (_, index) => tokenAt(seed, index)).join('');
}
