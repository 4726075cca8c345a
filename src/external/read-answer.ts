/**
 * Decodes answers of the platform. An incomplete or invalid answer counts as a failed call.
 */
import * as Effect from 'effect/Effect';
import {describeFaults, type Decoder} from '../base/faults.js';
import type {HttpAnswer} from '../base/http-client.js';
import {decodeAnswer} from '../base/json-answer.js';
import {StoreFailure} from './object-store.js';

/**
 * @param answer - An answer of the platform.
 * @param decode - Decodes the parsed body.
 * @returns The decoded body. If decoding fails, the call may have been applied.
 */
export function readAnswer<Content>(answer: HttpAnswer, decode: Decoder<Content>): Effect.Effect<Content, StoreFailure> {
	return Effect.fromResult(decodeAnswer(answer, decode)).pipe(Effect.mapError(faults => new StoreFailure({
		reason: 'unreachable', mayHaveApplied: true, detail: `the answer cannot be read: ${describeFaults('answer', faults)}`,
	})));
}
