/**
 * Reads answers that should be JSON: one that was cut short, or holds something else, is told as such and never thrown.
 */
import {Buffer} from 'node:buffer';
import * as Result from 'effect/Result';
import type {Decoder, Fault} from './faults.js';
import type {HttpAnswer} from './http-client.js';

/**
 * A body without a length ends where its connection does, so that its end alone does not prove that it is whole.
 *
 * @param answer - An answer whose body should be JSON.
 * @param decode - Decodes what the body should hold.
 * @returns What it holds, or what is wrong with it.
 */
export function decodeAnswer<Content>(answer: HttpAnswer, decode: Decoder<Content>): Result.Result<Content, readonly Fault[]> {
	return Result.flatMap(parse(answer), value => decode(value));
}

function parse({body}: HttpAnswer): Result.Result<unknown, readonly Fault[]> {
	try {
		return Result.succeed(JSON.parse(Buffer.from(body).toString()));
	} catch (error) {
		return Result.fail([{path: '', value: String(error), expected: 'JSON'}]);
	}
}
