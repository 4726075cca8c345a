/**
 * Reads request bodies with a size limit.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import * as Effect from 'effect/Effect';
import {containedListener} from '../base/contained-listener.js';
import {Refusal} from '../base/verdict.js';

const tooLarge = (limit: number) => Refusal.create('body-too-large', `A body may have ${limit} bytes at most.`);

/**
 * Reads a body. There is no timeout here, since Node's HTTP server closes connections of slow senders.
 *
 * @param incoming - The request.
 * @param limit - Maximum size in bytes.
 * @returns The body; fails as soon as the limit is exceeded, without reading the rest.
 */
export function readBody(incoming: IncomingMessage, limit: number): Effect.Effect<Uint8Array, Refusal> {
	return Effect.callback<Uint8Array, Refusal>(resume => {
		if (Number(incoming.headers['content-length'] ?? 0) > limit) {
			resume(Effect.fail(tooLarge(limit)));
			return;
		}

		const chunks: Uint8Array[] = [];
		let size = 0;
		incoming.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > limit) {
				incoming.pause();
				resume(Effect.fail(tooLarge(limit)));
				return;
			}

			chunks.push(chunk);
		});
		incoming.once('end', containedListener(resume, () => {
			resume(Effect.succeed(Buffer.concat(chunks)));
		}));
		incoming.on('error', error => {
			resume(Effect.fail(Refusal.create('malformed', `The body was cut short: ${error.message}.`)));
		});
	});
}
