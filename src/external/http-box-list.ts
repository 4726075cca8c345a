/**
 * The box list and the reclaim notices over HTTP.
 */
import * as Effect from 'effect/Effect';
import {jsonOf, type HttpAnswer, type HttpClient} from '../base/http-client.js';
import {BoxList, type BoxListing, type ReclaimNotices} from './box-list.js';
import {StoreFailure} from './object-store.js';

const answerTimeout = 2000;
const ok = 200;
const unchanged = 204;

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
			.pipe(Effect.map(answer => answer.status === ok ? jsonOf<BoxListing>(answer) : undefined));
	}

	override notices(after: number, wait: number): Effect.Effect<ReclaimNotices, StoreFailure> {
		return this.poll(`/notices?after=${after}&wait=${wait}`, wait)
			.pipe(Effect.map(answer => answer.status === ok ? jsonOf<ReclaimNotices>(answer) : {position: after, notices: []}));
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
