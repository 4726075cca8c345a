/**
 * Estimates which prompt prefixes an engine has cached, from the prompts that this box sent to it.
 */
import {hashText} from '../base/rendezvous.js';

/** Characters in a block of a prompt; a block is either cached completely or not at all. */
const blockLength = 256;
/** Assumed characters per token of a prompt. */
const charactersPerToken = 4;
/** Maximum number of blocks remembered for each engine; an engine's own cache is larger than one box's share of it. */
const maxRememberedBlocks = 8192;
const maxHashedCharacters = 64 * blockLength;

/** A prompt, divided into blocks. The hash of each block depends on all blocks before it. */
export type Prompt = {
	readonly tokens: number;
	readonly blocks: readonly number[];
};

/**
 * Divides a prompt into blocks.
 *
 * @param text - The complete prompt.
 * @returns Its estimated length in tokens, and the hashes of its blocks.
 */
export function describePrompt(text: string): Prompt {
	const hashed = text.slice(0, maxHashedCharacters);
	let previous = 0;
	const blocks = Array.from({length: Math.floor(hashed.length / blockLength)}, (_, index) => {
		previous = hashText(`${previous}:${hashed.slice(index * blockLength, (index + 1) * blockLength)}`);
		return previous;
	});
	return {tokens: Math.ceil(text.length / charactersPerToken), blocks};
}

/** The cache estimate for one engine. */
export class PrefixCacheEstimate {
	/** @returns An estimate that nothing is cached. */
	static create(): PrefixCacheEstimate {
		return new PrefixCacheEstimate();
	}

	private readonly blocks = new Map<number, true>();
	/** Factor from 0.1 to 1 applied to the estimate; falls when the engine reports fewer cached tokens than estimated. */
	private confidence = 1;

	private constructor() {
		// Made by create().
	}

	/**
	 * @param prompt - The prompt to be sent.
	 * @returns Number of its tokens that the engine probably has cached.
	 */
	cachedTokens(prompt: Prompt): number {
		const missing = prompt.blocks.findIndex(block => !this.blocks.has(block));
		const known = missing === -1 ? prompt.blocks.length : missing;
		return this.confidence * known * blockLength / charactersPerToken;
	}

	/**
	 * Records that a prompt was sent.
	 *
	 * @param prompt - The prompt.
	 */
	recordSent(prompt: Prompt): void {
		for (const block of prompt.blocks) {
			this.blocks.delete(block);
			this.blocks.set(block, true);
		}

		const surplus = this.blocks.size - maxRememberedBlocks;
		for (const block of [...this.blocks.keys()].slice(0, Math.max(0, surplus))) {
			this.blocks.delete(block);
		}
	}

	/**
	 * Adjusts the confidence by the cached tokens that the engine reported.
	 *
	 * @param estimated - Tokens estimated as cached when the request was sent.
	 * @param cached - Tokens that the engine had cached.
	 */
	correct(estimated: number, cached: number): void {
		if (estimated > 0) {
			const ratio = Math.min(1, cached / estimated);
			this.confidence = Math.max(0.1, Math.min(1, (this.confidence * 0.8) + (ratio * 0.2)));
		}
	}

	/** Resets the estimate, for an upstream that was replaced. */
	clear(): void {
		this.blocks.clear();
		this.confidence = 1;
	}
}
