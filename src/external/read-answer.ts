/**
 * Reads what the platform answers; what is not a whole answer counts as none.
 */
import * as Effect from 'effect/Effect';
import {describeFaults, type Decoder} from '../base/faults.js';
import type {HttpAnswer} from '../base/http-client.js';
import {decodeAnswer} from '../base/json-answer.js';
import {StoreFailure} from './object-store.js';

/**
 * @param answer - An answer of the platform.
 * @param decode - Decodes what it should hold.
 * @returns What it holds. One that cannot be read says nothing of what was done.
 */
export function readAnswer<Content>(answer: HttpAnswer, decode: Decoder<Content>): Effect.Effect<Content, StoreFailure> {
	return Effect.fromResult(decodeAnswer(answer, decode)).pipe(Effect.mapError(faults => new StoreFailure({
		reason: 'unreachable', mayHaveApplied: true, detail: `the answer cannot be read: ${describeFaults('answer', faults)}`,
	})));
}
