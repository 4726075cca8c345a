/**
 * What this box believes an engine has cached, from the prompts it sent there.
 */
import {hashText} from '../base/rendezvous.js';

/** Characters of a prompt that stand or fall together. */
const blockLength = 256;
const charactersPerToken = 4;
/** Blocks remembered for each engine; an engine's own cache is larger than one box's part of it. */
const rememberedBlocks = 8192;
const longestHashedPrompt = 64 * blockLength;

/** A prompt, cut into blocks each of which depends on all before it. */
export type Prompt = {
	readonly tokens: number;
	readonly blocks: readonly number[];
};

/**
 * Cuts a prompt into blocks.
 *
 * @param text - The whole prompt.
 * @returns Its length in tokens, roughly, and the names of its blocks.
 */
export function describePrompt(text: string): Prompt {
	const hashed = text.slice(0, longestHashedPrompt);
	let previous = 0;
	const blocks = Array.from({length: Math.floor(hashed.length / blockLength)}, (_, index) => {
		previous = hashText(`${previous}:${hashed.slice(index * blockLength, (index + 1) * blockLength)}`);
		return previous;
	});
	return {tokens: Math.ceil(text.length / charactersPerToken), blocks};
}

/** The belief about one engine. */
export class PrefixBelief {
	/** @returns A belief that nothing is cached. */
	static create(): PrefixBelief {
		return new PrefixBelief();
	}

	private readonly blocks = new Map<number, true>();
	/** Part of the belief that still holds; falls when the engine answers with fewer cached tokens than believed. */
	private confidence = 1;

	private constructor() {
		// Made by create().
	}

	/**
	 * @param prompt - What would be sent.
	 * @returns Tokens of it that the engine probably has.
	 */
	cachedTokens(prompt: Prompt): number {
		const missing = prompt.blocks.findIndex(block => !this.blocks.has(block));
		const known = missing === -1 ? prompt.blocks.length : missing;
		return this.confidence * known * blockLength / charactersPerToken;
	}

	/**
	 * Notes that a prompt was sent.
	 *
	 * @param prompt - What was sent.
	 */
	note(prompt: Prompt): void {
		for (const block of prompt.blocks) {
			this.blocks.delete(block);
			this.blocks.set(block, true);
		}

		const surplus = this.blocks.size - rememberedBlocks;
		for (const block of [...this.blocks.keys()].slice(0, Math.max(0, surplus))) {
			this.blocks.delete(block);
		}
	}

	/**
	 * Compares the belief with what the engine said afterwards.
	 *
	 * @param believed - Tokens believed cached when the request was sent.
	 * @param cached - Tokens the engine had cached.
	 */
	correct(believed: number, cached: number): void {
		if (believed > 0) {
			const ratio = Math.min(1, cached / believed);
			this.confidence = Math.max(0.1, Math.min(1, (this.confidence * 0.8) + (ratio * 0.2)));
		}
	}

	/** Forgets everything: the upstream is a new one. */
	clear(): void {
		this.blocks.clear();
		this.confidence = 1;
	}
}
