/**
 * Decides which replica gets a request.
 */
import {hashText} from '../base/rendezvous.js';
import {sumOf} from '../base/sum.js';
import type {Replica} from './replica.js';

/** A part of a prompt, as far as the choice is concerned. */
export type ChoicePart = {
	readonly id: string;
	readonly tokens: number;
};

/** What a choice needs to know of a request. */
export type ChoiceRequest = {
	/** Tokens of the prompt; zero where the request is no generation. */
	readonly promptTokens: number;
	/** Parts of the prompt that other requests share, in order. */
	readonly sharedParts: readonly ChoicePart[];
};

/** Decides which replica gets a request. */
export abstract class ReplicaChoice {
	/**
	 * @param candidates - Replicas that may get it; at least one.
	 * @param request - The request.
	 * @returns The one that gets it.
	 */
	abstract choose(candidates: readonly Replica[], request: ChoiceRequest): Replica;

	/**
	 * @param replica - A replica.
	 * @param request - The request.
	 * @returns Tokens of its prompt that the replica has to read, as far as is known.
	 */
	abstract unreadTokens(replica: Replica, request: ChoiceRequest): number;

	/**
	 * Notes that a replica has read a prompt.
	 *
	 * @param replica - The replica.
	 * @param request - The request.
	 */
	abstract noteRead(replica: Replica, request: ChoiceRequest): void;
}

/** Prompt tokens a replica reads in a millisecond, where nothing is known; only relations count. */
const assumedReadRate = 50;
/** How much more than its time a shared part counts that is read again: it takes the place of others, and is paid for. */
const rereadWeight = 2;
/** Milliseconds that a request beside others costs. */
const costBeside = 3;
/** Milliseconds a request holds a slot, where none was measured. */
const assumedServiceTime = 40;
/** Milliseconds that another data centre costs. */
const dataCentreCost = 2;
/** Milliseconds for which a part is believed to be kept. */
const partLifetime = 30_000;
const mostPartsKept = 4096;
/** Milliseconds of penalty for a replica that fails all its requests. */
const errorCost = 400;

/** Replicas drawn by lot where what is known of their work is old. */
const drawnCount = 4;
/** Replicas looked at besides those because they keep the last shared part. */
const mostKeepers = 3;

/** What the choice needs. */
export type ChoiceServices = {
	/** Data centre of this box. */
	readonly dataCentre: string;
	/** @returns Monotonic milliseconds. */
	readonly now: () => number;
	/** @returns A number from 0 to 1. */
	readonly random?: () => number;
	/** @returns Whether many boxes act on the same old word of the replicas' work. */
	readonly isWorkOld?: () => boolean;
};

/**
 * Takes the replica with the least expected wait: work there, prompt tokens to read, data centre and errors.
 *
 * @remarks
 * Where boxes know of each other's work by old words alone, all of them would run to the same replica. Then only a few
 * drawn by lot are compared, with those that keep the prompt. Source: M. Mitzenmacher, "How useful is old
 * information?", IEEE Transactions on Parallel and Distributed Systems, 2000; measured in docs/DESIGN.md.
 */
export class LeastWaitChoice extends ReplicaChoice {
	/**
	 * @param services - What it needs.
	 * @returns The choice.
	 */
	static create({dataCentre, now, random = Math.random, isWorkOld = () => false}: ChoiceServices): LeastWaitChoice {
		return new LeastWaitChoice(dataCentre, now, random, isWorkOld);
	}

	/** When a replica last read a part, by part and start of the replica. */
	private readonly readAt = new Map<string, Map<string, number>>();

	private constructor(
		private readonly dataCentre: string,
		private readonly now: () => number,
		private readonly random: () => number,
		private readonly isWorkOld: () => boolean,
	) {
		super();
	}

	override choose(candidates: readonly Replica[], request: ChoiceRequest): Replica {
		const home = homeOf(candidates, request);
		const mean = meanErrorShare(candidates);
		return this.compared(candidates, request, home)
			.map(replica => ({replica, cost: this.costOf(replica, request, home, mean)}))
			.sort((left, right) => left.cost - right.cost)[0]!.replica;
	}

	override unreadTokens(replica: Replica, request: ChoiceRequest): number {
		return Math.max(0, request.promptTokens - this.keptTokens(replica, request, undefined));
	}

	override noteRead(replica: Replica, {sharedParts}: ChoiceRequest): void {
		for (const {id} of sharedParts) {
			const replicas = this.readAt.get(id) ?? new Map<string, number>();
			replicas.set(replica.start, this.now());
			// Set anew, so that the parts used last stand last.
			this.readAt.delete(id);
			this.readAt.set(id, replicas);
		}

		const [oldest] = this.readAt.keys();
		if (this.readAt.size > mostPartsKept && oldest !== undefined) {
			this.readAt.delete(oldest);
		}
	}

	private compared(candidates: readonly Replica[], {sharedParts}: ChoiceRequest, home: Replica | undefined): readonly Replica[] {
		if (!this.isWorkOld() || candidates.length <= drawnCount) {
			return candidates;
		}

		const drawn = Array.from({length: drawnCount}, () => candidates[Math.floor(this.random() * candidates.length) % candidates.length]!);
		const readers = this.readAt.get(sharedParts.at(-1)?.id ?? '');
		const keepers = readers ? candidates.filter(({start}) => readers.has(start)).slice(-mostKeepers) : [];
		return [...new Set([...drawn, ...keepers, ...(home ? [home] : [])])];
	}

	private costOf(replica: Replica, request: ChoiceRequest, home: Replica | undefined, meanErrors: number): number {
		const {requests, unreadTokens} = replica.work;
		const {slots, dataCentre} = replica.entry;
		const serviceTime = replica.latency || assumedServiceTime;
		const kept = this.keptTokens(replica, request, home);
		const toRead = request.promptTokens - kept;
		const sharedUnkept = sumOf(request.sharedParts.map(({tokens}) => tokens)) - kept;
		const read = (toRead + unreadTokens + (sharedUnkept * rereadWeight)) / assumedReadRate;
		const beside = request.promptTokens > 0 ? requests * costBeside : (requests / slots) * serviceTime / 2;
		const queue = Math.max(0, requests + 1 - slots) * serviceTime / slots;
		const errors = Math.max(0, replica.errorShare - meanErrors) * errorCost;
		return read + beside + queue + errors + (dataCentre === this.dataCentre ? 0 : dataCentreCost) + this.random();
	}

	/** Tokens at the start of the prompt that the replica is believed to keep. */
	private keptTokens(replica: Replica, {sharedParts}: ChoiceRequest, home: Replica | undefined): number {
		const since = this.now() - partLifetime;
		const firstMissing = sharedParts.findIndex(({id}) => (this.readAt.get(id)?.get(replica.start) ?? Number.NEGATIVE_INFINITY) < since);
		const kept = replica === home || firstMissing === -1 ? sharedParts : sharedParts.slice(0, firstMissing);
		return sumOf(kept.map(({tokens}) => tokens));
	}
}

/** The same on every box, so that boxes agree where a part is kept without talking. */
function homeOf(candidates: readonly Replica[], {sharedParts}: ChoiceRequest): Replica | undefined {
	const part = sharedParts.at(-1);
	return part && candidates
		.map(replica => ({replica, score: hashText(`${part.id}\n${replica.entry.id}`)}))
		.sort((left, right) => right.score - left.score)[0]?.replica;
}

function meanErrorShare(replicas: readonly Replica[]): number {
	return sumOf(replicas.map(({errorShare}) => errorShare)) / Math.max(1, replicas.length);
}
