/**
 * Serves one admitted request: chooses a replica, sends the request and forwards the answer. After a failed attempt it retries at
 * another replica if the route allows it.
 */
import * as Effect from 'effect/Effect';
import type {EventFields} from '../base/event-log.js';
import type {RefusalReason} from '../base/refusal-reason.js';
import {timerDelay} from '../base/timer-delay.js';
import {Refusal, type Verdict} from '../base/verdict.js';
import type {Replica} from '../replicas/replica.js';
import {pickTarget} from '../routes/route-table.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {AttemptFailure} from './attempt-failure.js';
import type {ClientAnswer} from './client-answer.js';
import {DemandRecorder} from './demand-recorder.js';
import {ForwardedAttempt} from './forwarded-attempt.js';
import type {ForwardingBox} from './forwarding-boxes.js';
import type {RelayServices} from './relay-services.js';
import {ReplicaAttempt, type AttemptParts} from './replica-attempt.js';
import {RetryReservation} from './retry-reservation.js';
import {RunChoice, type RunDecision} from './run-choice.js';
import type {RunRecord} from './run-record.js';
import {CrashSuspicion} from './crash-suspicion.js';
import {StreamForwarder} from './stream-forwarder.js';
import {StreamVersion} from './stream-version.js';
import {VersionAssignment} from './version-assignment.js';

/**
 * Maximum number of attempts for one request, whatever their outcome. Refused connections do not count: they send nothing, and a replica
 * whose process is gone stays listed for some heartbeats and is chosen first, since it has no work.
 */
const maxAttempts = 4;
/** Milliseconds that must be left until the deadline for another attempt to be useful. */
const minAttemptTime = 30;
/** Shortest `Retry-After`, in seconds, of a request that no replica could serve. */
const minRetryAfter = 0.5;
/** Longest `Retry-After`, in seconds, of a request that is not run before the software of the replicas is replaced. */
const maxRetryAfter = 3600;
const millisecondsPerSecond = 1000;
/**
 * Milliseconds for which a request waits in total while other requests that replicas crashed under run: the delay that its client would
 * otherwise be given as `Retry-After`.
 */
const maxTurnWait = minRetryAfter * millisecondsPerSecond;
/** Milliseconds between two checks whether the request may run; short compared with the duration of such a run. */
const turnCheckInterval = 20;

/** Decision to send the request to a replica, or to forward it through another box. */
type Chosen = Extract<RunDecision, {readonly kind: 'go' | 'forward'}>;

/** Serves one request, over all its attempts. */
export class RelayRun {
	/**
	 * @param services - The services of this box.
	 * @param request - The request.
	 * @param client - The answer to write to.
	 * @returns The run; call {@link serve} to start it.
	 */
	static create(services: RelayServices, request: AdmittedRequest, client: ClientAnswer): RelayRun {
		return new RelayRun(services, request, client);
	}

	/** Outcome of the attempts so far. */
	readonly record: RunRecord = {
		attempts: 0, executions: 0, arrivals: 0, sentAt: undefined, refusedConnections: 0, forwards: 0, via: undefined, replica: undefined, software: [], failures: '', firstByteAt: undefined,
		excludedReplicas: 0, missingFor: undefined, expectedWait: undefined, loadAge: undefined, expectedReading: undefined, queuedFor: undefined, retryBasis: undefined,
	};

	/** Whether the request is suspected of crashing replicas. */
	readonly suspicion: CrashSuspicion;
	private readonly streamForwarder: StreamForwarder;
	private readonly choice: RunChoice;
	private readonly parts: AttemptParts;
	private readonly retry: RetryReservation;
	private readonly version: StreamVersion;
	private readonly assignment: VersionAssignment;
	/** Sends the error answer of an earlier attempt; used if no later attempt succeeds. */
	private failedAnswer: (() => void) | undefined;
	/** Monotonic milliseconds at which it first waited for suspected requests to finish. */
	private waitingSince: number | undefined;
	private readonly demandRecorder: DemandRecorder;

	private constructor(
		private readonly services: RelayServices,
		private request: AdmittedRequest,
		private readonly client: ClientAnswer,
	) {
		const {head} = request;
		// The last part belongs to the request or its session alone.
		const sharedParts = head.parts.slice(0, -1);
		this.demandRecorder = DemandRecorder.create({clock: services.clock, demand: () => services.demands.of(this.request.service), goal: () => this.request.route.goal});
		this.suspicion = CrashSuspicion.create({
			clock: services.clock,
			quarantine: services.quarantine,
			crashDetector: services.crashDetector,
			identity: () => ({
				method: request.incoming.method ?? 'GET', target: request.incoming.url ?? '/', clientAccount: request.clientAccount?.name, body: request.body,
			}),
			prompt: () => ({service: this.request.service, sharedParts: sharedParts.map(({id}) => id)}),
		});
		this.streamForwarder = StreamForwarder.create({
			client, format: services.format, metrics: services.metrics, answers: services.resources.answers, lastEventId: request.route.isResumable ? head.lastEventId : undefined,
		});
		this.version = StreamVersion.create({
			clock: services.clock, suspensions: services.suspensions, origins: services.origins, versions: services.versions, request: () => this.request,
		});
		this.assignment = VersionAssignment.create({
			rollouts: services.rollouts, evidence: services.evidence, replicas: services.replicas, request: () => this.request,
		});
		const choiceRequest = {promptTokens: head.promptTokens ?? 0, sharedParts};
		this.choice = RunChoice.create({
			services,
			suspicion: this.suspicion,
			version: this.version,
			assignment: this.assignment,
			choiceRequest,
			record: this.record,
			request: () => this.request,
			hasBegun: () => client.hasBegun,
			waitsForReplica: () => this.verdict === 'may-have-run' && !this.failedAnswer,
		});
		this.retry = RetryReservation.create({
			loans: services.loans, record: this.record, service: () => ({name: this.request.service, budget: services.budgets.of(this.request.service)}),
		});
		this.parts = {
			services,
			client,
			choiceRequest,
			streamForwarder: this.streamForwarder,
			suspicion: this.suspicion,
			demandRecorder: this.demandRecorder,
			record: this.record,
			retry: this.retry,
			version: this.version,
			assignment: this.assignment,
		};
	}

	/** Stream fields for the log record of the request. */
	get streamFields(): EventFields {
		return this.streamForwarder.fields;
	}

	/** Software version of the stream; `undefined` if it has not begun, or the request is no stream. */
	get software(): string | undefined {
		return this.version.software;
	}

	/** Fields on the software version of the stream for the log record of the request. */
	get versionFields(): EventFields {
		return this.version.fields;
	}

	/** Whether a replica may have run the request. */
	get verdict(): Verdict {
		return this.record.executions > 0 ? 'may-have-run' : 'not-run';
	}

	/** @returns An effect that completes when the answer was sent; a refusal states whether the request may have run. */
	serve(): Effect.Effect<void, Refusal> {
		const served = this.tryReplicas().pipe(Effect.as(undefined));
		return Effect.raceFirst(served, this.untilRefused()).pipe(
			// Its attempt has been interrupted by now, so the verdict is final.
			Effect.flatMap(limit => limit === undefined ? Effect.void : Effect.fail(limit === 'deadline' ? this.timeoutRefusal() : this.stopRefusal())),
			Effect.catchTag('Refusal', refusal => this.sendFailedAnswer(refusal)),
			Effect.tapError(refusal => Effect.sync(() => {
				if (!this.wasForwarded) {
					this.demandRecorder.recordRefusal(refusal);
				}
			})),
			Effect.onInterrupt(() => Effect.sync(() => {
				if (!this.wasForwarded) {
					this.demandRecorder.recordClientLeft();
				}
			})),
			Effect.ensuring(Effect.sync(() => {
				this.choice.close();
				this.retry.release();
			})),
		);
	}

	/** @returns Completes at the deadline, or when the process stops and the request must have an answer; a stream that has begun goes on until it exits. */
	private untilRefused(): Effect.Effect<'deadline' | 'stop'> {
		return Effect.callback<'deadline' | 'stop'>(resume => {
			const {clock, stop} = this.services;
			const timer = setTimeout(() => {
				resume(Effect.succeed('deadline'));
			}, timerDelay(this.request.deadlineAt - clock.monotonic()));
			const cancel = stop.onceLeft(0, () => {
				if (!this.client.hasBegun) {
					resume(Effect.succeed('stop'));
				}
			});
			return Effect.sync(() => {
				clearTimeout(timer);
				cancel();
			});
		});
	}

	/** A request that was forwarded is part of the demand at the box that sent it to a replica. */
	private get wasForwarded(): boolean {
		return this.record.forwards > 0;
	}

	/** An error answer from a replica tells the client more than a refusal, so it is preferred. */
	private sendFailedAnswer(refusal: Refusal): Effect.Effect<void, Refusal> {
		return Effect.suspend(() => {
			if (!this.failedAnswer || this.client.hasBegun) {
				return Effect.fail(refusal);
			}

			this.failedAnswer();
			return Effect.void;
		});
	}

	private tryReplicas(): Effect.Effect<void, Refusal> {
		return Effect.gen({self: this}, function * () {
			if (!this.isForwarded) {
				this.services.budgets.of(this.request.service).recordRequest();
				this.services.demands.of(this.request.service).recordClientRequest();
			}

			yield * this.resolveVersion();
			for (;;) {
				yield * this.checkSuspension();
				yield * this.reauthorise();
				yield * this.checkQuarantine();
				const chosen = yield * this.chooseReplica();
				if (!chosen) {
					continue;
				}

				const failure = chosen.kind === 'forward' ? yield * this.tryBox(chosen.box) : yield * this.tryReplica(chosen);
				if (!failure) {
					return;
				}

				yield * this.prepareRetry(failure);
			}
		});
	}

	private resolveVersion(): Effect.Effect<void, Refusal> {
		return this.version.resolve().pipe(Effect.flatMap(mayRun => {
			if (this.version.source !== undefined) {
				this.services.metrics.streamsTakenUp.inc({source: this.version.source});
			}

			return mayRun ? Effect.void : Effect.fail(Refusal.create('stream-origin-unknown', 'Replicas of several software versions serve, and no box knows which of them began the stream.'));
		}));
	}

	/**
	 * Refuses a request that arrived before the machine was suspended: its remaining time is unknown, and its client has probably
	 * disconnected.
	 */
	private checkSuspension(): Effect.Effect<void, Refusal> {
		return Effect.suspend(() => this.services.clock.lastResumedAt() > this.request.receivedAt
			? Effect.fail(this.refuse('no-upstream', 'This box stood still while it held the request.'))
			: Effect.void);
	}

	/** Checks the request against the configuration again if that has changed since the request was admitted or last sent. */
	private reauthorise(): Effect.Effect<void, Refusal> {
		return Effect.suspend(() => {
			const {table, guard} = this.services;
			const {incoming, head, clientAccount, version} = this.request;
			const {inForce} = table;
			if (!inForce || inForce.version === version) {
				return Effect.void;
			}

			const route = inForce.route(incoming.headers.host ?? '', incoming.url ?? '/');
			const holder = clientAccount && head.key !== undefined ? inForce.clientAccount(head.key) : undefined;
			const isAllowed = route !== undefined && holder?.name === clientAccount?.name && guard.allowsKeys;
			if (!isAllowed) {
				return Effect.fail(this.refuse('configuration-stale', 'The configuration no longer allows the request.'));
			}

			const isTarget = route.targets.some(({service}) => service === this.request.service);
			this.request = {
				...this.request, route, version: inForce.version, service: isTarget ? this.request.service : pickTarget(route, Math.random()),
			};
			return Effect.void;
		});
	}

	/**
	 * Refuses a quarantined request. A request that crashes replicas would crash those of all boxes one after the other; it is first run
	 * in isolation, and then no longer run.
	 */
	private checkQuarantine(): Effect.Effect<void, Refusal> {
		return Effect.suspend(() => {
			const {suspicion} = this;
			if (suspicion.refreshStatus() === 'quarantined') {
				const detail = `${this.crashDescription} It is not sent to other replicas until their software changes or the retry time has passed.`;
				const retryAfter = Math.ceil(suspicion.quarantinedFor / millisecondsPerSecond);
				return Effect.fail(this.refuse('quarantined', detail, Math.min(maxRetryAfter, Math.max(minRetryAfter, retryAfter))));
			}

			return Effect.void;
		});
	}

	/** What the client can act on, without the requests of other client accounts. */
	private get crashDescription(): string {
		const positions = this.suspicion.suspectedPositions;
		return positions.length === 0
			? 'Replicas crashed repeatedly while they ran this request.'
			: `Replicas crashed repeatedly while they ran requests with part ${positions.join(' and ')} of its prompt.`;
	}

	/** Waiting is usually shorter than a retry by the client: the suspected request finishes soon, and then others may run. */
	private awaitTurn(): Effect.Effect<undefined, Refusal> {
		return Effect.suspend(() => {
			const now = this.services.clock.monotonic();
			this.waitingSince ??= now;
			return now - this.waitingSince < maxTurnWait
				? Effect.sleep(turnCheckInterval).pipe(Effect.as(undefined))
				: Effect.fail(this.refuse('quarantined', `${this.crashDescription} Such requests run one at a time until a replica has completed one.`, minRetryAfter));
		});
	}

	/** @returns The chosen replica; `undefined` after a wait, when the choice has to be made again. */
	private chooseReplica(): Effect.Effect<Chosen | undefined, Refusal> {
		const decision = this.choice.choose();
		switch (decision.kind) {
			case 'go':
			case 'forward': {
				return Effect.succeed(decision);
			}

			case 'turn': {
				return this.awaitTurn();
			}

			case 'wait': {
				return Effect.sleep(decision.wait).pipe(Effect.as(undefined));
			}

			case 'stop': {
				return Effect.fail(this.stopRefusal());
			}

			case 'refuse': {
				return Effect.fail(this.refuse(decision.reason, decision.detail, Math.max(minRetryAfter, decision.retryDelay / millisecondsPerSecond)));
			}
		}
	}

	/** @returns Why the attempt failed; `undefined` if the answer was sent to the client. */
	private tryReplica({replica, slot}: Extract<Chosen, {readonly kind: 'go'}>): Effect.Effect<AttemptFailure | undefined> {
		return Effect.suspend(() => {
			this.record.attempts++;
			this.record.replica = replica.entry.id;
			const attempt = ReplicaAttempt.create(this.parts, {
				request: this.request, replica, slot, mayRetryError: this.isRepeatable,
			});
			return attempt.run().pipe(
				Effect.as(undefined),
				Effect.catchTag('AttemptFailure', failure => Effect.sync(() => {
					this.failedAnswer = attempt.failedAnswer ?? this.failedAnswer;
					this.recordFailure(replica, failure);
					return failure;
				})),
			);
		});
	}

	/** @returns Why the attempt failed; `undefined` if the answer was sent to the client. A refusal of the other box ends the request. */
	private tryBox(box: ForwardingBox): Effect.Effect<AttemptFailure | undefined, Refusal> {
		return Effect.suspend(() => {
			const {metrics} = this.services;
			this.record.forwards++;
			this.record.via = box.name;
			metrics.forwards.inc({service: this.request.service});
			const attempt = ForwardedAttempt.create(this.parts, {request: this.request, box, mayRetryError: this.isRepeatable});
			return attempt.run().pipe(
				Effect.as(undefined),
				Effect.catchTag('AttemptFailure', failure => Effect.sync(() => {
					this.failedAnswer = attempt.failedAnswer ?? this.failedAnswer;
					this.noteFailure(box.name, failure);
					return failure;
				})),
				Effect.mapError(refusal => this.refusalOfBox(refusal)),
			);
		});
	}

	/** An earlier attempt may have run although the box promises for its own attempt that it did not. */
	private refusalOfBox(refusal: Refusal): Refusal {
		return refusal.verdict === 'not-run' && this.verdict === 'may-have-run'
			? Refusal.create('upstream-cut', refusal.detail, {verdict: 'may-have-run'})
			: refusal;
	}

	private recordFailure(replica: Replica, failure: AttemptFailure): void {
		const {replicas} = this.services;
		this.noteFailure(replica.entry.id, failure);
		this.assignment.recordTry(replica);
		if (failure.verdict === 'not-run' && failure.mayHaveArrived) {
			this.record.executions--;
		}

		if (failure.reason === 'elsewhere') {
			replicas.markLeaving(replica.entry, 'replica');
		} else if ((failure.reason === 'refused' || failure.isCut) && !this.suspicion.wasCancelled) {
			replica.recordFailure();
		} else if (failure.reason === 'garbled' && !this.suspicion.wasCancelled) {
			replica.recordGarbled();
		}

		if (failure.isCut) {
			this.suspicion.recordCut(replica);
		}
	}

	private noteFailure(target: string, {reason, detail}: AttemptFailure): void {
		this.services.metrics.attemptFailures.inc({reason});
		this.record.failures += `${this.record.failures === '' ? '' : '; '}${target}: ${reason}: ${detail}`;
	}

	/** @returns An effect that succeeds if another attempt is allowed, and otherwise fails with the refusal that ends the request. */
	private prepareRetry(failure: AttemptFailure): Effect.Effect<void, Refusal> {
		return Effect.gen({self: this}, function * () {
			const {metrics} = this.services;
			const reason = this.reasonToDeny(failure) ?? (failure.mayHaveArrived && !(yield * this.retry.acquire()) ? 'budget' : undefined);
			if (reason !== undefined) {
				metrics.retriesDenied.inc({because: reason});
				yield * Effect.fail(this.refusalOf(failure));
			}

			metrics.retries.inc({reason: failure.reason});
		});
	}

	/** @returns Why no other attempt is allowed, whatever the retry budget; `undefined` if one is. */
	private reasonToDeny(failure: AttemptFailure): 'budget' | 'kind' | 'attempts' | 'suspect' | 'time' | undefined {
		if (failure.reason === 'over-budget') {
			return 'budget';
		}

		if (failure.verdict !== 'not-run' && !this.mayRunAgain(failure)) {
			return 'kind';
		}

		if (this.record.executions >= this.request.route.maximumAttempts && failure.verdict !== 'not-run') {
			return 'attempts';
		}

		// The probe that decides whether this cut was a crash is still running; a request that is already suspected must not run again before.
		if (failure.isCut && this.suspicion.refreshStatus() !== 'sound') {
			return 'suspect';
		}

		const hasTries = this.record.attempts - this.record.refusedConnections < maxAttempts;
		return !hasTries || this.request.deadlineAt - this.services.clock.monotonic() < minAttemptTime ? 'time' : undefined;
	}

	/** Whether another box forwarded the request to this one. That box counts its executions, so this one runs it at most once. */
	private get isForwarded(): boolean {
		return this.request.origin !== undefined;
	}

	/** Whether the route allows the request to be run again from the beginning. */
	private get isRepeatable(): boolean {
		const {kind, isResumable} = this.request.route;
		return !this.isForwarded && (kind === 'repeatable' || (kind === 'stream' && isResumable));
	}

	/** Whether the request may be run again after this failure. A resumable stream continues after the last event that the client has. */
	private mayRunAgain({reason}: AttemptFailure): boolean {
		const {kind, isResumable} = this.request.route;
		if (this.isForwarded) {
			return false;
		}

		if (kind === 'stream') {
			return isResumable && (reason !== 'failed' || !this.client.hasBegun);
		}

		return kind === 'repeatable' && !this.client.hasBegun;
	}

	private refusalOf({reason, detail}: AttemptFailure): Refusal {
		if (this.suspicion.wasCancelled) {
			return Refusal.create('upstream-cut', `${this.crashDescription} Its attempt was cancelled.`, {verdict: 'may-have-run'});
		}

		if (this.verdict === 'may-have-run') {
			return Refusal.create('upstream-cut', `The replica brought no whole answer: ${detail}.`, {verdict: 'may-have-run'});
		}

		return this.refuse(reason === 'refused' ? 'upstream-refused' : 'no-upstream', `The request was not run: ${detail}.`);
	}

	private refuse(reason: RefusalReason, detail: string, retryAfter = minRetryAfter): Refusal {
		return this.verdict === 'not-run'
			? Refusal.create(reason, detail, {retryAfter})
			: Refusal.create('upstream-cut', detail, {verdict: 'may-have-run'});
	}

	private stopRefusal(): Refusal {
		return this.verdict === 'not-run'
			? Refusal.create('box-stopping', 'This box is stopping; the request was not run.', {retryAfter: 0})
			: Refusal.create('upstream-cut', 'This box is stopping, and no whole answer came before.', {verdict: 'may-have-run'});
	}

	private timeoutRefusal(): Refusal {
		return this.verdict === 'not-run'
			? Refusal.create('capacity-short', 'No replica took the request in time; it was not run.', {retryAfter: minRetryAfter})
			: Refusal.create('deadline-passed', 'No whole answer came in time.');
	}
}
