/**
 * Selects a replica for each request.
 */
import {evictOldest} from '../base/evict-oldest.js';
import {hashText} from '../base/rendezvous.js';
import {sumOf} from '../base/sum.js';
import type {Replica, ReplicaWork} from './replica.js';

/** A prompt part, as far as the choice of a replica depends on it. */
export type ChoicePart = {
	readonly id: string;
	readonly tokens: number;
};

/** Properties of a request that the choice of a replica depends on. */
export type ChoiceRequest = {
	/** Tokens of the prompt; zero if the request generates no text. */
	readonly promptTokens: number;
	/** Leading parts of the prompt that other requests may share, in order. */
	readonly sharedParts: readonly ChoicePart[];
};

/** A replica that may serve a request. */
export type RankedReplica = {
	readonly replica: Replica;
	/** Its work before the request, as reported. */
	readonly work: ReplicaWork;
	/** Milliseconds until it begins the request; absent if the choice expects none. */
	readonly expectedStart?: number;
};

/** Selects a replica for each request. */
export abstract class ReplicaChoice {
	/**
	 * @param candidates - Eligible replicas; at least one.
	 * @param request - The request.
	 * @returns Replicas for the request, at least one; the first is the best.
	 */
	abstract rank(candidates: readonly Replica[], request: ChoiceRequest): readonly RankedReplica[];

	/**
	 * @param replica - A replica.
	 * @param request - The request.
	 * @returns Estimated prompt tokens that the replica does not have in its cache.
	 */
	abstract unreadTokens(replica: Replica, request: ChoiceRequest): number;

	/**
	 * Records that a replica has read a prompt.
	 *
	 * @param replica - The replica.
	 * @param request - The request.
	 */
	abstract recordRead(replica: Replica, request: ChoiceRequest): void;
}

/** Prompt tokens that a replica reads in a millisecond; an assumption that only weighs tokens against the other costs. */
export const defaultReadRate = 50;
/** Additional weight of shared tokens that are not cached: reading them again evicts others from the cache and is billed. */
const rereadWeight = 2;
/** Milliseconds by which each concurrent request delays a generation. */
const concurrentRequestCost = 3;
/** Milliseconds that a request occupies a slot, until the latency of the replica has been measured. */
export const defaultServiceTime = 40;
/** Milliseconds of latency added by a replica in another data centre. */
const dataCentreCost = 2;
/** Milliseconds for which a replica is assumed to keep a prompt part in its cache. */
const partLifetime = 30_000;
/** Prompt parts whose readers are tracked. */
const maxTrackedParts = 4096;
/** Milliseconds of penalty for a replica that fails all its requests; proportional to the error share above the mean. */
const errorCost = 400;

/** Replicas sampled at random when load information is stale. */
const sampleSize = 4;
/** Replicas compared in addition to the sample because they have the last shared part in their cache. */
const maxCacheHolders = 3;

/** Dependencies of the choice. */
export type ChoiceServices = {
	/** Data centre of this box. */
	readonly dataCentre: string;
	/** @returns Monotonic milliseconds. */
	readonly now: () => number;
	/** @returns A random number from 0 up to 1, exclusive. */
	readonly random?: () => number;
	/** @returns Whether many boxes base their choice on the same stale information about the replicas' load. */
	readonly isWorkStale?: () => boolean;
};

/**
 * Selects the replica with the lowest estimated wait, which is the sum of its current load, the prompt tokens it has to read, the distance to its
 * data centre and a penalty for errors.
 *
 * @remarks
 * If all boxes know each other's load only from the same stale information, they all select the same replica. In that case, only a few
 * random replicas and those that have the prompt in their cache are compared. Source: M. Mitzenmacher, "How useful is old
 * information?", IEEE Transactions on Parallel and Distributed Systems, 2000; docs/DESIGN.md.
 */
export class LeastWaitChoice extends ReplicaChoice {
	/**
	 * @param services - Dependencies.
	 * @returns The choice.
	 */
	static create({dataCentre, now, random = Math.random, isWorkStale = () => false}: ChoiceServices): LeastWaitChoice {
		return new LeastWaitChoice(dataCentre, now, random, isWorkStale);
	}

	/** Monotonic milliseconds at which a replica last read a part, by part ID and incarnation of the replica. */
	private readonly readAt = new Map<string, Map<string, number>>();

	private constructor(
		private readonly dataCentre: string,
		private readonly now: () => number,
		private readonly random: () => number,
		private readonly isWorkStale: () => boolean,
	) {
		super();
	}

	override rank(candidates: readonly Replica[], request: ChoiceRequest): readonly RankedReplica[] {
		const home = homeOf(candidates, request);
		const mean = meanErrorShare(candidates);
		return this.comparedReplicas(candidates, request, home)
			.map(replica => ({replica, work: replica.work}))
			.map(one => ({...one, cost: this.costOf(one, request, home, mean)}))
			.sort((left, right) => left.cost - right.cost);
	}

	override unreadTokens(replica: Replica, request: ChoiceRequest): number {
		return Math.max(0, request.promptTokens - this.cachedTokens(replica, request, undefined));
	}

	override recordRead(replica: Replica, {sharedParts}: ChoiceRequest): void {
		for (const {id} of sharedParts) {
			const replicas = this.readAt.get(id) ?? new Map<string, number>();
			replicas.set(replica.start, this.now());
			// Re-inserted to keep the map ordered by last use; the first key is evicted.
			this.readAt.delete(id);
			this.readAt.set(id, replicas);
		}

		evictOldest(this.readAt, maxTrackedParts);
	}

	private comparedReplicas(candidates: readonly Replica[], {sharedParts}: ChoiceRequest, home: Replica | undefined): readonly Replica[] {
		if (!this.isWorkStale() || candidates.length <= sampleSize) {
			return candidates;
		}

		const sample = Array.from({length: sampleSize}, () => candidates[Math.floor(this.random() * candidates.length) % candidates.length]!);
		const readers = this.readAt.get(sharedParts.at(-1)?.id ?? '');
		const cacheHolders = readers ? candidates.filter(({start}) => readers.has(start)).slice(-maxCacheHolders) : [];
		return [...new Set([...sample, ...cacheHolders, ...(home ? [home] : [])])];
	}

	private costOf({replica, work: {requests, unreadTokens}}: RankedReplica, request: ChoiceRequest, home: Replica | undefined, meanErrors: number): number {
		const {slots, dataCentre} = replica.entry;
		const serviceTime = replica.latency || defaultServiceTime;
		const cached = this.cachedTokens(replica, request, home);
		const tokensToRead = request.promptTokens - cached;
		const uncachedShared = sumOf(request.sharedParts.map(({tokens}) => tokens)) - cached;
		const read = (tokensToRead + unreadTokens + (uncachedShared * rereadWeight)) / defaultReadRate;
		const concurrency = request.promptTokens > 0 ? requests * concurrentRequestCost : (requests / slots) * serviceTime / 2;
		const queue = Math.max(0, requests + 1 - slots) * serviceTime / slots;
		const errors = Math.max(0, replica.errorShare - meanErrors) * errorCost;
		return read + concurrency + queue + errors + (dataCentre === this.dataCentre ? 0 : dataCentreCost) + this.random();
	}

	/** Tokens at the beginning of the prompt that the replica is assumed to have in its cache. */
	private cachedTokens(replica: Replica, {sharedParts}: ChoiceRequest, home: Replica | undefined): number {
		const since = this.now() - partLifetime;
		const firstMissing = sharedParts.findIndex(({id}) => (this.readAt.get(id)?.get(replica.start) ?? Number.NEGATIVE_INFINITY) < since);
		const cachedParts = replica === home || firstMissing === -1 ? sharedParts : sharedParts.slice(0, firstMissing);
		return sumOf(cachedParts.map(({tokens}) => tokens));
	}
}

/** The home replica of a prompt: the one that caches its last shared part, selected by rendezvous hashing so that all boxes agree without coordination. */
function homeOf(candidates: readonly Replica[], {sharedParts}: ChoiceRequest): Replica | undefined {
	const part = sharedParts.at(-1);
	return part && candidates
		.map(replica => ({replica, score: hashText(`${part.id}\n${replica.entry.id}`)}))
		.sort((left, right) => right.score - left.score)[0]?.replica;
}

function meanErrorShare(replicas: readonly Replica[]): number {
	return sumOf(replicas.map(({errorShare}) => errorShare)) / Math.max(1, replicas.length);
}
