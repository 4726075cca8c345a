/**
 * Decides which upstream gets a request.
 */
import {rankOwners} from '../base/rendezvous.js';
import type {Prompt} from './prefix-belief.js';
import type {UpstreamState} from './upstream-state.js';

/** What a decision needs to know of a request. */
export type RoutedRequest = {
	readonly prompt: Prompt;
	/** From the service: how much latency counts against price and recomputed tokens. */
	readonly latencyWeight: number;
};

/** Decides which upstream gets a request. */
export abstract class RoutingPolicy {
	/**
	 * @param candidates - Upstreams that may get it; at least one.
	 * @param request - The request.
	 * @returns The one that gets it.
	 */
	abstract choose(candidates: readonly UpstreamState[], request: RoutedRequest): UpstreamState;
}

/** Milliseconds to compute one prompt token that is not cached. */
const millisecondsPerPromptToken = 0.05;
/** Milliseconds of waiting that one price unit an hour outweighs, at a latency weight of one. */
const millisecondsPerPriceUnit = 2;
const randomCandidates = 2;
/** Candidates from which on only some are looked at. */
const manyCandidates = 8;

/**
 * Takes the upstream with the least cost: expected wait, prompt tokens to compute again, and price.
 * Of many candidates it looks at the home of the prompt's first block and at two random ones.
 *
 * @remarks Source: docs/DESIGN.md, "Routing".
 */
export class ExpectedCostPolicy extends RoutingPolicy {
	/**
	 * @param random - Numbers from 0 to 1; a seeded source in tests.
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
		if (candidates.length <= manyCandidates) {
			return candidates;
		}

		const random = Array.from({length: randomCandidates}, () => candidates[Math.floor(this.random() * candidates.length)]!);
		return home ? [home, ...random] : random;
	}
}

/** The same on every box, so that boxes agree where a prefix is cached without talking. */
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
	const recomputed = (prompt.tokens - upstream.prefixes.cachedTokens(prompt)) * millisecondsPerPromptToken;
	const price = upstream.box.price * millisecondsPerPriceUnit;
	return (expectedWait * latencyWeight) + recomputed + price;
}
