/**
 * One attempt to run a request at one replica: connects, sends the request, and forwards the answer.
 */
import * as Effect from 'effect/Effect';
import {isDelimited} from '../base/answer-head.js';
import type {AnswerObservation} from '../rollout/version-evidence.js';
import type {Slot} from '../replicas/limit-slots.js';
import type {Replica} from '../replicas/replica.js';
import type {ChoiceRequest} from '../replicas/replica-choice.js';
import type {Connection} from '../replicas/replica-connections.js';
import {pendingRequest, type AdmittedRequest} from './admitted-request.js';
import {AnswerDelivery} from './answer-delivery.js';
import {AttemptFailure} from './attempt-failure.js';
import {BacklogObservation} from './backlog-observation.js';
import type {ClientAnswer} from './client-answer.js';
import {CostObservation} from './cost-observation.js';
import type {DemandRecorder} from './demand-recorder.js';
import {LoadObservation} from './load-observation.js';
import type {AnswerHead} from './relay-format.js';
import type {RelayServices} from './relay-services.js';
import {
	abandon, abandonUnlessSettled, hasBody, openAnswer, type OpenAnswer, type OutgoingRequest,
} from './replica-exchange.js';
import type {RetryReservation} from './retry-reservation.js';
import type {RunRecord} from './run-record.js';
import type {CrashSuspicion} from './crash-suspicion.js';
import type {StreamForwarder} from './stream-forwarder.js';
import type {StreamVersion} from './stream-version.js';
import type {VersionAssignment} from './version-assignment.js';

/** Milliseconds without the head of an answer after which it is checked whether the replica can be reached; longer for slow replicas. */
const minSilence = 120;
/** The first HTTP status of a client error. */
const firstErrorStatus = 400;
/** Milliseconds after a cut in which the loss of the replica is noticed. */
const lossDetectionTime = 400;
/** Multiple of the mean latency that a replica may take. */
const silenceLatencyFactor = 3;

/** State that all attempts of one request share. */
export type AttemptParts = {
	readonly services: RelayServices;
	readonly client: ClientAnswer;
	readonly streamForwarder: StreamForwarder;
	readonly suspicion: CrashSuspicion;
	readonly demandRecorder: DemandRecorder;
	readonly choiceRequest: ChoiceRequest;
	readonly record: RunRecord;
	readonly retry: RetryReservation;
	readonly version: StreamVersion;
	readonly assignment: VersionAssignment;
};

/** Parameters of one attempt. */
export type AttemptPlan = {
	/** The request, with the route of the configuration that is now in force. */
	readonly request: AdmittedRequest;
	readonly replica: Replica;
	/** The slot that it uses of the replica's rate limit; `undefined` if the replica had announced none. */
	readonly slot: Slot | undefined;
	/** Whether a server error from the replica may be followed by another attempt. */
	readonly mayRetryError: boolean;
};

/** One attempt at one replica. */
export class ReplicaAttempt {
	/**
	 * @param parts - State that all attempts of the request share.
	 * @param plan - Parameters of this attempt.
	 * @returns An attempt; call {@link run} once.
	 */
	static create(parts: AttemptParts, plan: AttemptPlan): ReplicaAttempt {
		return new ReplicaAttempt(parts, plan);
	}

	/** Tokens of the prompt that the replica has to read. */
	private readonly promptTokens: number;
	/** Those tokens that still count as unread in the replica's work. */
	private unreadTokens: number;
	private sentAt = 0;
	/** Software version of the replica when the request was sent. */
	private software = '';
	private readonly delivery: AnswerDelivery;
	/** Evidence on the version of the replica; `undefined` before the request is sent. */
	private observation: AnswerObservation | undefined;
	/** The load reports of this attempt; `undefined` before the request is sent. */
	private loadObservation: LoadObservation | undefined;
	/** What the attempt was expected to cost; `undefined` before it is sent, or if the service is not placed by cost. */
	private costObservation: CostObservation | undefined;
	/** The prompt as part of the replica's backlog; `undefined` before the attempt, or if the service is not placed by cost. */
	private backlogObservation: BacklogObservation | undefined;

	private constructor(private readonly parts: AttemptParts, private readonly plan: AttemptPlan) {
		const {services: {format, resources: {answers}}, client, streamForwarder} = parts;
		const {request, mayRetryError} = plan;
		this.delivery = AnswerDelivery.create({
			format, answers, client, streamForwarder, request, mayRetryError,
		});
		this.promptTokens = parts.services.choice.unreadTokens(plan.replica, parts.choiceRequest);
		this.unreadTokens = this.promptTokens;
	}

	/** Sends the replica's error answer to the client; `undefined` if there is none or it was already sent. */
	get failedAnswer(): (() => void) | undefined {
		return this.delivery.failedAnswer;
	}

	/** @returns An effect that completes when the answer was sent to the client; a failure states whether the request may have run. */
	run(): Effect.Effect<void, AttemptFailure> {
		const {services, suspicion, demandRecorder, record} = this.parts;
		const {replica} = this.plan;
		const beganAt = services.clock.monotonic();
		let endSuspicion = (): void => undefined;
		return Effect.suspend(() => {
			endSuspicion = suspicion.beginAttempt(replica);
			demandRecorder.recordChoice(this.promptTokens);
			replica.begin(this.promptTokens);
			this.backlogObservation = BacklogObservation.begin(services, replica, this.promptTokens);
			return this.connect().pipe(Effect.flatMap(connection => this.send(connection)));
		}).pipe(Effect.ensuring(Effect.sync(() => {
			this.markRead();
			this.backlogObservation?.close();
			this.observation?.close();
			endSuspicion();
			replica.end();
			demandRecorder.recordAttemptEnd(beganAt, record.firstByteAt);
		})));
	}

	private connect(): Effect.Effect<Connection, AttemptFailure> {
		const {parts: {services, record}, plan: {request, replica}} = this;
		return services.connections.of(replica).acquire(request.route.kind !== 'repeatable')
			.pipe(Effect.mapError(({detail, isRefused}) => {
				if (isRefused) {
					record.refusedConnections++;
					replica.recordRefusedConnection();
				} else {
					replica.recordFailure();
				}

				return AttemptFailure.notRun('unreachable', detail);
			}));
	}

	/** Repeats all checks before it sends: connecting may have taken long, or the process may have been suspended. */
	private send({socket}: Connection): Effect.Effect<void, AttemptFailure> {
		return Effect.suspend(() => {
			const {services: {clock, connections, format, limits, statements, metrics}, record} = this.parts;
			const {replica} = this.plan;
			const ofReplica = connections.of(replica);
			const withheld = this.withholdReason();
			if (withheld !== undefined) {
				ofReplica.release(socket, undefined);
				return Effect.fail(AttemptFailure.notRun('withheld', withheld));
			}

			if (!this.parts.retry.mayBeSent) {
				ofReplica.release(socket, undefined);
				return Effect.fail(AttemptFailure.notRun('over-budget', 'the retry budget was spent while the request waited'));
			}

			this.sentAt = clock.monotonic();
			this.parts.assignment.recordTry(replica);
			this.observation = this.parts.services.evidence.observe({
				service: replica.entry.service, route: this.plan.request.route.name, software: replica.entry.software, tokens: this.promptTokens,
			});
			record.executions++;
			record.arrivals++;
			record.sentAt = this.sentAt;
			this.software = replica.entry.software;
			record.software = record.software.at(-1) === this.software ? record.software : [...record.software, this.software];
			record.missingFor = replica.isMissing ? Math.round(replica.missingFor) : undefined;
			if (limits.limitOf(replica) !== undefined) {
				metrics.limitedAttempts.inc({service: replica.entry.service});
			}

			this.costObservation = CostObservation.begin(this.parts.services, replica, {...this.plan.request, unreadTokens: this.promptTokens});
			record.expectedReading = this.costObservation && Math.round(this.costObservation.expected.reading);
			this.loadObservation = LoadObservation.begin(this.parts.services, replica, {isGeneration: this.parts.choiceRequest.promptTokens > 0, unreadTokens: this.promptTokens});
			const onHead = ({statement, load}: AnswerHead) => {
				statements.recordResponse(replica, statement, this.sentAt);
				this.loadObservation?.recordHead(load);
			};

			const silence = this.watchSilence();
			const stopWatching = this.parts.suspicion.cancelWhenQuarantined(() => {
				abandon(socket);
			});
			return openAnswer({
				connections: ofReplica, socket, format, onHead,
			}, this.outgoing).pipe(
				Effect.ensuring(Effect.sync(() => {
					clearTimeout(silence);
					this.parts.retry.recordSent();
				})),
				Effect.flatMap(answer => this.forward(answer)),
				Effect.tapError(failure => Effect.sync(() => {
					this.recordEvidence(failure);
				})),
				abandonUnlessSettled(socket),
				Effect.ensuring(Effect.sync(stopWatching)),
			);
		});
	}

	/** Watches until the head of the answer arrives. */
	private watchSilence(): NodeJS.Timeout {
		const {replica} = this.plan;
		const {sentAt} = this;
		return setTimeout(() => {
			this.parts.services.reach.recordSilence(replica, sentAt);
		}, Math.max(minSilence, replica.latency * silenceLatencyFactor));
	}

	private withholdReason(): string | undefined {
		const {replicas, guard, limits, brittle, statements, stop, demands} = this.parts.services;
		const {replica, slot, request} = this.plan;
		if (!this.parts.client.hasBegun && !stop.mayServe(pendingRequest(request, demands.of(request.service)))) {
			return 'the box stops before the request is expected to be answered';
		}

		if (!replicas.maySendTo(replica)) {
			return 'the replica began to leave';
		}

		if (!this.parts.version.accepts(replica)) {
			return 'the replica runs another software version by now';
		}

		if (!this.parts.assignment.mayUse(replica)) {
			return 'the rollout of its service no longer allows the version of the replica';
		}

		if (statements.remainingPause(replica) > 0) {
			return 'the replica has asked for a time without requests';
		}

		if (request.clientAccount && !guard.allowsKeys) {
			return 'the configuration may be out of date';
		}

		if (!brittle.maySend(replica)) {
			return 'all places of this box at the brittle replica are taken';
		}

		if (this.parts.suspicion.refreshStatus() === 'quarantined') {
			return 'the request was quarantined';
		}

		return limits.maySend(replica, slot) ? undefined : 'the replica has named a limit, and this box\'s part of it is used';
	}

	private get outgoing(): OutgoingRequest {
		const {services: {format}, streamForwarder} = this.parts;
		const {request: {incoming, head, body, clientAccount, deadlineAt, urgency}, replica} = this.plan;
		return {
			id: head.id,
			method: incoming.method ?? 'GET',
			path: incoming.url ?? '/',
			headers: format.requestHeaders(incoming, {
				replica: replica.entry.id,
				clientAccount: clientAccount?.name,
				deadline: deadlineAt - this.sentAt,
				urgency,
				lastEventId: streamForwarder.lastEventId,
				bodyLength: hasBody(incoming) ? body.length : undefined,
			}),
			body: body.length > 0 ? body : undefined,
		};
	}

	private forward(answer: OpenAnswer): Effect.Effect<void, AttemptFailure> {
		const {services, suspicion, demandRecorder, choiceRequest, streamForwarder} = this.parts;
		const {replica} = this.plan;
		const {software} = this;
		const recordEnd = () => {
			if (isDelimited(answer.message)) {
				suspicion.recordCompletion();
				suspicion.recordPartCompletion();
			} else {
				suspicion.recordUndelimitedEnd(replica);
			}
		};

		return this.delivery.deliver(answer, {
			onBytes: () => {
				replica.recordData();
				suspicion.recordProgress();
				this.observation?.recordProgress();
			},
			onFirstEvent: () => {
				this.parts.version.recordFirstEvent(software);
				this.recordAnswerStart(false);
				demandRecorder.recordPromptRead(this.promptTokens, services.clock.monotonic() - this.sentAt);
				services.choice.recordRead(replica, choiceRequest);
				this.loadObservation?.recordStart();
				this.backlogObservation?.recordRead();
				this.costObservation?.recordFirstEvent();
			},
			onBody: isError => {
				this.recordAnswerStart(isError);
				if (!isError) {
					this.observation?.recordCompletion();
				}

				if (answer.status < firstErrorStatus) {
					recordEnd();
					// A complete answer that contains generated text says nothing about its first byte.
					if (choiceRequest.promptTokens === 0) {
						this.loadObservation?.recordStart();
						this.costObservation?.recordEnd(0);
					}
				} else {
					// A request that was rejected was not run, which proves nothing for the parts of its prompt.
					suspicion.recordCompletion();
				}
			},
			onStreamEnd: () => {
				this.observation?.recordCompletion();
				this.costObservation?.recordEnd(streamForwarder.eventCount);
				recordEnd();
			},
		});
	}

	private recordAnswerStart(isError: boolean): void {
		const {services: {clock, usage}, record, suspicion, demandRecorder} = this.parts;
		const {request: {clientAccount}, replica} = this.plan;
		const now = clock.monotonic();
		const isFirst = record.firstByteAt === undefined;
		record.firstByteAt ??= now;
		suspicion.recordAnswerStart();
		demandRecorder.recordAnswerStart();
		this.markRead();
		replica.recordResponse(now - this.sentAt, isError);
		if (isError) {
			this.observation?.recordFailure();
		} else {
			this.observation?.recordStart();
		}

		// Usage counts a request once, however many replicas begin to answer it, and at the box that received it from the client.
		if (isFirst && clientAccount && this.plan.request.origin === undefined) {
			usage.recordRequest(clientAccount.name);
		}
	}

	/** A cut connection is a fault of the version only if its replica goes on; the loss of a replica is none. */
	private recordEvidence({reason, isCut}: AttemptFailure): void {
		const {replica} = this.plan;
		const {observation} = this;
		if (reason === 'garbled') {
			observation?.recordFailure();
		} else if (isCut && observation) {
			setTimeout(() => {
				if (!replica.isLeaving && !replica.isReplaced && !replica.refusesConnections && replica.lastAnsweredAt > this.sentAt) {
					observation.recordFailure();
				}
			}, lossDetectionTime);
		}
	}

	private markRead(): void {
		this.plan.replica.recordRead(this.unreadTokens);
		this.unreadTokens = 0;
	}
}
