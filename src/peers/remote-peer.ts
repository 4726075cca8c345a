/**
 * A peer on the other side of a link.
 */
import {
	createTRPCClient, createWSClient, wsLink, type TRPCClient,
} from '@trpc/client';
import * as Effect from 'effect/Effect';
import {WebSocket} from 'ws';
import {Peer, PeerFailure} from './peer.js';
import type {
	Exchange, ExchangeAnswer, LeavingReport, RecordQuery, RecordSnapshot, StoredTable,
} from './peer-messages.js';
import type {PeerRouter} from './peer-router.js';

/** Milliseconds an answer may take before the link counts as down. */
const answerTimeout = 1500;
/** Milliseconds for records, which may be large. */
const recordTimeout = 4000;
const reconnectPause = 250;

/** Speaks to a peer over one WebSocket. */
export class RemotePeer extends Peer {
	/**
	 * @param host - IP number.
	 * @param port - The peer's port for peers.
	 * @returns The peer; close it when done.
	 */
	static create(host: string, port: number): RemotePeer {
		return new RemotePeer(host, port);
	}

	private readonly socket;
	private readonly client: TRPCClient<PeerRouter>;

	private constructor(host: string, port: number) {
		super();
		this.socket = createWSClient({
			url: `ws://${host}:${port}`,
			// The library asks for the browser's class; this one is made to its likeness.
			WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
			retryDelayMs: () => reconnectPause * (0.5 + Math.random()),
			onError: () => undefined,
		});
		this.client = createTRPCClient<PeerRouter>({links: [wsLink({client: this.socket})]});
	}

	override exchange(exchange: Exchange): Effect.Effect<ExchangeAnswer, PeerFailure> {
		return this.call(answerTimeout, async signal => this.client.exchange.mutate(exchange, {signal}));
	}

	override announceLeaving(reports: readonly LeavingReport[]): Effect.Effect<void, PeerFailure> {
		return this.call(answerTimeout, async signal => this.client.announceLeaving.mutate(reports, {signal}));
	}

	override fetchTable(): Effect.Effect<StoredTable | undefined, PeerFailure> {
		return this.call(answerTimeout, async signal => this.client.fetchTable.query(undefined, {signal}));
	}

	override fetchRecord(query: RecordQuery): Effect.Effect<RecordSnapshot | undefined, PeerFailure> {
		return this.call(recordTimeout, async signal => this.client.fetchRecord.mutate(query, {signal}));
	}

	override adoptRecords(records: readonly RecordSnapshot[]): Effect.Effect<number, PeerFailure> {
		return this.call(recordTimeout, async signal => this.client.adoptRecords.mutate(records, {signal}));
	}

	/** Closes the link. */
	close(): void {
		void this.socket.close();
	}

	private call<Answer>(timeout: number, send: (signal: AbortSignal) => Promise<Answer>): Effect.Effect<Answer, PeerFailure> {
		return Effect.tryPromise({
			try: send,
			catch: error => new PeerFailure({detail: String(error)}),
		}).pipe(Effect.timeoutOrElse({
			duration: timeout,
			orElse: () => Effect.fail(new PeerFailure({detail: `no answer within ${timeout} ms`})),
		}));
	}
}
