/**
 * A client of the Object API over HTTP.
 */
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import type {
	HttpAnswer, HttpCall, HttpClient, HttpFailure,
} from '../base/http-client.js';
import {
	ObjectStore, StoreFailure, VersionConflict, type ObjectVersion, type StoredObject,
} from './object-store.js';
import {readAnswer} from './read-answer.js';

/** Milliseconds to wait for an answer; a watch adds its own wait. */
const callTimeoutMs = 2000;
const tooManyRequests = 429;
const conflict = 409;
const notFound = 404;
/** HTTP status 204: nothing changed during the wait. */
const unchanged = 204;
const ok = 200;

/** Unknown fields are ignored, since a newer platform may add some. */
const decodeObject = createDecoder(Schema.Struct({version: Schema.Finite, value: Schema.String, storeTime: Schema.Finite}), 'ignore');
const decodeWritten = createDecoder(Schema.Struct({version: Schema.Finite}), 'ignore');
const decodeKeys = createDecoder(Schema.Struct({keys: Schema.Array(Schema.String)}), 'ignore');

const pathOf = (key: string) => `/objects/${encodeURIComponent(key)}`;

/** Reads and writes objects of the Object API over HTTP. */
export class HttpObjectStore extends ObjectStore {
	/**
	 * @param client - HTTP client of the platform.
	 * @returns The store.
	 */
	static create(client: HttpClient): HttpObjectStore {
		return new HttpObjectStore(client);
	}

	private constructor(private readonly client: HttpClient) {
		super();
	}

	override read(key: string): Effect.Effect<StoredObject, StoreFailure> {
		return this.call({method: 'GET', path: pathOf(key), timeout: callTimeoutMs}, [ok, notFound])
			.pipe(Effect.flatMap(answer => readAnswer(answer, decodeObject)));
	}

	override write(key: string, value: string, expected: ObjectVersion): Effect.Effect<ObjectVersion, StoreFailure | VersionConflict> {
		return this.call({
			method: 'PUT', path: `${pathOf(key)}?expected=${expected}`, body: value, timeout: callTimeoutMs,
		}, [ok, conflict])
			.pipe(Effect.flatMap((answer): Effect.Effect<ObjectVersion, StoreFailure | VersionConflict> => answer.status === ok
				? readAnswer(answer, decodeWritten).pipe(Effect.map(({version}) => version))
				: Effect.fail(new VersionConflict({key}))));
	}

	override watch(key: string, after: ObjectVersion, wait: number): Effect.Effect<StoredObject | undefined, StoreFailure> {
		return this.call({method: 'GET', path: `${pathOf(key)}?after=${after}&wait=${wait}`, timeout: wait + callTimeoutMs}, [ok, unchanged])
			.pipe(Effect.flatMap(answer => answer.status === ok ? readAnswer(answer, decodeObject) : Effect.succeed(undefined)));
	}

	override list(prefix: string): Effect.Effect<readonly string[], StoreFailure> {
		return this.call({method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}`, timeout: callTimeoutMs}, [ok])
			.pipe(Effect.flatMap(answer => readAnswer(answer, decodeKeys)), Effect.map(({keys}) => keys));
	}

	private call(call: HttpCall, expected: readonly number[]): Effect.Effect<HttpAnswer, StoreFailure> {
		return this.client.exchange(call).pipe(
			Effect.mapError((failure: HttpFailure) => new StoreFailure({
				reason: 'unreachable', mayHaveApplied: failure.mayHaveBeenSent, detail: failure.detail,
			})),
			Effect.flatMap(answer => expected.includes(answer.status) ? Effect.succeed(answer) : Effect.fail(failureOf(answer))),
		);
	}
}

/** A write refused with status 429 was not applied; after any other unexpected status this is unknown. */
const failureOf = (answer: HttpAnswer): StoreFailure => answer.status === tooManyRequests
	? new StoreFailure({reason: 'throttled', mayHaveApplied: false, detail: 'the Object API refused the call because of its rate limit'})
	: new StoreFailure({reason: 'refused', mayHaveApplied: true, detail: `the Object API answered ${answer.status}`});
