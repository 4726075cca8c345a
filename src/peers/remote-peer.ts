/**
 * The client of a remote peer.
 */
import {
	createTRPCClient, createWSClient, wsLink, type TRPCClient,
} from '@trpc/client';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {WebSocket} from 'ws';
import {createDecoder, describeFaults, type Decoder} from '../base/faults.js';
import {Peer, PeerFailure} from './peer.js';
import {PeerMessageEncoder} from './peer-message-encoder.js';
import {
	ExchangeAnswer, maxMessageBytes, RecordSnapshot, StoredTable, type Exchange, type LeavingReport, type RecordQuery,
} from './peer-messages.js';
import type {PeerRouter} from './peer-router.js';

/** Timeout in milliseconds for an answer; the link counts as down after it. */
const answerTimeout = 1500;
/** Timeout in milliseconds for calls that transfer records, which may be large. */
const recordTimeout = 4000;
/** Mean milliseconds between two attempts to reconnect. */
const reconnectPause = 250;

const decodeExchangeAnswer = createDecoder(ExchangeAnswer, 'ignore');
const decodeTable = createDecoder(Schema.UndefinedOr(StoredTable), 'ignore');
const decodeRecord = createDecoder(Schema.UndefinedOr(RecordSnapshot), 'ignore');
const decodeCount = createDecoder(Schema.Finite, 'ignore');
const decodeNothing: Decoder<void> = () => Result.succeed(undefined);

/** A connection that bounds the size of a message. */
class BoundedWebSocket extends WebSocket {
	constructor(url: string) {
		super(url, {maxPayload: maxMessageBytes});
	}
}

/** Calls a peer over one WebSocket. */
export class RemotePeer extends Peer {
	/**
	 * @param host - IP address.
	 * @param port - The port on which the peer listens for peers.
	 * @returns The client; close it after use.
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
			// The library's type requires the browser's class; the class of `ws` has the same interface.
			WebSocket: BoundedWebSocket as unknown as typeof globalThis.WebSocket,
			experimental_encoder: PeerMessageEncoder.create(() => {
				this.reset();
			}),
			retryDelayMs: () => reconnectPause * (0.5 + Math.random()),
			onError: () => undefined,
		});
		this.client = createTRPCClient<PeerRouter>({links: [wsLink({client: this.socket})]});
	}

	override exchange(exchange: Exchange): Effect.Effect<ExchangeAnswer, PeerFailure> {
		return this.call(answerTimeout, decodeExchangeAnswer, async signal => this.client.exchange.mutate(exchange, {signal}));
	}

	override announceLeaving(reports: readonly LeavingReport[]): Effect.Effect<void, PeerFailure> {
		return this.call(answerTimeout, decodeNothing, async signal => this.client.announceLeaving.mutate(reports, {signal}));
	}

	override fetchTable(): Effect.Effect<StoredTable | undefined, PeerFailure> {
		return this.call(answerTimeout, decodeTable, async signal => this.client.fetchTable.query(undefined, {signal}));
	}

	override fetchRecord(query: RecordQuery): Effect.Effect<RecordSnapshot | undefined, PeerFailure> {
		return this.call(recordTimeout, decodeRecord, async signal => this.client.fetchRecord.mutate(query, {signal}));
	}

	override adoptRecords(records: readonly RecordSnapshot[]): Effect.Effect<number, PeerFailure> {
		return this.call(recordTimeout, decodeCount, async signal => this.client.adoptRecords.mutate(records, {signal}));
	}

	/** Closes the connection. */
	close(): void {
		void this.socket.close();
	}

	/** Closes a connection on which no valid message arrived, which fails its calls; the client connects again. */
	private reset(): void {
		(this.socket.connection?.ws as unknown as WebSocket | undefined)?.terminate();
	}

	private call<Answer>(timeout: number, decode: Decoder<Answer>, send: (signal: AbortSignal) => Promise<unknown>): Effect.Effect<Answer, PeerFailure> {
		return Effect.tryPromise({
			try: send,
			catch: error => new PeerFailure({detail: String(error)}),
		}).pipe(
			Effect.flatMap(answer => Effect.fromResult(Result.mapError(decode(answer), faults => new PeerFailure({detail: describeFaults('answer', faults)})))),
			Effect.timeoutOrElse({
				duration: timeout,
				orElse: () => Effect.fail(new PeerFailure({detail: `no answer within ${timeout} ms`})),
			}),
		);
	}
}
