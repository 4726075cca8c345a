/**
 * Fetches a document from a peer, one fetch at a time: several peers announce the same new version at once.
 */
import {promisify} from 'node:util';
import {gunzip} from 'node:zlib';
import * as Effect from 'effect/Effect';
import {parseBoundedJson} from '../base/bounded-json.js';
import {HttpClient} from '../base/http-client.js';
import type {MemberAddress} from '../gossip/gossip-message.js';

const gunzipAsync = promisify(gunzip);
/** Milliseconds for a whole response, which may be long and its link slow. */
const peerTimeout = 1500;
/** Maximum size in bytes of a decompressed document; a response of that size could otherwise hold a thousand times as much. */
const maxDocumentBytes = 16 * 1024 * 1024;
const okStatus = 200;

/** Fetches one document from any peer that has it. */
export class PeerFetch {
	/**
	 * @param path - Path of the document, which peers send compressed.
	 * @param onContent - Called with the parsed JSON.
	 * @returns The fetch, idle.
	 */
	static create(path: string, onContent: (content: unknown) => void): PeerFetch {
		return new PeerFetch(path, onContent);
	}

	private isRunning = false;

	private constructor(private readonly path: string, private readonly onContent: (content: unknown) => void) {}

	/**
	 * Starts a fetch, unless one is running. A failure is ignored: the next gossip message announces the document again.
	 *
	 * @param peer - A box that has the document.
	 */
	from({host, port}: MemberAddress): void {
		if (this.isRunning) {
			return;
		}

		this.isRunning = true;
		const client = HttpClient.create(host, port);
		Effect.runFork(this.fetch(client).pipe(
			Effect.catchCause(() => Effect.void),
			Effect.ensuring(Effect.sync(() => {
				this.isRunning = false;
				client.close();
			})),
		));
	}

	private fetch(client: HttpClient) {
		return Effect.gen({self: this}, function * () {
			const {status, body} = yield * client.exchange({method: 'GET', path: this.path, timeout: peerTimeout});
			if (status === okStatus) {
				const text = yield * Effect.tryPromise(async () => gunzipAsync(body, {maxOutputLength: maxDocumentBytes}));
				this.onContent(parseBoundedJson(text.toString()));
			}
		});
	}
}
