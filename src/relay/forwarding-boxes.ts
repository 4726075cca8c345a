/**
 * Chooses the box that a request is forwarded through when this one cannot reach the replicas of its service.
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import {sampleOf} from '../base/sample.js';
import {ReplicaConnections} from '../replicas/replica-connections.js';

/** Milliseconds for which a box is avoided that could not be reached or could not reach a replica itself. */
const avoidanceTime = 1000;
/** Milliseconds for which it is remembered that a box served a request or could not: partitions last for seconds. */
const memoryTime = 10_000;
/** Maximum idle connections to one box. */
const maxIdleConnections = 8;
/** Maximum number of boxes whose state is kept. */
const maxBoxes = 256;

/** Address of another box. */
export type BoxAddress = {
	readonly name: string;
	readonly host: string;
	readonly port: number;
};

/** Another box, as far as requests are forwarded through it. */
export type ForwardingBox = BoxAddress & {
	readonly connections: ReplicaConnections;
	/** Requests of this box in progress there. */
	inProgress: number;
	/** Number of the last request that was forwarded through it; zero before the first. */
	lastUse: number;
	/** Monotonic milliseconds at which it last began to answer a request, and at which it last could not be reached or could not serve. */
	servedAt: number;
	failedAt: number;
};

/** Dependencies of the choice. */
export type ForwardingBoxesServices = {
	readonly clock: Clock;
	/**
	 * @param service - Name of a service.
	 * @returns The other boxes that may reach its replicas.
	 */
	readonly candidates: (service: string) => readonly BoxAddress[];
};

/** The other boxes that requests can be forwarded through. */
export class ForwardingBoxes {
	/**
	 * @param services - Its dependencies.
	 * @returns The boxes, none of them avoided.
	 */
	static create(services: ForwardingBoxesServices): ForwardingBoxes {
		return new ForwardingBoxes(services);
	}

	/** Keyed by address: a box that is replaced under the same name is another one. */
	private readonly known = new Map<string, ForwardingBox>();
	private uses = 0;

	private constructor(private readonly services: ForwardingBoxesServices) {}

	/**
	 * @param service - Name of a service.
	 * @param excluded - Names of boxes that the request was already forwarded to.
	 * @returns The box with the fewest requests of this box in progress and, among those, the one that was used longest ago. Boxes that failed
	 * recently come last; after a failure, those that served recently come first. `undefined` if there is none.
	 */
	choose(service: string, excluded: ReadonlySet<string>): ForwardingBox | undefined {
		const now = this.services.clock.monotonic();
		const usable = this.services.candidates(service)
			.filter(({name}) => !excluded.has(name))
			.map(address => ({address, state: this.known.get(keyOf(address))}))
			.filter(({state}) => state === undefined || now - state.failedAt >= avoidanceTime);
		// The sample breaks ties at random, so that boxes that begin to forward at the same time spread their requests.
		const [best] = [...sampleOf(usable, usable.length)].sort(({state: left}, {state: right}) =>
			rankOf(left, now, excluded.size > 0) - rankOf(right, now, excluded.size > 0)
			|| (left?.inProgress ?? 0) - (right?.inProgress ?? 0)
			|| (left?.lastUse ?? 0) - (right?.lastUse ?? 0));
		return best && this.use(best.address);
	}

	/** @param box - A box that could not be reached or could not serve a request for lack of reachable replicas. */
	avoid(box: ForwardingBox): void {
		box.failedAt = this.services.clock.monotonic();
		box.connections.closeIdle();
	}

	/** @param box - A box that began to answer a request. */
	recordServed(box: ForwardingBox): void {
		box.servedAt = this.services.clock.monotonic();
	}

	private use(address: BoxAddress): ForwardingBox {
		const {host, port} = address;
		const box = getOrCreate(this.known, keyOf(address), () => ({
			...address, connections: ReplicaConnections.create({
				host, port, clock: this.services.clock, maxIdle: () => maxIdleConnections,
			}), inProgress: 0, lastUse: 0, servedAt: Number.NEGATIVE_INFINITY, failedAt: Number.NEGATIVE_INFINITY,
		}));
		this.uses++;
		box.lastUse = this.uses;
		evictOldest(this.known, maxBoxes);
		return box;
	}
}

function rankOf(state: ForwardingBox | undefined, now: number, isRetry: boolean): number {
	if (state && state.failedAt > state.servedAt && now - state.failedAt < memoryTime) {
		return 2;
	}

	return isRetry && state && now - state.servedAt < memoryTime ? 0 : 1;
}

const keyOf = ({host, port}: BoxAddress): string => `${host}:${port}`;
