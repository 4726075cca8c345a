/**
 * Decodes JSON answers. A truncated or invalid answer is returned as a list of faults; nothing is thrown.
 */
import {Buffer} from 'node:buffer';
import * as Result from 'effect/Result';
import {parseBoundedJson} from './bounded-json.js';
import type {Decoder, Fault} from './faults.js';
import type {HttpAnswer} from './http-client.js';

/**
 * A body without a length ends when its connection closes, so a truncated body can only be detected by decoding it.
 *
 * @param answer - An answer whose body should be JSON.
 * @param decode - Decodes the parsed body.
 * @returns The decoded body, or its faults.
 */
export function decodeAnswer<Content>(answer: HttpAnswer, decode: Decoder<Content>): Result.Result<Content, readonly Fault[]> {
	return Result.flatMap(parse(answer), value => decode(value));
}

function parse({body}: HttpAnswer): Result.Result<unknown, readonly Fault[]> {
	try {
		return Result.succeed(parseBoundedJson(Buffer.from(body).toString()));
	} catch (error) {
		return Result.fail([{path: '', value: String(error), expected: 'JSON'}]);
	}
}
