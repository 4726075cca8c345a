/**
 * A client's request that passed admission.
 */
import type {IncomingMessage} from 'node:http';
import type {ServiceDemand} from '../replicas/service-demand.js';
import type {Route, ClientAccount} from '../routes/route-table.js';
import type {PendingRequest} from '../stopping/stop-schedule.js';
import type {RequestHead} from './relay-format.js';

/** A complete request, with its route, client account and limits. */
export type AdmittedRequest = {
	readonly incoming: IncomingMessage;
	readonly head: RequestHead;
	readonly body: Uint8Array;
	readonly route: Route;
	readonly service: string;
	readonly clientAccount: ClientAccount | undefined;
	/** Version of the configuration that it was admitted under. */
	readonly version: number;
	/** Units that it consumes of the client account's quota. */
	readonly units: number;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Name of the box that received it from the client and forwarded it to this one; `undefined` if this one received it. */
	readonly origin: string | undefined;
	/** Software version at which that box requires the stream to go on; `undefined` if it does not, or if a client sent the request. */
	readonly requiredSoftware: string | undefined;
	/** Arrival time in monotonic milliseconds. */
	readonly receivedAt: number;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};

/**
 * @param request - A request of which no answer has begun.
 * @param demand - The demand for its service.
 * @returns What a stop of this box decides by whether to pass it on.
 */
export const pendingRequest = ({route, deadlineAt, origin}: Pick<AdmittedRequest, 'route' | 'deadlineAt' | 'origin'>, demand: ServiceDemand): PendingRequest => ({
	duration: demand.expectedDuration(route.goal), deadlineAt, isCutAtExit: route.kind === 'stream', wasForwarded: origin !== undefined,
});
