/**
 * Random numbers that follow from a seed, for what must be played again.
 *
 * @remarks Source: Mulberry32, a generator of 32 bits of state.
 */

/**
 * @param seed - Draws everything.
 * @returns Numbers from 0 to 1, the same for each seed.
 */
export function randomOf(seed: number): () => number {
	let state = seed;
	return () => {
		/* eslint-disable no-bitwise -- a generator works on bits */
		state = (state + 0x6D_2B_79_F5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
		/* eslint-enable no-bitwise */
	};
}
