/**
 * Delays of Node's timers. One that is given a longer delay than it can count fires at once.
 */

/** Longest delay that a timer counts, in milliseconds: some 24 days. */
const maxDelay = 2_147_483_647;

/**
 * @param delay - Milliseconds, also negative or infinite.
 * @returns The delay for a timer.
 */
export const timerDelay = (delay: number): number => Math.min(maxDelay, Math.max(0, delay));
