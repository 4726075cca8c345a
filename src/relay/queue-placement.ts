/**
 * Lets one request wait in the box while all replicas that may serve it have enough work.
 */
import type {RankedReplica} from '../replicas/replica-choice.js';
import type {Ticket} from '../waiting/queue-entry.js';
import type {QueueDecision} from '../waiting/waiting-request.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {RelayServices} from './relay-services.js';
import type {RunRecord} from './run-record.js';

/** Milliseconds by which what a box knows of replicas is late: the updates of other boxes, and the way of a request. */
const knowledgeAge = 20;

/** Dependencies of the placement. */
export type QueuePlacementServices = {
	readonly services: Pick<RelayServices, 'clock' | 'scheduling' | 'table'>;
	readonly record: RunRecord;
	/** @returns The request, with the route of the configuration that is now in force. */
	readonly request: () => AdmittedRequest;
};

/** The wait of one request in the box. */
export class QueuePlacement {
	/**
	 * @param services - Its dependencies.
	 * @returns A placement of a request that does not wait yet.
	 */
	static create(services: QueuePlacementServices): QueuePlacement {
		return new QueuePlacement(services);
	}

	private ticket: Ticket | undefined;
	private joinedAt = 0;

	private constructor(private readonly parts: QueuePlacementServices) {}

	/**
	 * Only requests with a prompt wait: a call ends before other boxes can tell of it, so that a box does not know when there is room for one. A request
	 * that was sent before is placed at once.
	 */
	get applies(): boolean {
		const {services: {scheduling}, record, request} = this.parts;
		const {service, head} = request();
		return record.attempts === 0 && (head.promptTokens ?? 0) > 0 && scheduling.queuesInBox(service);
	}

	/**
	 * @param ranked - Replicas that may serve the request, best first; at least one.
	 * @returns Whether to send the request to the best of them, to wait, or to refuse it.
	 */
	decide(ranked: readonly RankedReplica[]): QueueDecision {
		const {services: {clock, scheduling}, record, request} = this.parts;
		const {service} = request();
		this.ticket ??= this.join(ranked[0]!);
		const decision = scheduling.queue.decide(this.ticket, {
			leastWork: Math.min(...ranked.map(({expectedStart = 0}) => expectedStart)), age: knowledgeAge, rate: scheduling.roomRate(service), share: undefined,
		});
		if (decision.kind !== 'wait') {
			const queuedFor = Math.round(clock.monotonic() - this.joinedAt);
			record.queuedFor = queuedFor > 0 ? queuedFor : undefined;
			this.ticket = undefined;
		}

		return decision;
	}

	/** Leaves the queue. */
	close(): void {
		if (this.ticket) {
			this.parts.services.scheduling.queue.leave(this.ticket);
			this.ticket = undefined;
		}
	}

	private join({replica}: RankedReplica): Ticket {
		const {services: {clock, scheduling, table}, request} = this.parts;
		const {
			service, urgency, route, clientAccount, receivedAt, deadlineAt, head, body,
		} = request();
		this.joinedAt = clock.monotonic();
		const ownPart = head.parts.at(-1)?.id;
		return scheduling.queue.join({
			service,
			urgency,
			leastUrgency: Math.min(urgency, ...table.inForce?.urgencies(service) ?? []),
			clientAccount: clientAccount?.name,
			arrivedAt: receivedAt,
			goalAt: receivedAt + route.goal,
			deadlineAt,
			cost: {reading: scheduling.readingTime(replica, head.promptTokens ?? 0) * scheduling.paces()(replica)},
			bodyBytes: body.length,
			wasSent: false,
			returnKey: ownPart === undefined ? undefined : `${clientAccount?.name ?? ''}\n${route.name}\n${ownPart}`,
		});
	}
}
