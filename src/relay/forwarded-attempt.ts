/**
 * One attempt to run a request through another box, which sends it to a replica once. It is used if this box cannot reach the replicas.
 *
 * @remarks Source: docs/DESIGN.md, "Boxes without a path to the replicas".
 */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import * as Effect from 'effect/Effect';
import type {RefusalReason} from '../base/refusal-reason.js';
import type {Refusal} from '../base/verdict.js';
import {pendingRequest, type AdmittedRequest} from './admitted-request.js';
import {AnswerDelivery} from './answer-delivery.js';
import {AttemptFailure} from './attempt-failure.js';
import {
	forwardHeaders, mayHaveArrived, readRefusal, readSoftware,
} from './forward-head.js';
import type {ForwardingBox} from './forwarding-boxes.js';
import type {AnswerHead} from './relay-format.js';
import type {AttemptParts} from './replica-attempt.js';
import {
	abandonUnlessSettled, hasBody, openAnswer, readBody, type OpenAnswer, type OutgoingRequest,
} from './replica-exchange.js';

/** Refusals of a box that say nothing about the request: another box may serve it. So does a `replica-limit` before the goal has passed. */
const refusalsOfBox: ReadonlySet<RefusalReason> = new Set(['no-upstream', 'not-ready', 'box-stopping', 'configuration-stale']);

/** Maximum size in bytes of the body of a refusal of another box, which is not passed on. */
const maxRefusalBytes = 65_536;

/** Parameters of one attempt. */
export type ForwardedAttemptPlan = {
	/** The request, with the route of the configuration that is now in force. */
	readonly request: AdmittedRequest;
	readonly box: ForwardingBox;
	/** Whether a server error may be followed by another attempt. */
	readonly mayRetryError: boolean;
};

/** One attempt through another box. */
export class ForwardedAttempt {
	/**
	 * @param parts - State that all attempts of the request share.
	 * @param plan - Parameters of this attempt.
	 * @returns An attempt; call {@link run} once.
	 */
	static create(parts: AttemptParts, plan: ForwardedAttemptPlan): ForwardedAttempt {
		return new ForwardedAttempt(parts, plan);
	}

	private readonly delivery: AnswerDelivery;
	/** The refusal that the other box answered with; `undefined` if it passed on the answer of a replica. */
	private refusal: Refusal | undefined;
	/** Whether a replica may have received the request, although the other box refused it. */
	private hasArrived = true;
	private sentAt = 0;

	private constructor(private readonly parts: AttemptParts, private readonly plan: ForwardedAttemptPlan) {
		const {services: {format, resources: {answers}}, client, streamForwarder} = parts;
		const {request, mayRetryError} = plan;
		this.delivery = AnswerDelivery.create({
			format, answers, client, streamForwarder, request, mayRetryError,
		});
	}

	/** Sends the replica's error answer to the client; `undefined` if there is none or it was already sent. */
	get failedAnswer(): (() => void) | undefined {
		return this.delivery.failedAnswer;
	}

	/**
	 * @returns An effect that completes when the answer was sent to the client. A failure states whether the request may have run; a refusal
	 * is that of the other box and final.
	 */
	run(): Effect.Effect<void, AttemptFailure | Refusal> {
		const {box} = this.plan;
		return Effect.suspend(() => {
			box.inProgress++;
			return this.connect().pipe(Effect.flatMap(socket => this.send(socket)));
		}).pipe(Effect.ensuring(Effect.sync(() => {
			box.inProgress--;
		})));
	}

	private connect(): Effect.Effect<Socket, AttemptFailure> {
		const {parts: {services: {forwarding}}, plan: {request, box}} = this;
		return box.connections.acquire(request.route.kind !== 'repeatable').pipe(
			Effect.map(({socket}) => socket),
			Effect.mapError(({detail}) => {
				forwarding.avoid(box);
				return AttemptFailure.notRun('unreachable', detail);
			}),
		);
	}

	private send(socket: Socket): Effect.Effect<void, AttemptFailure | Refusal> {
		return Effect.suspend(() => {
			const {services: {clock, guard, stop, demands}, client, record} = this.parts;
			const {box, request} = this.plan;
			if (!client.hasBegun && !stop.mayServe(pendingRequest(request, demands.of(request.service)))) {
				box.connections.release(socket, undefined);
				return Effect.fail(AttemptFailure.notRun('withheld', 'the box stops before the request is expected to be answered'));
			}

			if (request.clientAccount && !guard.allowsKeys) {
				box.connections.release(socket, undefined);
				return Effect.fail(AttemptFailure.notRun('withheld', 'the configuration may be out of date'));
			}

			if (!this.parts.retry.mayBeSent) {
				box.connections.release(socket, undefined);
				return Effect.fail(AttemptFailure.notRun('over-budget', 'the retry budget was spent while the request waited'));
			}

			this.sentAt = clock.monotonic();
			record.sentAt = this.sentAt;
			record.executions++;
			const path = {connections: box.connections, socket, format: {readAnswer: (answer: IncomingMessage) => this.readAnswer(answer)}};
			return openAnswer(path, this.outgoing).pipe(
				Effect.ensuring(Effect.sync(() => {
					this.parts.retry.recordSent();
				})),
				Effect.flatMap(answer => this.refusal ? this.applyRefusal(answer, this.refusal) : this.deliver(answer)),
				Effect.tapError(failure => Effect.sync(() => {
					// The other box passes on only what it has checked itself.
					if (failure._tag === 'AttemptFailure' && failure.reason === 'garbled') {
						this.parts.services.forwarding.avoid(box);
					}
				})),
				abandonUnlessSettled(socket),
			);
		});
	}

	private get outgoing(): OutgoingRequest {
		const {services: {format, box: origin}, streamForwarder} = this.parts;
		const {incoming, head, body, deadlineAt, version, service} = this.plan.request;
		const headers = format.forwardHeaders(incoming, {
			deadline: deadlineAt - this.sentAt, lastEventId: streamForwarder.lastEventId, bodyLength: hasBody(incoming) ? body.length : undefined,
		});
		return {
			id: head.id,
			method: incoming.method ?? 'GET',
			path: incoming.url ?? '/',
			headers: [...headers, ...forwardHeaders({
				origin, version, service, software: this.parts.version.software,
			})],
			body: body.length > 0 ? body : undefined,
		};
	}

	/** A refusal of the other box names no request, but is an answer to this one. */
	private readAnswer(answer: IncomingMessage): AnswerHead {
		const {services: {format}} = this.parts;
		const head = format.readAnswer(answer);
		const pause = Number(answer.headers['retry-after'] ?? Number.NaN);
		this.refusal = readRefusal(answer, Number.isFinite(pause) ? pause : undefined);
		this.hasArrived = mayHaveArrived(answer);
		return this.refusal
			? {
				...head, id: this.plan.request.head.id, isNotRun: false, isMisdirected: false,
			}
			: head;
	}

	private applyRefusal(answer: OpenAnswer, refusal: Refusal): Effect.Effect<never, AttemptFailure | Refusal> {
		const {parts: {services: {forwarding, clock, resources: {answers}}, record}, plan: {box, request: {receivedAt, route}}} = this;
		const {reason, verdict, detail} = refusal;
		if (verdict === 'not-run') {
			record.executions--;
		}

		const failure = (): AttemptFailure | Refusal => {
			const isOfBox = refusalsOfBox.has(reason) || (reason === 'replica-limit' && clock.monotonic() < receivedAt + route.goal);
			if (verdict === 'not-run' && isOfBox) {
				forwarding.avoid(box);
				return AttemptFailure.notRun('not-forwarded', detail, this.hasArrived);
			}

			return reason === 'upstream-cut' ? AttemptFailure.mayHaveRun('cut', detail) : refusal;
		};

		// The body is read so that the connection can be used again.
		return readBody(answer, {maxBytes: maxRefusalBytes, answers}).pipe(Effect.ignore, Effect.andThen(Effect.suspend(() => Effect.fail(failure()))));
	}

	private deliver(answer: OpenAnswer): Effect.Effect<void, AttemptFailure> {
		return this.delivery.deliver(answer, {
			onBytes: ignore,
			onFirstEvent: () => {
				this.parts.version.recordForwarded(readSoftware(answer.message));
				this.recordAnswerStart();
			},
			onBody: () => {
				this.recordAnswerStart();
			},
			onStreamEnd: ignore,
		});
	}

	private recordAnswerStart(): void {
		const {services: {clock, usage, forwarding}, record} = this.parts;
		const {box, request: {clientAccount}} = this.plan;
		forwarding.recordServed(box);
		if (record.firstByteAt === undefined && clientAccount) {
			usage.recordRequest(clientAccount.name);
		}

		record.firstByteAt ??= clock.monotonic();
	}
}

const ignore = (): void => undefined;
