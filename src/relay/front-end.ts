/**
 * The HTTP front end: receives clients' requests, admits or refuses them, and ensures that each gets exactly one final answer.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as ConnectionServer, type Socket} from 'node:net';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import {closingCauseOf, type ClosingCause} from '../base/closing-cause.js';
import {headerFaultOf} from '../base/header-fault.js';
import {isLingering} from '../base/lingering-close.js';
import {OpenResponses} from '../base/open-responses.js';
import {Refusal} from '../base/verdict.js';
import type {RequestBody} from '../resources/request-body.js';
import {isWhole} from '../resources/send-body.js';
import type {ServerConnections} from '../resources/server-connections.js';
import {
	type Route, type RouteTable, type ClientAccount, pickTarget,
} from '../routes/route-table.js';
import type {PendingRequest} from '../stopping/stop-schedule.js';
import {pendingRequest, type AdmittedRequest} from './admitted-request.js';
import {ClientAnswer} from './client-answer.js';
import {
	readForwardHead, refusalHeaders, softwareHeader, type ForwardHead,
} from './forward-head.js';
import type {RequestHead} from './relay-format.js';
import {RelayRun} from './relay-run.js';
import {RequestSummary, type RequestAccess} from './request-summary.js';
import type {RelayServices} from './relay-services.js';

/** Maximum bytes of a request's head. */
export const maxHeadBytes = 65_536;
/** Turns of the event loop without a connection, of which Node accepts one in each, after which none waits to be accepted. */
const turnsWithoutConnection = 2;
/** Milliseconds for which a process that was held up accepts the connections that wait, although it should have exited. */
const overdueAcceptTime = 200;
/** Milliseconds within which a complete request must arrive. */
const receiveTimeout = 30_000;
const mostUrgent = 0;
const leastUrgent = 9;
const millisecondsPerSecond = 1000;
/** `Retry-After` in seconds from a box whose configuration is missing or out of date. */
const configurationRetryAfter = 0.3;

/** Input of an admission. */
type Admission = RequestAccess & {
	readonly table: RouteTable;
	/** What the box that forwarded the request tells; `undefined` if a client sent it. */
	readonly forward: ForwardHead | undefined;
	/** Monotonic milliseconds. */
	readonly receivedAt: number;
};

/** A request, its response, and the connections of its listener. */
type Exchange = {
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: RequestBody;
	readonly connections: ServerConnections;
};

/** A request whose answer is not complete; its summary is `undefined` while it waits for an earlier one of its connection. */
type OpenRequest = {readonly incoming: IncomingMessage; summary: RequestSummary | undefined};

/** The HTTP front end of one box. */
export class FrontEnd {
	/**
	 * @param services - The services that handle requests.
	 * @param isStarting - Returns whether this process has not restored what it needs to serve requests.
	 * @returns A front end that is not listening yet.
	 */
	static create(services: RelayServices, isStarting: () => boolean): FrontEnd {
		return new FrontEnd(services, isStarting);
	}

	/** Node's server. The caller that makes it listen also closes it. */
	readonly server: Server;
	/** Responses to clients that are not complete. */
	readonly responses: OpenResponses;
	/** All requests that have been received, whether they are in progress or wait for an earlier one of their connection. */
	private readonly received = new Map<ServerResponse, OpenRequest>();
	private active = 0;
	private readonly idleListeners: Array<() => void> = [];

	private constructor(private readonly services: RelayServices, private readonly isStarting: () => boolean) {
		this.server = createServer({maxHeaderSize: maxHeadBytes, requestTimeout: receiveTimeout, noDelay: true}, (incoming, response) => {
			this.handle(incoming, response, connections);
		});
		const connections = services.resources.limitServer('clients', this.server, maxHeadBytes);
		this.server.on('clientError', (error, socket) => {
			connections.recordError(error, socket as Socket);
		});
		this.responses = OpenResponses.watch(this.server);
		this.responses.onWillReset(response => {
			this.reportIncomplete(response, 'exit');
		});
		this.server.keepAliveTimeout = 0;
		services.table.onDidApply(({content: {limits}}) => {
			this.server.keepAliveTimeout = limits.idleTimeout;
			this.server.headersTimeout = limits.headerTimeout;
		});
	}

	/** Requests in progress. */
	get inProgress(): number {
		return this.active;
	}

	/** Requests, from clients and other boxes, whose answer has not begun, or is only waiting to be read by its client. */
	get unanswered(): number {
		return [...this.received.keys()].filter(response => !response.headersSent || isWhole(response)).length;
	}

	/**
	 * Refuses new connections from now on; open ones are still served. Those that wait to be accepted are accepted first, as far as there is time, since closing
	 * the socket resets them.
	 *
	 * @returns Completes when the server does not listen any more.
	 */
	stopListening(): Effect.Effect<void> {
		return Effect.callback<void>(resume => {
			const {server, services: {clock, stop}} = this;
			const endsAt = clock.monotonic() + Math.min(stop.untilLastExit, Math.max(stop.untilExit, overdueAcceptTime));
			let quietTurns = 0;
			server.on('connection', () => {
				quietTurns = 0;
			});
			const check = () => {
				quietTurns++;
				if (quietTurns <= turnsWithoutConnection && clock.monotonic() < endsAt) {
					setImmediate(check);
					return;
				}

				// That of the HTTP server closes idle connections too.
				ConnectionServer.prototype.close.call(server);
				resume(Effect.void);
			};

			check();
		});
	}

	/** @returns An effect that completes when no request is in progress. */
	whenIdle(): Effect.Effect<void> {
		return Effect.callback<void>(resume => {
			if (this.active === 0) {
				resume(Effect.void);
				return;
			}

			this.idleListeners.push(() => {
				resume(Effect.void);
			});
		});
	}

	/**
	 * Handles a request that another box forwarded.
	 *
	 * @param incoming - A request from another box.
	 * @param response - Its response.
	 * @param connections - Connections of the listener.
	 * @returns Whether it is a forwarded request; otherwise nothing is done.
	 */
	handleForwarded(incoming: IncomingMessage, response: ServerResponse, connections: ServerConnections): boolean {
		const forward = readForwardHead(incoming);
		if (forward) {
			this.handle(incoming, response, connections, forward);
		}

		return forward !== undefined;
	}

	/** Collects the body from now on, and handles the request when the earlier ones of its connection have been answered. */
	private handle(incoming: IncomingMessage, response: ServerResponse, connections: ServerConnections, forward?: ForwardHead): void {
		const body = this.services.resources.requestBodies.receive(incoming);
		this.received.set(response, {incoming, summary: undefined});
		response.once('finish', () => {
			this.received.delete(response);
		});
		response.once('close', () => {
			this.reportIncomplete(response, closingCauseOf(incoming.socket));
		});
		connections.enqueue({
			incoming,
			response,
			body,
			start: () => {
				this.serve({
					incoming, response, body, connections,
				}, forward);
			},
		});
	}

	/** Runs one fiber for each request, which is interrupted when the client disconnects. */
	private serve(exchange: Exchange, forward?: ForwardHead): void {
		const {response} = exchange;
		this.active++;
		this.services.metrics.inProgress.set(this.active);
		const fiber = Effect.runFork(Effect.suspend(() => this.answer(exchange, forward)));
		response.once('close', () => {
			Effect.runFork(Fiber.interrupt(fiber));
			this.active--;
			this.services.metrics.inProgress.set(this.active);
			if (this.active === 0) {
				for (const listener of this.idleListeners.splice(0)) {
					listener();
				}
			}
		});
	}

	/** Reports a response that ended before it was sent completely; once, and not for a client that left while its request was in progress. */
	private reportIncomplete(response: ServerResponse, cause: ClosingCause | 'client'): void {
		const open = this.received.get(response);
		if (!open) {
			return;
		}

		this.received.delete(response);
		// Only the rest of the request was awaited.
		if (isLingering(response) && response.writableLength === 0) {
			return;
		}

		const {incoming, summary} = open;
		const {format, log, metrics, stop} = this.services;
		const progress = summary?.progressFields ?? {request: format.readRequest(incoming).id, isSent: false};
		metrics.incompleteAnswers.inc({cause, sent: String(progress.isSent)});
		if (cause === 'client' && summary?.isReported === false) {
			return;
		}

		log.write('answerIncomplete', {
			...progress,
			cause,
			isHeadSent: response.headersSent,
			isRequestComplete: incoming.complete,
			unsent: response.writableLength,
			sinceStop: stop.isStopping ? Math.round(stop.elapsed) : undefined,
		});
	}

	private answer({incoming, response, body, connections}: Exchange, forward: ForwardHead | undefined): Effect.Effect<void> {
		const {clock, format, log, stop} = this.services;
		const receivedAt = clock.monotonic();
		const head = format.readRequest(incoming);
		const client = ClientAnswer.create(response, () => stop.isStopping && !connections.hasReceivedMore(incoming.socket), forward && {
			ofRefusal: refusal => refusalHeaders(refusal, summary.run?.record.arrivals ?? 0),
			ofAnswer: () => softwareHeader(summary.run?.software),
		});
		const summary: RequestSummary = RequestSummary.create({
			services: this.services, head, client, origin: forward?.origin, receivedAt,
		});
		const open = this.received.get(response);
		if (open) {
			open.summary = summary;
		}

		const serving = Effect.gen({self: this}, function * () {
			const fault = headerFaultOf(incoming.rawHeaders);
			if (fault !== undefined) {
				return yield * Effect.fail(Refusal.create('malformed', `Malformed request: ${fault}.`));
			}

			const table = yield * this.tableInForce(forward?.version);
			const access = yield * this.authorise(incoming, head, table);
			summary.access = access;
			const admitted = yield * this.admit(incoming, head, body, {
				table, forward, receivedAt, ...access,
			});
			summary.admitted = admitted;
			const run = RelayRun.create(this.services, admitted, client);
			summary.run = run;
			yield * run.serve();
			summary.reportAnswered();
		});
		return serving.pipe(
			Effect.catchTag('Refusal', refusal => body.untilReadOnce().pipe(Effect.andThen(Effect.sync(() => {
				this.refundQuota(summary.admitted, refusal);
				body.release();
				client.refuse(refusal);
				summary.reportRefused(refusal);
			})))),
			Effect.onInterrupt(() => Effect.sync(() => {
				summary.reportLeft();
			})),
			Effect.catchDefect(defect => Effect.sync(() => {
				log.write('requestFailed', {request: head.id, detail: String(defect)});
				client.refuse(Refusal.create('internal', 'The request failed for a fault of the program.'));
			})),
		);
	}

	/** @param minVersion - Version that the box that forwarded the request applied; `undefined` if a client sent the request. */
	private tableInForce(minVersion = 0): Effect.Effect<RouteTable, Refusal> {
		return Effect.suspend(() => {
			const table = this.services.table.inForce;
			if (!table || !this.services.replicas.isKnown || this.isStarting()) {
				return Effect.fail(Refusal.create('not-ready', 'This box knows no configuration yet.', {retryAfter: configurationRetryAfter}));
			}

			if (table.version < minVersion) {
				return Effect.fail(Refusal.create('configuration-stale', 'The configuration is older than that of the box that received the request.', {retryAfter: configurationRetryAfter}));
			}

			return this.services.stop.isClosing ? Effect.fail(stoppingRefusal()) : Effect.succeed(table);
		});
	}

	private admit(
		incoming: IncomingMessage,
		head: RequestHead,
		requestBody: RequestBody,
		{table, forward, receivedAt, route, clientAccount}: Admission,
	): Effect.Effect<AdmittedRequest, Refusal> {
		return Effect.gen({self: this}, function * () {
			const isTarget = route.targets.some(({service}) => service === forward?.service);
			const service = forward && isTarget ? forward.service : pickTarget(route, Math.random());
			const deadlineAt = receivedAt + Math.min(head.deadline ?? route.timeout, route.timeout);
			const origin = forward?.origin;
			const pending = pendingRequest({route, deadlineAt, origin}, this.services.demands.of(service));
			const body = yield * this.readBody(requestBody, table.content.limits.body, pending);
			const units = unitsOf(clientAccount, head);
			// The box that received the request from the client has charged it.
			if (clientAccount && !forward) {
				yield * this.chargeQuota(clientAccount, units);
			}

			return {
				incoming, head, body, route, clientAccount, units, receivedAt, deadlineAt, origin,
				requiredSoftware: forward?.software,
				version: table.version,
				service,
				urgency: Math.min(leastUrgent, Math.max(mostUrgent, table.priority(route, clientAccount))),
			};
		});
	}

	/** Fails as soon as the box, which is stopping, can no longer serve the request once its body is complete. */
	private readBody(body: RequestBody, limit: number, pending: PendingRequest): Effect.Effect<Uint8Array, Refusal> {
		return Effect.suspend(() => {
			const cancel = this.services.stop.onceUnservable(pending, () => {
				body.giveUp(stoppingRefusal());
			});
			return body.read(limit).pipe(Effect.ensuring(Effect.sync(cancel)));
		});
	}

	private authorise(incoming: IncomingMessage, head: RequestHead, table: RouteTable): Effect.Effect<RequestAccess, Refusal> {
		const {guard} = this.services;
		const stale = () => Effect.fail(Refusal.create('configuration-stale', 'The configuration may be out of date here.', {retryAfter: configurationRetryAfter}));
		const absent = (refusal: Refusal) => guard.trustsAbsence ? Effect.fail(refusal) : stale();
		const route = table.route(incoming.headers.host ?? '', incoming.url ?? '/');
		if (!route) {
			return absent(Refusal.create('no-such-path', 'No route leads there.'));
		}

		if (route.isPublic || !table.needsKeys) {
			return Effect.succeed({route, clientAccount: undefined});
		}

		const clientAccount = head.key === undefined ? undefined : table.clientAccount(head.key);
		if (!clientAccount) {
			return absent(Refusal.create(head.key === undefined ? 'key-missing' : 'key-unknown', 'The request carries no key that is in force.'));
		}

		return guard.allowsKeys ? Effect.succeed({route, clientAccount}) : stale();
	}

	private chargeQuota(clientAccount: ClientAccount, units: number): Effect.Effect<void, Refusal> {
		return Effect.suspend(() => {
			const wait = this.services.quota.take(clientAccount.name, units);
			return wait === 0
				? Effect.void
				: Effect.fail(Refusal.create('ceiling-reached', 'The client account is past its quota.', {retryAfter: Math.ceil(wait) / millisecondsPerSecond}));
		});
	}

	private refundQuota(request: AdmittedRequest | undefined, {verdict}: Refusal): void {
		if (request?.clientAccount && request.origin === undefined && verdict === 'not-run') {
			this.services.quota.giveBack(request.clientAccount.name, request.units);
		}
	}
}

/** Other boxes can serve the request at once. */
const stoppingRefusal = (): Refusal => Refusal.create('box-stopping', 'This box is stopping.', {retryAfter: 0});

function unitsOf(clientAccount: ClientAccount | undefined, {promptTokens, outputTokens}: RequestHead): number {
	if (clientAccount?.unit !== 'tokens') {
		return 1;
	}

	return promptTokens === undefined ? clientAccount.plainTokens : promptTokens + outputTokens;
}
