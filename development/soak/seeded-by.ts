/**
 * Generators that follow from a seed and a name, so that what is drawn for one name depends on nothing that happened before.
 */
import {createHash} from 'node:crypto';
import {randomOf} from '../harness/seeded-random.js';

/**
 * @param seed - Of the soak.
 * @param name - What is drawn.
 * @returns Numbers from 0 to 1, the same for each seed and name.
 */
export const seededBy = (seed: number, name: string): () => number => randomOf(createHash('sha256').update(`${seed} ${name}`).digest().readUInt32LE());
