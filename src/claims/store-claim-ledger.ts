/**
 * Stores claims in shards, each an object of the Object API.
 */
import * as Effect from 'effect/Effect';
import {hashText} from '../base/rendezvous.js';
import {
	ClaimSettlement, ClaimLedger, ClaimOutcome, type ClaimEntry, type ClaimName, type ClaimRequest, type ClaimUnavailable,
} from './claim.js';
import {ClaimShard, type ClaimDecision, type ClaimShardServices} from './claim-shard.js';

/** Number of shards of an installation. All claims must have expired before it is changed. */
export const shardCount = 16;

const entryName = ({account, key}: ClaimName) => `${account}/${key}`;

/**
 * @param request - Identifies the claim.
 * @returns Number of the shard that stores it.
 */
export function shardOf(request: ClaimName): number {
	return hashText(entryName(request)) % shardCount;
}

/** Records claims with conditional writes to shard objects. */
export class StoreClaimLedger extends ClaimLedger {
	/**
	 * @param services - Dependencies of the shards.
	 * @returns The ledger.
	 */
	static create(services: ClaimShardServices): StoreClaimLedger {
		return new StoreClaimLedger(services);
	}

	private readonly shards: readonly ClaimShard[];

	private constructor(private readonly services: ClaimShardServices) {
		super();
		this.shards = Array.from({length: shardCount}, (_, index) => ClaimShard.create(`claims/${index}`, services));
	}

	override claim(request: ClaimRequest): Effect.Effect<ClaimOutcome, ClaimUnavailable> {
		const startedAt = this.services.clock.monotonic();
		return this.shardFor(request).run(entryName(request), (entry, storeTime) => decideClaim(request, entry, storeTime)).pipe(
			Effect.tap(outcome => Effect.sync(() => {
				this.services.metrics.claims.inc({outcome: outcome._tag});
				this.services.metrics.claimSeconds.observe((this.services.clock.monotonic() - startedAt) / 1000);
			})),
			Effect.tapError(({failure}) => Effect.sync(() => {
				this.services.metrics.claims.inc({outcome: 'Unavailable'});
				this.services.metrics.claimFailures.inc({reason: failure});
			})),
		);
	}

	override lookUp(name: ClaimName): Effect.Effect<ClaimEntry | undefined, ClaimUnavailable> {
		return this.shardFor(name).run(entryName(name), entry => ({write: undefined, outcome: entry}));
	}

	override settle(request: ClaimRequest, settlement: ClaimSettlement): Effect.Effect<void, ClaimUnavailable> {
		// A caller waits for a release, but no caller waits for the record that a request ran.
		return this.shardFor(request).run(entryName(request), entry => decideSettlement(request, settlement, entry), settlement._tag === 'Ran' ? 'patient' : 'urgent');
	}

	private shardFor(request: ClaimName): ClaimShard {
		return this.shards[shardOf(request)]!;
	}
}

/**
 * Claims a request without an entry or with a released one. The entry may already belong to this attempt if the answer to
 * its write was lost or the write was retried.
 */
function decideClaim(request: ClaimRequest, entry: ClaimEntry | undefined, storeTime: number): ClaimDecision<ClaimOutcome> {
	if (entry?.attempt === request.attempt && entry.state === 'claimed') {
		return {write: undefined, outcome: ClaimOutcome.Claimed()};
	}

	if (entry && entry.state !== 'released') {
		return {write: undefined, outcome: ClaimOutcome.Held({entry})};
	}

	return {
		write: {
			attempt: request.attempt, fingerprint: request.fingerprint, state: 'claimed', claimedAt: storeTime,
		},
		outcome: ClaimOutcome.Claimed(),
	};
}

function decideSettlement(request: ClaimRequest, settlement: ClaimSettlement, entry: ClaimEntry | undefined): ClaimDecision<void> {
	if (entry?.attempt !== request.attempt || entry.state !== 'claimed') {
		return {write: undefined, outcome: undefined};
	}

	return {
		write: ClaimSettlement.$match(settlement, {
			Released: (): ClaimEntry => ({...entry, state: 'released'}),
			Ran: ({answer}): ClaimEntry => ({...entry, state: 'ran', ...(answer ? {answer} : {})}),
		}),
		outcome: undefined,
	};
}
