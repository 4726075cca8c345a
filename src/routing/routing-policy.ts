/**
 * Decides which upstream gets a request.
 */
import {rankOwners} from '../base/rendezvous.js';
import type {Prompt} from './prefix-cache-estimate.js';
import type {UpstreamState} from './upstream-state.js';

/** The properties of a request that routing depends on. */
export type RoutedRequest = {
	readonly prompt: Prompt;
	/** Weight of latency relative to price and recomputed tokens, from the configuration of the service. */
	readonly latencyWeight: number;
};

/** Decides which upstream gets a request. */
export abstract class RoutingPolicy {
	/**
	 * @param candidates - Eligible upstreams; at least one.
	 * @param request - The request.
	 * @returns The upstream that gets the request.
	 */
	abstract choose(candidates: readonly UpstreamState[], request: RoutedRequest): UpstreamState;
}

/** Milliseconds to compute one prompt token that is not cached. */
const millisecondsPerPromptToken = 0.05;
/** Milliseconds of waiting that are equivalent to one price unit per hour, at a latency weight of one. */
const millisecondsPerPriceUnit = 2;
/** Number of random upstreams in a sample of the candidates. */
const randomCandidates = 2;
/** Largest number of candidates that are all compared; of more, only a sample is. */
const maxComparedCandidates = 8;

/**
 * Chooses the upstream with the lowest cost: expected wait, prompt tokens to recompute, and price.
 * Of many candidates it compares only two random ones and the home of the prompt, which is the upstream with the highest rendezvous hash
 * for its first block.
 *
 * @remarks Source: docs/DESIGN.md, "Routing".
 */
export class ExpectedCostPolicy extends RoutingPolicy {
	/**
	 * @param random - Returns numbers from 0 to 1; seeded in tests.
	 * @returns The policy.
	 */
	static create(random: () => number = Math.random): ExpectedCostPolicy {
		return new ExpectedCostPolicy(random);
	}

	private constructor(private readonly random: () => number) {
		super();
	}

	override choose(candidates: readonly UpstreamState[], request: RoutedRequest): UpstreamState {
		const home = homeOf(candidates, request.prompt);
		return this.sample(candidates, home)
			.map(upstream => ({upstream, cost: costOf(upstream, request) - (upstream === home ? 1 : 0)}))
			.sort((left, right) => left.cost - right.cost)[0]!.upstream;
	}

	private sample(candidates: readonly UpstreamState[], home: UpstreamState | undefined): readonly UpstreamState[] {
		if (candidates.length <= maxComparedCandidates) {
			return candidates;
		}

		const random = Array.from({length: randomCandidates}, () => candidates[Math.floor(this.random() * candidates.length)]!);
		return home ? [home, ...random] : random;
	}
}

/** Returns the same upstream on every box, so that boxes agree on where a prefix is cached without communication. */
function homeOf(candidates: readonly UpstreamState[], prompt: Prompt): UpstreamState | undefined {
	const [first] = prompt.blocks;
	if (first === undefined) {
		return undefined;
	}

	const [home] = rankOwners(String(first), candidates.map(candidate => candidate.box.id));
	return candidates.find(candidate => candidate.box.id === home);
}

function costOf(upstream: UpstreamState, {prompt, latencyWeight}: RoutedRequest): number {
	const expectedWait = (upstream.queued * upstream.meanServiceTime / Math.max(1, upstream.outstanding))
		+ (upstream.outstanding * 2) + upstream.meanFirstTokenTime;
	const recomputed = (prompt.tokens - upstream.prefixCache.cachedTokens(prompt)) * millisecondsPerPromptToken;
	const price = upstream.box.price * millisecondsPerPriceUnit;
	return (expectedWait * latencyWeight) + recomputed + price;
}
