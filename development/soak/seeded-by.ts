/**
 * Random number generators derived from a seed and a name, so that the draws for one name do not depend on other draws.
 */
import {createHash} from 'node:crypto';
import {createRandom} from '../harness/seeded-random.js';

/**
 * @param seed - Seed of the soak test.
 * @param name - Purpose of the draws.
 * @returns A generator of numbers from 0 to 1; the same seed and name give the same sequence.
 */
export const seededBy = (seed: number, name: string): () => number => createRandom(createHash('sha256').update(`${seed} ${name}`).digest().readUInt32LE());
