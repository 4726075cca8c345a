/**
 * The HTTP server for callers: Node's server with strict limits, and one fiber per request.
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type * as Scope from 'effect/Scope';
import type {EventLog} from '../base/event-log.js';
import type {ClientAccountName} from '../base/identifiers.js';
import type {Metrics} from '../base/metrics.js';
import {endLingering} from '../base/lingering-close.js';
import {OpenResponses} from '../base/open-responses.js';
import {Refusal} from '../base/verdict.js';
import type {ProcessResources} from '../resources/process-resources.js';
import type {RequestBody} from '../resources/request-body.js';
import type {ServerConnections} from '../resources/server-connections.js';
import type {Settings} from '../settings/settings.js';
import type {StopSchedule} from '../stopping/stop-schedule.js';
import type {TableView} from '../table/table-view.js';
import {authenticate} from './authentication.js';
import type {CallerExchange} from './caller-exchange.js';
import type {ChatHandler} from './chat-handler.js';
import {problemOf, sendProblem, writeProblem} from './problem.js';
import {RefusalLog} from './refusal-log.js';
import type {RequestStatusHandler} from './request-status-handler.js';
import type {ServiceHandler} from './service-handler.js';

/** Milliseconds between two checks for slow senders. */
const slowSenderCheckInterval = 1000;
/** Milliseconds after which an idle connection is closed. */
const idleTimeout = 65_000;
/** Milliseconds between two checks for idle connections during a shutdown. */
const idleCheckInterval = 100;
/** Maximum length of a path in characters; the rest is cut off. */
const maxPathLength = 2048;
/** Maximum number of header fields of a request. */
const maxHeaderFields = 100;

/** The services that the listener depends on. */
export type CallerListenerServices = {
	readonly settings: Settings['callers'];
	readonly table: TableView;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly resources: ProcessResources;
	readonly chat: ChatHandler;
	readonly plainServices: ServiceHandler;
	readonly requests: RequestStatusHandler;
	/** The stop of this process, if it has to exit by some time. */
	readonly stop: StopSchedule;
};

/** A method, the paths it applies to, and their handler. */
type Route = {
	readonly method: 'GET' | 'POST';
	readonly matches: (path: string) => boolean;
	readonly answer: (exchange: CallerExchange) => Effect.Effect<void, Refusal>;
};

/** Listens for callers, authenticates their requests and routes them to handlers. */
export class CallerListener {
	/**
	 * Listens until the scope closes.
	 *
	 * @param services - The services that the listener depends on.
	 * @returns The listener, which already listens.
	 */
	static open(services: CallerListenerServices): Effect.Effect<CallerListener, never, Scope.Scope> {
		const listen = Effect.promise(async () => {
			const listener = new CallerListener(services);
			listener.server.listen(services.settings.port, services.settings.host);
			await once(listener.server, 'listening');
			return listener;
		});
		return Effect.acquireRelease(listen, listener => Effect.sync(() => {
			listener.responses.reset();
			listener.server.close();
			listener.server.closeAllConnections();
		}));
	}

	private readonly server: Server;
	private readonly connections: ServerConnections;
	private readonly responses: OpenResponses;
	private readonly routes: readonly Route[];
	private readonly requestsByAccount = new Map<ClientAccountName, number>();
	/** Number of requests in progress, by connection. */
	private readonly requestsBySocket = new WeakMap<Socket, number>();
	private readonly refusalLog: RefusalLog;
	private isStopping = false;
	private isClosing = false;

	private constructor(private readonly services: CallerListenerServices) {
		const {settings, chat, plainServices, requests, log, resources} = services;
		this.refusalLog = RefusalLog.create(log);
		this.server = createServer({
			maxHeaderSize: settings.maximumHeaders,
			requestTimeout: settings.receiveTimeout,
			headersTimeout: settings.receiveTimeout,
			connectionsCheckingInterval: slowSenderCheckInterval,
			keepAliveTimeout: idleTimeout,
			noDelay: true,
		}, (incoming, response) => {
			const body = resources.requestBodies.receive(incoming);
			connections.enqueue({
				incoming,
				response,
				body,
				start: () => {
					this.serve(incoming, response, body);
				},
			});
		});
		const connections = resources.limitServer('clients', this.server, settings.maximumHeaders);
		this.connections = connections;
		this.responses = OpenResponses.watch(this.server);
		this.server.maxHeadersCount = maxHeaderFields;
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.answerClientError(error, socket as Socket);
		});
		this.routes = [
			{method: 'POST', matches: path => path === '/v1/chat/completions', answer: exchange => chat.answer(exchange)},
			{method: 'POST', matches: path => path.startsWith('/v1/services/'), answer: exchange => plainServices.answer(exchange)},
			{method: 'GET', matches: path => path.startsWith('/v1/requests/'), answer: exchange => requests.answer(exchange)},
		];
	}

	/** The TCP port of the listener. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Closes each connection after its next response, while still answering: the load balancer then sends callers to another box. */
	beginStopping(): void {
		this.isStopping = true;
	}

	/** Refuses new requests, and those whose body is not complete: what they start could neither end here nor move to another box. */
	beginClosing(): void {
		this.isClosing = true;
	}

	/** @returns Accepts no new connections; completes when the open ones have received their responses and closed. */
	stopListening(): Effect.Effect<void> {
		return Effect.callback<void>(resume => {
			const timer = setInterval(() => {
				this.server.closeIdleConnections();
			}, idleCheckInterval);
			this.server.close(() => {
				clearInterval(timer);
				resume(Effect.void);
			});
			this.server.closeIdleConnections();
		});
	}

	private serve(incoming: IncomingMessage, response: ServerResponse, body: RequestBody): void {
		const {socket} = incoming;
		this.requestsBySocket.set(socket, (this.requestsBySocket.get(socket) ?? 0) + 1);
		this.connections.closeAfter(response, () => this.isStopping);
		const fiber = Effect.runFork(this.answer(incoming, response, body));
		response.once('close', () => {
			this.requestsBySocket.set(socket, (this.requestsBySocket.get(socket) ?? 1) - 1);
			if (!response.writableFinished) {
				Effect.runFork(Fiber.interrupt(fiber));
			}
		});
	}

	private answer(incoming: IncomingMessage, response: ServerResponse, body: RequestBody): Effect.Effect<void> {
		const receivedAt = performance.now();
		return this.route(incoming, response, body).pipe(
			Effect.catch(error => body.untilReadOnce().pipe(Effect.andThen(Effect.sync(() => {
				this.refusalLog.write(error, incoming, performance.now() - receivedAt);
				body.release();
				this.refuse(response, error, incoming);
			})))),
			Effect.catchDefect(defect => Effect.sync(() => {
				this.services.log.write('requestFailed', {detail: String(defect)});
				body.release();
				this.refuse(response, Refusal.create('internal', 'The program failed; its log says how.'), incoming);
			})),
		);
	}

	private route(incoming: IncomingMessage, response: ServerResponse, requestBody: RequestBody): Effect.Effect<void, Refusal> {
		return Effect.gen({self: this}, function * () {
			const path = (incoming.url ?? '/').slice(0, maxPathLength).split('?', 1)[0]!;
			const route = this.routes.find(({matches}) => matches(path));
			const account = yield * authenticate(incoming, this.services.table);
			if (!route) {
				return yield * Effect.fail(Refusal.create('no-such-path', 'There is nothing at this path.'));
			}

			if (route.method !== incoming.method) {
				return yield * Effect.fail(Refusal.create('method-not-allowed', `Use ${route.method} here.`));
			}

			const body = yield * this.readBody(requestBody);
			yield * this.limitConcurrency(account.name, this.untilAnswersDue(response, route.answer({
				incoming, response, account, path, body,
			})));
		});
	}

	/** Fails if the box closes before the body is complete, and if it has not come when answers are due. */
	private readBody(body: RequestBody): Effect.Effect<Uint8Array, Refusal> {
		return Effect.suspend(() => {
			const cancel = this.services.stop.onceLeft(0, () => {
				body.giveUp(stoppingRefusal());
			});
			return body.read(this.services.settings.maximumBody).pipe(
				Effect.flatMap(bytes => this.isClosing ? Effect.fail(stoppingRefusal()) : Effect.succeed(bytes)),
				Effect.ensuring(Effect.sync(cancel)),
			);
		});
	}

	/** A handler that is interrupted may have sent the request. A stream that has begun goes on until the process exits. */
	private untilAnswersDue(response: ServerResponse, answer: Effect.Effect<void, Refusal>): Effect.Effect<void, Refusal> {
		const refusal = Effect.suspend(() => response.headersSent
			? Effect.never
			: Effect.fail(Refusal.create('upstream-cut', 'This box is stopping, and no whole answer came before.', {verdict: 'may-have-run'})));
		return Effect.raceFirst(answer, this.services.stop.untilLeft(0).pipe(Effect.andThen(refusal)));
	}

	/** Limits the concurrent requests of a client account, so that one account cannot use all connections of a box. */
	private limitConcurrency(account: ClientAccountName, answer: Effect.Effect<void, Refusal>): Effect.Effect<void, Refusal> {
		return Effect.suspend(() => {
			const open = this.requestsByAccount.get(account) ?? 0;
			if (open >= this.services.settings.maximumRequestsPerAccount) {
				return Effect.fail(Refusal.create('too-many-connections', `This client account has ${open} requests in progress on this box.`));
			}

			this.requestsByAccount.set(account, open + 1);
			return answer.pipe(Effect.ensuring(Effect.sync(() => {
				this.requestsByAccount.set(account, this.requestsByAccount.get(account)! - 1);
			})));
		});
	}

	private refuse(response: ServerResponse, refusal: Refusal, incoming: IncomingMessage): void {
		this.services.metrics.refusals.inc({reason: refusal.reason, verdict: refusal.verdict});
		if (response.headersSent) {
			response.destroy();
			return;
		}

		if (!incoming.complete) {
			// The rest of the body is discarded, so the connection cannot be reused.
			response.shouldKeepAlive = false;
			writeProblem(response, refusal);
			endLingering(incoming, response);
			return;
		}

		sendProblem(response, refusal);
	}

	/**
	 * Answers a parse error, a timeout or another error of a connection with a refusal. While a response is in progress on the connection no
	 * refusal is written, since it would corrupt that response.
	 */
	private answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		const refusal = refusalOfClientError(error.code);
		this.services.metrics.refusals.inc({reason: refusal.reason, verdict: refusal.verdict});
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		if ((this.requestsBySocket.get(socket) ?? 0) > 0) {
			return;
		}

		const problem = problemOf(refusal);
		const body = JSON.stringify(problem);
		socket.end(`HTTP/1.1 ${problem.status} ${problem.title}\r\nContent-Type: application/problem+json\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`);
	}
}

const stoppingRefusal = (): Refusal => Refusal.create('box-stopping', 'This box is stopping; the request was not run.', {retryAfter: 0});

function refusalOfClientError(code: string | undefined): Refusal {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return Refusal.create('headers-too-large', 'The request head is too large.');
	}

	return code === 'ERR_HTTP_REQUEST_TIMEOUT'
		? Refusal.create('sender-too-slow', 'The request did not arrive in time.')
		: Refusal.create('malformed', 'This is not valid HTTP.');
}
