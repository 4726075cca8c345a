/**
 * Predicts the cost of one attempt, and lets the cost model learn what it took.
 */
import type {Replica} from '../replicas/replica.js';
import {RequestShape, type RequestCost} from '../request-cost/request-shape.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {RelayServices} from './relay-services.js';

/** What the observation depends on. */
export type CostObservationServices = Pick<RelayServices, 'clock' | 'scheduling' | 'table'>;

/**
 * @param request - A request.
 * @param unreadTokens - Prompt tokens that its replica has to read.
 * @returns What its cost depends on.
 */
export function shapeOf({route, head, body}: Pick<AdmittedRequest, 'route' | 'head' | 'body'>, unreadTokens: number): RequestShape {
	return RequestShape.create({
		route: route.name, unreadTokens, outputTokens: head.outputTokens, hint: head.lengthHint, bodyBytes: body.length,
	});
}

/** The cost of one attempt. */
export class CostObservation {
	/**
	 * @param services - Dependencies.
	 * @param replica - The replica that the request is sent to now.
	 * @param request - The request, with the prompt tokens that the replica has to read.
	 * @returns An observation; `undefined` if the service is not placed by cost.
	 */
	static begin(
		services: CostObservationServices,
		replica: Replica,
		request: Pick<AdmittedRequest, 'route' | 'head' | 'body'> & {readonly unreadTokens: number},
	): CostObservation | undefined {
		return services.scheduling.placesByCost(replica.entry.service) ? new CostObservation(services, replica, shapeOf(request, request.unreadTokens)) : undefined;
	}

	/** What the request was expected to cost. */
	readonly expected: RequestCost;
	private readonly sentAt: number;
	/** Milliseconds of reading that were expected ahead of the request. */
	private readonly ahead: number;
	private readonly concurrent: number;
	private firstEventAt: number | undefined;

	private constructor(private readonly services: CostObservationServices, private readonly replica: Replica, private readonly shape: RequestShape) {
		const {clock, scheduling} = services;
		this.sentAt = clock.monotonic();
		this.expected = this.model.expect(shape, this.sentAt);
		this.concurrent = Math.max(0, replica.work.requests - 1);
		// The backlog already includes this request.
		this.ahead = Math.max(0, scheduling.backlogs.expectedStart(replica.start) - this.expected.reading);
	}

	/** Records the first event of the answer. */
	recordFirstEvent(): void {
		this.firstEventAt ??= this.services.clock.monotonic();
	}

	/**
	 * Records that the answer is complete.
	 *
	 * @param events - Events of a stream, zero for a call.
	 */
	recordEnd(events: number): void {
		const {clock, scheduling, table} = this.services;
		const now = clock.monotonic();
		const {service} = this.replica.entry;
		const tokensPerEvent = table.inForce?.service(service)?.tokensPerEvent ?? 1;
		// A slow phase of the machine is no property of the request.
		const pace = scheduling.paces()(this.replica);
		this.model.learn(this.shape, {
			firstEvent: ((this.firstEventAt ?? now) - this.sentAt) / pace,
			total: (now - this.sentAt) / pace,
			outputTokens: events * tokensPerEvent,
			concurrent: this.concurrent,
			aheadTokens: scheduling.tokensIn(this.replica, this.ahead),
		});
		scheduling.recordError(service, this.model.error);
	}

	private get model() {
		const {service, software} = this.replica.entry;
		return this.services.scheduling.costs.of(service, software);
	}
}
