/**
 * Positions in the history of the store, each as one monotonically increasing number. The high part is the era, which increases
 * each time the store is restored from a backup and so loses acknowledged writes; the low part is the revision, which goes back at
 * a restore.
 */

const revisionsPerEra = 2 ** 36;
const maxEra = Math.floor(Number.MAX_SAFE_INTEGER / revisionsPerEra) - 1;

/**
 * @param era - Era of the store; zero where the store does not send one.
 * @param revision - Revision within the era.
 * @returns The position; `undefined` where a number is not a valid era or revision.
 */
export function positionOf(era: number, revision: number): number | undefined {
	const isEra = Number.isInteger(era) && era >= 0 && era <= maxEra;
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
 * @returns Its revision, which is comparable only within the same era.
 */
export const revisionOf = (position: number): number => position - (eraOf(position) * revisionsPerEra);
