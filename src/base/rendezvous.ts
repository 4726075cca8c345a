/**
 * Rendezvous hashing: every box picks the same owner for a name without communication,
 * and when a box leaves, only the names that it owned change their owner.
 *
 * @remarks Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */

/* eslint-disable no-bitwise, unicorn/prefer-code-point -- a hash works on bits and code units */
/** Offset basis and prime of 32-bit FNV-1a. */
const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;
const maxHash = 0xFF_FF_FF_FF;

/**
 * Hashes text to 32 bits (FNV-1a with a final mix).
 *
 * @param text - Text to hash.
 * @returns An unsigned 32-bit number.
 */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), prime);
	}

	return finaliseHash(hash);
}

/**
 * Hashes text to a fraction, for example to spread actions over time in the same way on every box.
 *
 * @param text - Text to hash.
 * @returns A number from 0 to 1.
 */
export function hashFraction(text: string): number {
	return hashText(text) / maxHash;
}

/**
 * Combines two hashes; cheap enough to compute for all pairs of boxes and upstreams.
 *
 * @param left - First hash.
 * @param right - Second hash.
 * @returns An unsigned 32-bit number.
 */
export function mixHashes(left: number, right: number): number {
	return finaliseHash(left ^ Math.imul(right, 0x9E_37_79_B1));
}

/** The finaliser of MurmurHash3. */
function finaliseHash(hash: number): number {
	let mixed = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Orders candidates for a name by rendezvous score, the owner first.
 *
 * @param name - Name to be owned.
 * @param candidates - Possible owners.
 * @returns The candidates, best first; the order is the same on every box.
 */
export function rankOwners<Candidate extends string>(name: string, candidates: readonly Candidate[]): readonly Candidate[] {
	return candidates
		.map(candidate => ({candidate, score: hashText(`${name}\n${candidate}`)}))
		.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
		.map(({candidate}) => candidate);
}
