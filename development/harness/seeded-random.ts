/**
 * A seeded pseudo-random number generator, for reproducible runs.
 *
 * @remarks Source: Mulberry32, a generator of 32 bits of state.
 */

/**
 * @param seed - Seed of the sequence.
 * @returns A generator of numbers from 0 (inclusive) to 1 (exclusive); the sequence depends only on the seed.
 */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		/* eslint-disable no-bitwise -- the algorithm consists of bit operations */
		state = (state + 0x6D_2B_79_F5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
		/* eslint-enable no-bitwise */
	};
}
