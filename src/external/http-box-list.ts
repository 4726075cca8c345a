/**
 * Reads the box list and the reclaim notices over HTTP.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {createDecoder, describeFaults, type Decoder} from '../base/faults.js';
import type {HttpAnswer, HttpClient} from '../base/http-client.js';
import {BoxId} from '../base/identifiers.js';
import {
	Box, BoxList, type BoxListing, type ReclaimNotices,
} from './box-list.js';
import {StoreFailure} from './object-store.js';
import {readAnswer} from './read-answer.js';

/** Milliseconds to wait for an answer in addition to the wait of the poll. */
const answerTimeoutMs = 2000;
const ok = 200;
/** HTTP status 204: nothing changed during the wait. */
const unchanged = 204;

/** Unknown fields are ignored, since a newer platform may add some. */
const decodeListing = createDecoder(Schema.Struct({version: Schema.Finite, boxes: Schema.Array(Schema.Unknown)}), 'ignore');
const decodeBox = createDecoder(Box, 'ignore');
const decodeNotices = createDecoder(Schema.Struct({position: Schema.Finite, notices: Schema.Array(Schema.Unknown)}), 'ignore');
const decodeNotice = createDecoder(Schema.Struct({box: BoxId, remaining: Schema.Finite}), 'ignore');

/** Decodes entries one by one, so that an invalid one does not invalidate the others. */
function decodeEntries<Entry>(entries: readonly unknown[], decode: Decoder<Entry>): {readonly read: readonly Entry[]; readonly unreadable: readonly string[]} {
	const decoded = entries.map(entry => decode(entry));
	return {
		read: decoded.flatMap(result => Result.isSuccess(result) ? [result.success] : []),
		unreadable: decoded.flatMap((result, index) => Result.isFailure(result) ? [describeFaults(`entry ${index}`, result.failure)] : []),
	};
}

const listingOf = (answer: HttpAnswer): Effect.Effect<BoxListing, StoreFailure> => Effect.map(readAnswer(answer, decodeListing), ({version, boxes}) => {
	const entries = decodeEntries(boxes, decodeBox);
	return {version, boxes: entries.read, unreadable: entries.unreadable};
});

const noticesOf = (answer: HttpAnswer): Effect.Effect<ReclaimNotices, StoreFailure> => Effect.map(readAnswer(answer, decodeNotices), ({position, notices}) => {
	const entries = decodeEntries(notices, decodeNotice);
	return {position, notices: entries.read, unreadable: entries.unreadable};
});

/** Reads the box list and the notices by long polls. */
export class HttpBoxList extends BoxList {
	/**
	 * @param client - HTTP client of the platform.
	 * @returns The box list.
	 */
	static create(client: HttpClient): HttpBoxList {
		return new HttpBoxList(client);
	}

	private constructor(private readonly client: HttpClient) {
		super();
	}

	override boxes(after: number, wait: number): Effect.Effect<BoxListing | undefined, StoreFailure> {
		return this.poll(`/boxes?after=${after}&wait=${wait}`, wait)
			.pipe(Effect.flatMap(answer => answer.status === ok ? listingOf(answer) : Effect.succeed(undefined)));
	}

	override notices(after: number, wait: number): Effect.Effect<ReclaimNotices, StoreFailure> {
		return this.poll(`/notices?after=${after}&wait=${wait}`, wait)
			.pipe(Effect.flatMap(answer => answer.status === ok ? noticesOf(answer) : Effect.succeed({position: after, notices: []})));
	}

	private poll(path: string, wait: number): Effect.Effect<HttpAnswer, StoreFailure> {
		return this.client.exchange({method: 'GET', path, timeout: wait + answerTimeoutMs}).pipe(
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
