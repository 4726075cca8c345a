/**
 * Outcome summary of one request, reported once in the log and in the metrics.
 */
import type {EventFields} from '../base/event-log.js';
import type {Refusal} from '../base/verdict.js';
import type {RetryBasis} from '../quota/service-retry-budget.js';
import type {Route, ClientAccount} from '../routes/route-table.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {ClientAnswer} from './client-answer.js';
import type {RequestHead} from './relay-format.js';
import type {RelayRun} from './relay-run.js';
import type {RelayServices} from './relay-services.js';

/** The route and client account of a request, once both are known. */
export type RequestAccess = {
	readonly route: Route;
	/** `undefined` if the route needs no key. */
	readonly clientAccount: ClientAccount | undefined;
};

/** What is known when a request arrives. */
export type RequestArrival = {
	readonly services: RelayServices;
	readonly head: RequestHead;
	readonly client: ClientAnswer;
	/** Name of the box that forwarded it; `undefined` if a client sent it. */
	readonly origin: string | undefined;
	/** Arrival time in monotonic milliseconds. */
	readonly receivedAt: number;
};

const millisecondsPerSecond = 1000;

/** Outcome summary of one request; fields that are not known yet are undefined. */
export class RequestSummary {
	/**
	 * @param arrival - What is known at the request's arrival.
	 * @returns A summary without an outcome.
	 */
	static create(arrival: RequestArrival): RequestSummary {
		return new RequestSummary(arrival);
	}

	access: RequestAccess | undefined;
	admitted: AdmittedRequest | undefined;
	run: RelayRun | undefined;
	/** Whether the outcome has been reported; the client may not have received the answer yet. */
	isReported = false;

	private constructor(private readonly arrival: RequestArrival) {}

	private get kind(): string {
		return this.access?.route.kind ?? 'none';
	}

	/** Milliseconds from the request's arrival to the first byte of a replica's answer. */
	private get firstByte(): number | undefined {
		const at = this.run?.record.firstByteAt;
		return at === undefined ? undefined : at - this.arrival.receivedAt;
	}

	private get duration(): number {
		return this.arrival.services.clock.monotonic() - this.arrival.receivedAt;
	}

	/** Reports that the request was answered. */
	reportAnswered(): void {
		this.count('answered');
		this.arrival.services.log.write('requestAnswered', this.fields());
	}

	/** Reports that the client disconnected before its answer was complete. */
	reportLeft(): void {
		this.count('left');
		this.arrival.services.log.write('clientLeft', this.fields());
	}

	/**
	 * Reports that the request was refused.
	 *
	 * @param refusal - The refusal that was sent.
	 */
	reportRefused(refusal: Refusal): void {
		const {reason, verdict, detail, retryAfter} = refusal;
		this.count('refused');
		if (this.arrival.origin === undefined) {
			this.arrival.services.metrics.refusals.inc({reason, verdict});
		}

		this.arrival.services.log.write('requestRefused', {
			...this.fields(), ...this.quotaFields(refusal), reason, verdict, detail, retryAfter,
		});
	}

	/** Fields that tell how far the request had come when its connection ended. */
	get progressFields(): EventFields {
		const {head, origin} = this.arrival;
		const record = this.run?.record;
		return {
			request: head.id,
			origin,
			route: this.access?.route.name,
			took: Math.round(this.duration),
			isSent: record?.sentAt !== undefined,
			replica: record?.replica,
			via: record?.via,
			sinceSent: record?.sentAt === undefined ? undefined : Math.round(this.arrival.services.clock.monotonic() - record.sentAt),
			sinceFirstByte: this.firstByte === undefined ? undefined : Math.round(this.duration - this.firstByte),
		};
	}

	private count(outcome: string): void {
		this.isReported = true;
		const {metrics} = this.arrival.services;
		const {kind, firstByte} = this;
		if (this.arrival.origin !== undefined) {
			metrics.forwardedRequests.inc({outcome});
			return;
		}

		metrics.requests.inc({kind, outcome});
		metrics.duration.observe({kind}, this.duration / millisecondsPerSecond);
		if (firstByte !== undefined) {
			metrics.firstByte.observe({kind}, firstByte / millisecondsPerSecond);
		}
	}

	private fields(): EventFields {
		const {services: {table}, head, client, origin} = this.arrival;
		const {firstByte} = this;
		return {
			request: head.id,
			origin,
			route: this.access?.route.name,
			clientAccount: this.access?.clientAccount?.name,
			service: this.admitted?.service,
			resumesAttempt: head.resumedAttempt,
			resumesAfter: head.lastEventId,
			units: this.admitted?.units,
			status: client.status,
			version: table.version,
			proofAge: Math.round(table.proofAge),
			firstByte: firstByte === undefined ? undefined : Math.round(firstByte),
			took: Math.round(this.duration),
			bytes: client.bytes,
			...this.runFields(),
		};
	}

	/** The quota figures that a refusal is based on, and their age. */
	private quotaFields({reason}: Refusal): EventFields {
		const clientAccount = this.access?.clientAccount;
		const basis = reason === 'ceiling-reached' && clientAccount ? this.arrival.services.quota.basisOf(clientAccount.name) : undefined;
		return basis
			? {
				quotaLevel: basis.level, quotaAdmitted: basis.admittedFraction, quotaToldAge: basis.levelAge, heardPart: basis.reachableFraction,
			}
			: {};
	}

	private runFields(): EventFields {
		const {run} = this;
		return run
			? {
				verdict: run.verdict,
				via: run.record.via,
				forwards: run.record.forwards === 0 ? undefined : run.record.forwards,
				replica: run.record.replica,
				...run.versionFields,
				software: run.record.software.length === 0 ? undefined : run.record.software.join(' '),
				tries: run.record.attempts,
				expectedWait: run.record.expectedWait,
				expectedReading: run.record.expectedReading,
				queuedFor: run.record.queuedFor,
				loadAge: run.record.loadAge,
				refusedConnections: run.record.refusedConnections === 0 ? undefined : run.record.refusedConnections,
				keptFrom: run.record.excludedReplicas === 0 ? undefined : run.record.excludedReplicas,
				missingFor: run.record.missingFor,
				...retryFields(run.record.retryBasis),
				failures: run.record.failures === '' ? undefined : run.record.failures,
				...run.streamFields,
				fingerprint: run.suspicion.reportedFingerprint,
				standing: run.suspicion.status === 'sound' ? undefined : run.suspicion.status,
			}
			: {};
	}
}

/** The figures that the last decision on a retry was based on; they are those of this box and have no age. */
const retryFields = (basis: RetryBasis | undefined): EventFields => basis
	? {
		retryRoom: basis.room, retryShare: basis.share, retryCredit: basis.credit, retriesOpen: basis.open,
	}
	: {};
