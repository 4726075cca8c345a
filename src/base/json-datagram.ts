/**
 * Decodes datagrams whose payload is JSON. They come from outside, so any payload is possible.
 */
import {Buffer} from 'node:buffer';
import * as Result from 'effect/Result';
import {parseBoundedJson} from './bounded-json.js';
import type {Decoder} from './faults.js';

/**
 * @param data - The payload of a datagram.
 * @param decode - Decoder of its content.
 * @returns The content; `undefined` if the payload is malformed or of another kind.
 */
export function decodeDatagram<Content>(data: Uint8Array, decode: Decoder<Content>): Content | undefined {
	try {
		const decoded = decode(parseBoundedJson(Buffer.from(data).toString()));
		return Result.isSuccess(decoded) ? decoded.success : undefined;
	} catch {
		return undefined;
	}
}
