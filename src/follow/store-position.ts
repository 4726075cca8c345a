/**
 * Positions in the history of the store, as one number that only rises: its era first, which rises each time the store comes back from a copy and so loses
 * what it had acknowledged, then its revision, which goes back at that moment.
 */

const revisionsPerEra = 2 ** 36;
const largestEra = Math.floor(Number.MAX_SAFE_INTEGER / revisionsPerEra) - 1;

/**
 * @param era - Era of the store; zero where it does not say.
 * @param revision - Revision within it.
 * @returns The position; `undefined` where the numbers are no era or no revision.
 */
export function positionOf(era: number, revision: number): number | undefined {
	const isEra = Number.isInteger(era) && era >= 0 && era <= largestEra;
	const isRevision = Number.isInteger(revision) && revision >= 0 && revision < revisionsPerEra;
	return isEra && isRevision ? (era * revisionsPerEra) + revision : undefined;
}

/**
 * @param position - A position.
 * @returns Its era.
 */
export const eraOf = (position: number): number => Math.floor(position / revisionsPerEra);

/**
 * @param position - A position.
 * @returns Its revision, which says nothing outside of its era.
 */
export const revisionOf = (position: number): number => position - (eraOf(position) * revisionsPerEra);
