/**
 * The box list and the reclaim notices over HTTP.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import type {HttpAnswer, HttpClient} from '../base/http-client.js';
import {BoxId} from '../base/identifiers.js';
import {
	Box, BoxList, type BoxListing, type ReclaimNotices,
} from './box-list.js';
import {StoreFailure} from './object-store.js';
import {readAnswer} from './read-answer.js';

const answerTimeout = 2000;
const ok = 200;
const unchanged = 204;

/** What a newer platform adds is skipped. */
const decodeListing = createDecoder(Schema.Struct({
	version: Schema.Finite,
	boxes: Schema.Array(Schema.StructWithRest(Schema.Struct({id: BoxId}), [Schema.Record(Schema.String, Schema.Unknown)])),
}), 'ignore');
const decodeBox = createDecoder(Box, 'ignore');
const decodeNotices = createDecoder(Schema.Struct({
	position: Schema.Finite,
	notices: Schema.Array(Schema.Struct({box: BoxId, remaining: Schema.Finite})),
}), 'ignore');

/** A box that cannot be read is none that can be used; a newer platform may have sorts of boxes that are not known here. */
const boxesOf = (entry: unknown): readonly Box[] => Result.match(decodeBox(entry), {onFailure: () => [], onSuccess: box => [box]});

/** Reads both by long polls. */
export class HttpBoxList extends BoxList {
	/**
	 * @param client - Connections to the platform.
	 * @returns The list.
	 */
	static create(client: HttpClient): HttpBoxList {
		return new HttpBoxList(client);
	}

	private constructor(private readonly client: HttpClient) {
		super();
	}

	override boxes(after: number, wait: number): Effect.Effect<BoxListing | undefined, StoreFailure> {
		return this.poll(`/boxes?after=${after}&wait=${wait}`, wait)
			.pipe(Effect.flatMap(answer => answer.status === ok
				? readAnswer(answer, decodeListing).pipe(Effect.map(({version, boxes}) => ({version, boxes: boxes.flatMap(entry => boxesOf(entry))})))
				: Effect.succeed(undefined)));
	}

	override notices(after: number, wait: number): Effect.Effect<ReclaimNotices, StoreFailure> {
		return this.poll(`/notices?after=${after}&wait=${wait}`, wait)
			.pipe(Effect.flatMap(answer => answer.status === ok ? readAnswer(answer, decodeNotices) : Effect.succeed({position: after, notices: []})));
	}

	private poll(path: string, wait: number): Effect.Effect<HttpAnswer, StoreFailure> {
		return this.client.exchange({method: 'GET', path, timeout: wait + answerTimeout}).pipe(
			Effect.mapError(failure => new StoreFailure({reason: 'unreachable', mayHaveApplied: false, detail: failure.detail})),
			Effect.flatMap(answer => answer.status === ok || answer.status === unchanged
				? Effect.succeed(answer)
				: Effect.fail(new StoreFailure({
					reason: answer.status === 429 ? 'throttled' : 'refused',
					mayHaveApplied: false,
					detail: `the box list answered ${answer.status}`,
				}))),
		);
	}
}
