/**
 * Decides from good and bad answers whether a software version is worse than the one that it replaces.
 *
 * @remarks
 * Two sequential tests with the same likelihood ratio. A version is good once the ratio of all its answers falls below a limit; it is bad once the
 * cumulative sum of the ratio, which is never below zero, exceeds another. The sum forgets good answers, so that a version that becomes bad later
 * is found as soon as one that was bad from the start. Sources: A. Wald, "Sequential tests of statistical hypotheses", Annals of Mathematical
 * Statistics 16, 1945; E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954; docs/design/rollouts.md.
 */

/** Answers of a version. */
export type Tally = {
	readonly good: number;
	readonly bad: number;
};

/** Increase of the part of bad answers that makes a version bad. */
export const badPartIncrease = 0.2;
/**
 * Increase that must be ruled out on all routes together before the traffic shifts: the expected part of bad answers and this. An increase by
 * `badPartIncrease` is ruled out by so few answers that some versions with 12 % bad ones exceeded the bound. Without the expected part, usual failures
 * of 5 to 10 % would need more answers than a trial gets in its time.
 */
const shiftPartIncrease = 0.1;
/** Probability of shifting the traffic to such a version. At 0.003, one more of 60 good versions with 5 % usual failures was late. */
const missedAtShift = 1e-2;
/** Probability of taking a good version for bad. */
const falseAlarm = 1e-6;
/** Probability of taking a version for good whose part of bad answers has increased by `badPartIncrease`. */
const missedAlarm = 1e-3;
/** Bounds of the part of bad answers that is assumed of the old version. */
const badPartBounds = {least: 0.01, most: 0.6} as const;
/** Answers that the assumption before any observation counts as, and the bad ones among them. */
const priorAnswers = {all: 25, bad: 0.5} as const;
/** Standard deviations by which the part may be higher than observed: with few answers of the old version, a good one must not look bad. */
const cautionDeviations = 2;
/** Highest part of bad answers that a bad version is assumed to have. */
const maxBadPart = 0.95;

/** Suspicion from which on a version counts as bad. */
export const badSuspicion = -Math.log(falseAlarm);

/**
 * @param old - Answers of the old version in the same time.
 * @returns The part of bad answers to expect of a good version.
 */
export function expectedBadPart({good, bad}: Tally): number {
	const answers = good + bad + priorAnswers.all;
	const part = (bad + priorAnswers.bad) / answers;
	const deviation = Math.sqrt(part * (1 - part) / answers);
	return Math.min(badPartBounds.most, Math.max(badPartBounds.least, part + (cautionDeviations * deviation)));
}

/**
 * @param tally - Answers of the target version.
 * @param expected - Part of bad answers to expect of a good version.
 * @param increase - Increase of that part which a bad version is assumed to have.
 * @returns Logarithm of the likelihood ratio of a bad version to a good one.
 */
export function evidenceOf({good, bad}: Tally, expected: number, increase = badPartIncrease): number {
	const worse = Math.min(maxBadPart, expected + increase);
	return (bad * Math.log(worse / expected)) + (good * Math.log((1 - worse) / (1 - expected)));
}

/**
 * @param tally - All answers of the target version.
 * @param expected - Part of bad answers to expect of a good version.
 * @returns Whether the version is good.
 */
export function isShownGood(tally: Tally, expected: number): boolean {
	return evidenceOf(tally, expected) <= Math.log(missedAlarm);
}

/**
 * @param tally - Answers of the target version on all routes.
 * @param expected - Part of bad answers to expect of a good version.
 * @returns Whether the answers rule out a small increase, so that the traffic may shift to the version.
 */
export function isShownGoodInAll(tally: Tally, expected: number): boolean {
	return evidenceOf(tally, expected, expected + shiftPartIncrease) <= Math.log(missedAtShift);
}

/**
 * @param before - The suspicion so far.
 * @param added - Answers since.
 * @param expected - Part of bad answers to expect of a good version.
 * @returns The suspicion that the version is bad; see {@link badSuspicion}.
 */
export function updatedSuspicion(before: number, added: Tally, expected: number): number {
	return Math.max(0, before + evidenceOf(added, expected));
}
