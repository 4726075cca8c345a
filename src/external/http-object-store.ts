/**
 * The Object API over HTTP.
 */
import * as Effect from 'effect/Effect';
import {
	jsonOf, type HttpAnswer, type HttpCall, type HttpClient, type HttpFailure,
} from '../base/http-client.js';
import {
	ObjectStore, StoreFailure, VersionConflict, type ObjectVersion, type StoredObject,
} from './object-store.js';

const callTimeout = 2000;
const tooManyRequests = 429;
const conflict = 409;
const notFound = 404;
const unchanged = 204;
const ok = 200;

type WriteAnswer = {readonly version: ObjectVersion};
type ListAnswer = {readonly keys: readonly string[]};

const pathOf = (key: string) => `/objects/${encodeURIComponent(key)}`;

/** Speaks to the Object API by HTTP. */
export class HttpObjectStore extends ObjectStore {
	/**
	 * @param client - Connections to the platform.
	 * @returns The store.
	 */
	static create(client: HttpClient): HttpObjectStore {
		return new HttpObjectStore(client);
	}

	private constructor(private readonly client: HttpClient) {
		super();
	}

	override read(key: string): Effect.Effect<StoredObject, StoreFailure> {
		return this.call({method: 'GET', path: pathOf(key), timeout: callTimeout}, [ok, notFound])
			.pipe(Effect.map(answer => jsonOf<StoredObject>(answer)));
	}

	override write(key: string, value: string, expected: ObjectVersion): Effect.Effect<ObjectVersion, StoreFailure | VersionConflict> {
		return this.call({
			method: 'PUT', path: `${pathOf(key)}?expected=${expected}`, body: value, timeout: callTimeout,
		}, [ok, conflict])
			.pipe(Effect.flatMap((answer): Effect.Effect<ObjectVersion, VersionConflict> => answer.status === ok
				? Effect.succeed(jsonOf<WriteAnswer>(answer).version)
				: Effect.fail(new VersionConflict({key}))));
	}

	override watch(key: string, after: ObjectVersion, wait: number): Effect.Effect<StoredObject | undefined, StoreFailure> {
		return this.call({method: 'GET', path: `${pathOf(key)}?after=${after}&wait=${wait}`, timeout: wait + callTimeout}, [ok, unchanged])
			.pipe(Effect.map(answer => answer.status === ok ? jsonOf<StoredObject>(answer) : undefined));
	}

	override list(prefix: string): Effect.Effect<readonly string[], StoreFailure> {
		return this.call({method: 'GET', path: `/objects?prefix=${encodeURIComponent(prefix)}`, timeout: callTimeout}, [ok])
			.pipe(Effect.map(answer => jsonOf<ListAnswer>(answer).keys));
	}

	private call(call: HttpCall, expected: readonly number[]): Effect.Effect<HttpAnswer, StoreFailure> {
		return this.client.exchange(call).pipe(
			Effect.mapError((failure: HttpFailure) => new StoreFailure({
				reason: 'unreachable', mayHaveApplied: failure.maySent, detail: failure.detail,
			})),
			Effect.flatMap(answer => expected.includes(answer.status) ? Effect.succeed(answer) : Effect.fail(refused(answer))),
		);
	}
}

/** A 429 was not applied; after another status nobody knows. */
const refused = (answer: HttpAnswer): StoreFailure => answer.status === tooManyRequests
	? new StoreFailure({reason: 'throttled', mayHaveApplied: false, detail: 'the Object API refuses for its rate limit'})
	: new StoreFailure({reason: 'refused', mayHaveApplied: true, detail: `the Object API answered ${answer.status}`});
