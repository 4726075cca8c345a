/**
 * Limits the connections of one HTTP server, the incomplete heads that it holds, and the requests in progress on each connection to one. At a limit the
 * connection goes that has made no progress for longest and whose request is not complete; a complete request is not cut while there is another connection.
 */
import {
	STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../base/clock.js';
import {recordClosing} from '../base/closing-cause.js';
import {sumOf} from '../base/sum.js';
import type {RequestBody} from './request-body.js';
import {RequestFeed} from './request-feed.js';

/** Milliseconds between two checks of incomplete heads. */
const checkInterval = 100;
/** Maximum bytes of a connection that have been read and not parsed: what is left of one read, and another. */
const maxUnparsedBytes = 131_072;
/** Milliseconds for which a connection with a request keeps its place, whatever its progress. */
const minGrantedTime = 500;
/** Milliseconds without progress after which an answer counts as unread: from a slow client, the system takes it in bursts of some megabytes. */
const maxStall = 3000;

/** Node's code of a request that did not arrive in time. */
const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Node's code of a connection that its client ended inside a request. */
const endCode = 'HPE_INVALID_EOF_STATE';
const malformedStatus = 400;
/** HTTP statuses of the errors of requests; all others are malformed. */
const errorStatuses: ReadonlyMap<string | undefined, number> = new Map([[timeoutCode, 408], ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413], ['HPE_HEADER_OVERFLOW', 431]]);

/** Why a connection was closed. */
export type ClosingReason = 'connections' | 'heads';

/** Limits of a server. */
export type ConnectionLimits = {
	/** Open connections. */
	readonly connections: number;
	/** Bytes of all incomplete heads. */
	readonly heads: number;
	/** Bytes of one head, as the server is configured. */
	readonly maxHead: number;
};

/** Dependencies of the connections of a server. */
export type ServerConnectionsParts = {
	readonly server: Server;
	readonly clock: Clock;
	readonly limits: ConnectionLimits;
	/** Called for each connection that is closed because of a limit. */
	readonly onClosed?: (reason: ClosingReason) => void;
};

/** A request that is handled when the earlier ones of its connection have been answered. */
export type QueuedRequest = {
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	/** Its body, which is released when the response has been sent or the connection closes. */
	readonly body: Pick<RequestBody, 'missingBytes' | 'release'>;
	/** Starts to handle it; not called if its connection closes before. */
	readonly start: () => void;
};

/** What is known of a connection. */
type Connection = {
	/** The request in progress; `undefined` while there is none. */
	request: Pick<IncomingMessage, 'complete'> | undefined;
	/** Its response. */
	response: ServerResponse | undefined;
	/** Its body. */
	body: QueuedRequest['body'] | undefined;
	/** Monotonic milliseconds since when it has had a request or been without one. */
	since: number;
	/** Bytes that had been received by then. */
	bytes: number;
	/** Requests that wait for the end of the one in progress: as many as one part of its {@link RequestFeed} holds. */
	readonly waiting: QueuedRequest[];
	/** Passes its bytes to the parser. */
	feed: RequestFeed | undefined;
	/** Number of requests that have been started. */
	begun: number;
	/** Error of the bytes after the requests that have been received; `undefined` if there is none. */
	fault: NodeJS.ErrnoException | undefined;
	/** Whether Node's time limit passed for a request that waits for an earlier one; Node then checks it no further. */
	isOverdue: boolean;
	/** Bytes that the system had taken while more of the answer waited, and when this was first seen, in monotonic milliseconds; `undefined` if nothing waited. */
	taken: {readonly bytes: number; readonly at: number} | undefined;
};

/** The connections of one server. */
export class ServerConnections {
	/**
	 * @param parts - Dependencies; the server must not have accepted a connection yet.
	 * @returns Its connections, none so far.
	 */
	static limit(parts: ServerConnectionsParts): ServerConnections {
		return new ServerConnections(parts);
	}

	/** In the order in which they last became idle or busy. */
	private readonly connections = new Map<Socket, Connection>();
	private checkedAt = Number.NEGATIVE_INFINITY;
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly parts: ServerConnectionsParts) {
		const {server} = parts;
		server.on('connection', socket => {
			this.add(socket);
		});
		this.timer = setInterval(() => {
			this.checkHeads();
		}, checkInterval);
		this.timer.unref();
		server.once('close', () => {
			clearInterval(this.timer);
		});
	}

	/** Number of open connections. */
	get count(): number {
		return this.connections.size;
	}

	/** Bytes of all incomplete heads, and of requests that were sent before the answer to an earlier one. */
	get headBytes(): number {
		return sumOf(this.incompleteHeads.map(({bytes}) => bytes));
	}

	/**
	 * Starts to handle a request when the earlier requests of its connection have been answered.
	 *
	 * @param request - The request.
	 */
	enqueue(request: QueuedRequest): void {
		const {socket} = request.incoming;
		const connection = this.connections.get(socket);
		if (!connection) {
			this.discard(request);
			return;
		}

		if (connection.request === undefined) {
			this.begin(socket, connection, request);
			return;
		}

		connection.waiting.push(request);
	}

	/**
	 * @param socket - A connection with a request in progress.
	 * @returns Whether more has been received after that request, which an answer that closes the connection would discard.
	 */
	hasReceivedMore(socket: Socket): boolean {
		const connection = this.connections.get(socket);
		return connection !== undefined && (connection.waiting.length > 0 || (connection.request?.complete === true && (connection.feed?.unparsedBytes ?? 0) > 0));
	}

	/**
	 * Closes the connection of a response after it, if nothing has been received behind its request when the head is sent.
	 *
	 * @param response - A response whose head has not been sent.
	 * @param isClosing - Called when the head is sent; returns whether connections are to be closed.
	 */
	closeAfter(response: ServerResponse, isClosing: () => boolean): void {
		const writeHead = response.writeHead.bind(response) as (...parameters: readonly unknown[]) => ServerResponse;
		response.writeHead = (...parameters: readonly unknown[]) => {
			if (isClosing() && !this.hasReceivedMore(response.req.socket)) {
				response.shouldKeepAlive = false;
			}

			return writeHead(...parameters);
		};
	}

	/**
	 * Answers an error of a connection as Node does, but after the answers to the complete requests that were received before: Node would send it in place of
	 * the answer in progress. Time limits do not apply to a request that is not read because it waits for an earlier one.
	 *
	 * @param error - An error that Node reported with the event `clientError`.
	 * @param socket - The connection.
	 */
	recordError(error: NodeJS.ErrnoException, socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection?.request?.complete !== true || !isOfRequest(error)) {
			this.answerError(error, socket);
			socket.destroy(error);
		} else if (connection.fault !== undefined) {
			// Node's time limit goes on for the malformed request, whose answer is due already.
		} else if (error.code === timeoutCode) {
			connection.isOverdue = true;
		} else {
			connection.fault = error;
			connection.feed?.discardRest();
		}
	}

	/** @param socket - A connection that is used for another protocol from now on: it keeps its place until it closes. */
	keepUpgraded(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection) {
			this.setRequest(socket, connection, {complete: true});
			connection.feed?.detach();
		}
	}

	private add(socket: Socket): void {
		const {limits, clock} = this.parts;
		const connection: Connection = {
			request: undefined, response: undefined, body: undefined, since: clock.monotonic(), bytes: 0, waiting: [], feed: undefined, begun: 0, fault: undefined, isOverdue: false, taken: undefined,
		};
		if (this.connections.size >= limits.connections) {
			const victim = this.leastUseful;
			this.close(victim ?? socket, 'connections');
			if (!victim) {
				return;
			}
		}

		this.connections.set(socket, connection);
		connection.feed = RequestFeed.attach(socket, {
			isComplete: () => connection.request?.complete === true,
			missingBytes: () => connection.body ? connection.body.missingBytes : 0,
		});
		socket.once('timeout', () => {
			recordClosing(socket, 'idle');
		});
		socket.once('close', () => {
			this.connections.delete(socket);
			for (const request of connection.waiting.splice(0)) {
				this.discard(request);
			}
		});
		if (clock.monotonic() - this.checkedAt > checkInterval) {
			this.checkHeads();
		}
	}

	private begin(socket: Socket, connection: Connection, {incoming, response, body, start}: QueuedRequest): void {
		this.setRequest(socket, connection, incoming);
		connection.begun++;
		connection.response = response;
		connection.body = body;
		response.once('close', () => {
			body.release();
			this.setRequest(socket, connection, undefined);
			connection.response = undefined;
			connection.body = undefined;
			this.beginNext(socket, connection);
		});
		start();
	}

	private beginNext(socket: Socket, connection: Connection): void {
		// The answer that has been sent closes the connection: those that wait are discarded when it is closed.
		if (socket.writableEnded) {
			return;
		}

		const {waiting: [next], fault} = connection;
		if (fault && next?.incoming.complete !== true) {
			this.answerError(fault, socket);
			socket.destroySoon();
			return;
		}

		if (next) {
			connection.waiting.shift();
			this.begin(socket, connection, next);
		} else {
			connection.feed?.release('earlier-request');
		}

		if (connection.isOverdue && next?.incoming.complete !== true) {
			connection.isOverdue = false;
			this.limitTime(socket, connection, connection.begun + (next ? 0 : 1));
		}
	}

	/** Grants a request that was overdue while it waited Node's time limit once more; `number` counts the requests of the connection from one. */
	private limitTime(socket: Socket, connection: Connection, number: number): void {
		setTimeout(() => {
			const isArriving = connection.begun < number || (connection.begun === number && connection.request?.complete === false);
			if (isArriving) {
				this.answerError({code: timeoutCode}, socket);
				socket.destroy();
			}
		}, this.parts.server.requestTimeout).unref();
	}

	/** Sends the status of an error, unless an answer has begun; the caller closes the connection. */
	private answerError(error: Pick<NodeJS.ErrnoException, 'code'>, socket: Socket): void {
		const {code} = error;
		if (isOfRequest(error)) {
			recordClosing(socket, code === timeoutCode ? 'sender-too-slow' : 'malformed');
		}

		if (socket.writable && this.connections.get(socket)?.response?.headersSent !== true) {
			const status = errorStatuses.get(code) ?? malformedStatus;
			socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
		}
	}

	/** Node reports the end of a connection only to the response in progress. */
	private discard({body, response}: QueuedRequest): void {
		body.release();
		response.emit('close');
	}

	/** Also moves the connection to the end of the order. */
	private setRequest(socket: Socket, connection: Connection, request: Connection['request']): void {
		if (this.connections.delete(socket)) {
			connection.request = request;
			connection.since = this.parts.clock.monotonic();
			connection.bytes = socket.bytesRead;
			this.connections.set(socket, connection);
		}
	}

	/**
	 * The connection that has been without a request for longest; otherwise the one whose request arrives slowest; otherwise one whose answer is ready and
	 * has not been read any further for some time. `undefined` if all others have complete requests in progress.
	 */
	private get leastUseful(): Socket | undefined {
		const now = this.parts.clock.monotonic();
		let slowest: {readonly socket: Socket; readonly rate: number} | undefined;
		let unread: Socket | undefined;
		for (const [socket, connection] of this.connections) {
			const {request, since, bytes} = connection;
			if (request === undefined) {
				return socket;
			}

			const granted = now - since;
			if (granted < minGrantedTime) {
				continue;
			}

			if (request.complete) {
				const isUnread = hasStalled(socket, connection, now);
				unread ??= isUnread ? socket : undefined;
			} else {
				const rate = (socket.bytesRead - bytes) / granted;
				slowest = slowest === undefined || rate < slowest.rate ? {socket, rate} : slowest;
			}
		}

		return slowest?.socket ?? unread;
	}

	/** Closes connections with incomplete heads, the oldest first, while these take too much memory. Of requests in advance only the bytes are discarded. */
	private checkHeads(): void {
		const {limits: {heads, maxHead}, clock} = this.parts;
		this.checkedAt = clock.monotonic();
		if (this.connections.size * Math.max(maxHead, maxUnparsedBytes) <= heads) {
			return;
		}

		const {incompleteHeads} = this;
		let excess = sumOf(incompleteHeads.map(({bytes}) => bytes)) - heads;
		for (const {socket, connection, bytes} of incompleteHeads) {
			if (excess <= 0) {
				return;
			}

			excess -= bytes;
			if (connection.response) {
				this.endAfterAnswer(socket, connection.response);
				connection.feed?.discardRest();
			} else {
				this.close(socket, 'heads');
			}
		}
	}

	/** By RFC 9112, section 9.6, a client takes requests after an answer that closes the connection for not processed. */
	private endAfterAnswer(socket: Socket, response: ServerResponse): void {
		this.parts.onClosed?.('heads');
		recordClosing(socket, 'limit');
		response.shouldKeepAlive = false;
		response.once('finish', () => {
			socket.destroySoon();
		});
	}

	/** Connections without a request, and those whose request is complete, with the bytes that belong to the next one. */
	private get incompleteHeads(): ReadonlyArray<{readonly socket: Socket; readonly connection: Connection; readonly bytes: number}> {
		return [...this.connections]
			.filter(([, {request, response}]) => request === undefined || (response !== undefined && request.complete))
			.map(([socket, connection]) => ({
				socket, connection, bytes: connection.request === undefined ? socket.bytesRead - connection.bytes : connection.feed?.unparsedBytes ?? 0,
			}))
			.filter(({bytes}) => bytes > 0);
	}

	/** A reset frees what the connection holds at once; an idle one is closed in order. */
	private close(socket: Socket, reason: ClosingReason): void {
		const isIdle = this.connections.get(socket)?.bytes === socket.bytesRead;
		this.parts.onClosed?.(reason);
		recordClosing(socket, 'limit');
		this.connections.delete(socket);
		if (isIdle) {
			socket.destroy();
		} else {
			socket.resetAndDestroy();
		}
	}
}

/** Whether an error is one of the bytes of a request, and not the end of its connection. */
const isOfRequest = ({code}: Pick<NodeJS.ErrnoException, 'code'>): boolean => code === timeoutCode || (code !== endCode && code?.startsWith('HPE_') === true);

/** Whether the system has taken nothing of an answer for {@link maxStall}, as far as calls at different times tell. */
function hasStalled(socket: Socket, connection: Connection, now: number): boolean {
	if (!socket.writableNeedDrain) {
		connection.taken = undefined;
		return false;
	}

	const bytes = socket.bytesWritten - socket.writableLength;
	if (connection.taken?.bytes !== bytes) {
		connection.taken = {bytes, at: now};
	}

	return now - connection.taken.at >= maxStall;
}
