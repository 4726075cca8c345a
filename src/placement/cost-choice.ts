/**
 * Selects the replica that begins to answer a request first, by what the request is likely to cost there and by what the replica still has
 * to do.
 *
 * @remarks
 * The load pattern: requests of one route whose prompts differ by a factor of a hundred, at replicas that read prompts in order of arrival and whose
 * machines are slow at times; and plain calls that end before the exchange has told of them. Work of other boxes therefore counts as far as it still
 * lasts: prompts by the backlogs, which are told at once, and calls by the age of what is known. Choosing by loads that are older than the calls themselves sends
 * the calls of all boxes to the same replica (M. Mitzenmacher, "How useful is old information?", IEEE Transactions on Parallel and
 * Distributed Systems, 2000). Source: docs/design/scheduling.md.
 */
import {evictOldest} from '../base/evict-oldest.js';
import {hashText, mixHashes} from '../base/rendezvous.js';
import {sumOf} from '../base/sum.js';
import type {Replica} from '../replicas/replica.js';
import {
	ReplicaChoice, type ChoiceRequest, type RankedReplica,
} from '../replicas/replica-choice.js';

/** What the choice knows of replicas besides their state, by incarnation. */
export type CostKnowledge = {
	/** @returns Milliseconds until the replica reads a prompt that is sent now. */
	readonly expectedStart: (replica: Replica) => number;
	/** @returns The factors by which work at replicas takes longer at the present moment; called once a decision. */
	readonly paces: () => (replica: Replica) => number;
	/** @returns Milliseconds that a replica of the service needs to read a prompt of so many tokens at its usual pace. */
	readonly reading: (replica: Replica, tokens: number) => number;
	/** @returns Mean milliseconds that a request occupies a slot. */
	readonly duration: (service: string) => number;
	/** @returns Milliseconds since the work of the other boxes was counted. */
	readonly workAge: (service: string) => number;
};

/** Expected times of a request at a replica with a number of requests, whose work takes longer by a factor. */
type ExpectedTimes = {
	/** @returns Milliseconds until the replica begins the request. */
	readonly start: (replica: Replica, requests: number, pace: number) => number;
	/** @returns Milliseconds from then to the first event of a generation, or to the end of a call. */
	readonly duration: (replica: Replica, requests: number, pace: number) => number;
};

/** Dependencies of the choice. */
export type CostChoiceServices = CostKnowledge & {
	/** Data centre of this box. */
	readonly dataCentre: string;
	/** @returns Monotonic milliseconds. */
	readonly now: () => number;
	/** @returns A random number from 0 up to 1, exclusive. */
	readonly random?: () => number;
};

/** Milliseconds that a call occupies a slot, until it has been measured. */
const defaultDuration = 40;
/** Milliseconds of latency added by a replica in another data centre. */
const dataCentreCost = 2;
/** Milliseconds for which a replica is assumed to keep a prompt part in its cache. */
const partLifetime = 30_000;
/** Prompt parts whose readers are tracked. */
const maxTrackedParts = 4096;
/** Milliseconds of penalty for a replica that fails all its requests; proportional to the error share above the mean. */
const errorCost = 400;
/**
 * Milliseconds by which costs may differ without deciding, so that boxes that choose before they know of each other spread over the replicas. Updates are some 35 ms old:
 * with 20 ms, boxes chose the same replicas; with 120 ms, they chose worse ones.
 */
const indifference = 60;

/** Selects the replica with the earliest expected first event. */
export class CostChoice extends ReplicaChoice {
	/**
	 * @param services - Dependencies.
	 * @returns The choice.
	 */
	static create(services: CostChoiceServices): CostChoice {
		return new CostChoice(services);
	}

	/** Monotonic milliseconds at which a replica last read a part, by part ID and incarnation of the replica. */
	private readonly readAt = new Map<string, Map<string, number>>();
	/** Holders of the shared parts of requests that are in progress. */
	private readonly homes = new WeakMap<ChoiceRequest, readonly Replica[]>();
	/** Hashes of replicas' IDs, which are needed for each request. */
	private readonly hashes = new Map<string, number>();

	private constructor(private readonly services: CostChoiceServices) {
		super();
	}

	override rank(candidates: readonly Replica[], request: ChoiceRequest): readonly RankedReplica[] {
		const homes = this.homesOf(candidates, request);
		this.homes.set(request, homes);
		const meanErrors = sumOf(candidates.map(({errorShare}) => errorShare)) / Math.max(1, candidates.length);
		const paceOf = this.services.paces();
		const timesOf = request.promptTokens > 0 ? this.promptTimes(request, homes) : this.callTimes();
		// No object is created for the intermediate results of each replica: that took three times as long as the rest of the decision.
		return withBestFirst(candidates
			.map(replica => {
				const {work} = replica;
				const pace = paceOf(replica);
				const expectedStart = timesOf.start(replica, work.requests, pace);
				return {
					replica, work, expectedStart, cost: expectedStart + timesOf.duration(replica, work.requests, pace) + this.penaltyOf(replica, meanErrors),
				};
			}));
	}

	override unreadTokens(replica: Replica, request: ChoiceRequest): number {
		const isHome = this.homes.get(request)?.includes(replica) ?? false;
		return Math.max(0, request.promptTokens - this.cachedTokens(replica, request, isHome));
	}

	override recordRead(replica: Replica, {sharedParts}: ChoiceRequest): void {
		for (const {id} of sharedParts) {
			const replicas = this.readAt.get(id) ?? new Map<string, number>();
			replicas.set(replica.start, this.services.now());
			// Re-inserted to keep the map ordered by last use; the first key is evicted.
			this.readAt.delete(id);
			this.readAt.set(id, replicas);
		}

		evictOldest(this.readAt, maxTrackedParts);
	}

	private promptTimes(request: ChoiceRequest, homes: readonly Replica[]): ExpectedTimes {
		const {expectedStart, reading, duration} = this.services;
		const readers = this.readAt.get(request.sharedParts[0]?.id ?? '');
		const unreadAt = (replica: Replica) => homes.includes(replica) || readers?.has(replica.start)
			? request.promptTokens - this.cachedTokens(replica, request, homes.includes(replica))
			: request.promptTokens;
		return {
			start(replica, requests) {
				const {slots, service} = replica.entry;
				const queue = requests < slots ? 0 : (requests + 1 - slots) / slots * (duration(service) || defaultDuration);
				return expectedStart(replica) + queue;
			},
			duration: (replica, _, pace) => reading(replica, unreadAt(replica)) * pace,
		};
	}

	private callTimes(): ExpectedTimes {
		const timeOf = (replica: Replica, pace: number) => (this.services.duration(replica.entry.service) || defaultDuration) * pace;
		const occupiedSlots = (replica: Replica, requests: number, time: number) => {
			const own = replica.ownWork.requests;
			return own + ((requests - own) * Math.exp(-this.services.workAge(replica.entry.service) / time));
		};

		return {
			start(replica, requests, pace) {
				const time = timeOf(replica, pace);
				const {slots} = replica.entry;
				return Math.max(0, occupiedSlots(replica, requests, time) + 1 - slots) / slots * time;
			},
			duration(replica, requests, pace) {
				const time = timeOf(replica, pace);
				return time + (occupiedSlots(replica, requests, time) / replica.entry.slots * time / 2);
			},
		};
	}

	private penaltyOf(replica: Replica, meanErrors: number): number {
		const {dataCentre, random = Math.random} = this.services;
		const errors = Math.max(0, replica.errorShare - meanErrors) * errorCost;
		return errors + (replica.entry.dataCentre === dataCentre ? 0 : dataCentreCost) + (random() * indifference);
	}

	/** Tokens at the beginning of the prompt that the replica is assumed to have in its cache. */
	private cachedTokens(replica: Replica, {sharedParts}: ChoiceRequest, isHome: boolean): number {
		if (isHome) {
			return sumOf(sharedParts.map(({tokens}) => tokens));
		}

		const since = this.services.now() - partLifetime;
		const firstMissing = sharedParts.findIndex(({id}) => (this.readAt.get(id)?.get(replica.start) ?? Number.NEGATIVE_INFINITY) < since);
		if (firstMissing === 0) {
			return 0;
		}

		const cachedParts = firstMissing === -1 ? sharedParts : sharedParts.slice(0, firstMissing);
		return sumOf(cachedParts.map(({tokens}) => tokens));
	}

	/**
	 * The two replicas that hold the last shared part of a prompt, selected by rendezvous hashing so that all boxes agree without messages. The second one
	 * takes what the first has no time for.
	 */
	private homesOf(candidates: readonly Replica[], {sharedParts}: ChoiceRequest): readonly Replica[] {
		const part = sharedParts.at(-1);
		if (!part) {
			return [];
		}

		const hash = hashText(part.id);
		const scores = candidates.map(replica => mixHashes(hash, this.hashOf(replica.entry.id)));
		const first = scores.indexOf(Math.max(...scores));
		const second = scores.indexOf(Math.max(...scores.map((score, index) => index === first ? -1 : score)));
		return [candidates[first]!, candidates[second]!];
	}

	private hashOf(id: string): number {
		const known = this.hashes.get(id);
		if (known !== undefined) {
			return known;
		}

		const hash = hashText(id);
		this.hashes.set(id, hash);
		evictOldest(this.hashes, maxTrackedParts);
		return hash;
	}
}

/** Sorting all replicas would take a third of the decision. */
function withBestFirst<Ranked extends {readonly cost: number}>(ranked: Ranked[]): readonly Ranked[] {
	let best = 0;
	for (const [index, {cost}] of ranked.entries()) {
		best = cost < ranked[best]!.cost ? index : best;
	}

	const first = ranked[best]!;
	ranked[best] = ranked[0]!;
	ranked[0] = first;
	return ranked;
}
