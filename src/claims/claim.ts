/**
 * A claim: the durable right to run one non-repeatable request at most once.
 */
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type {AttemptId, ClientAccountName, RequestKey} from '../base/identifiers.js';

/** A stored answer, so that a repeated request gets the same one. */
export const StoredAnswer = Schema.Struct({
	status: Schema.Number,
	contentType: Schema.String,
	/** The body in base64. */
	body: Schema.String,
});
export type StoredAnswer = typeof StoredAnswer.Type;

/** The entry of one request in a claim shard. */
export const ClaimEntry = Schema.Struct({
	/** The attempt that made the claim. */
	attempt: Schema.String,
	/** Hash of the request, to detect a key that is reused for another request. */
	fingerprint: Schema.String,
	/** `claimed`: the request may have run. `released`: it did not run and may be claimed again. `ran`: it ran. */
	state: Schema.Literals(['claimed', 'released', 'ran']),
	/** Time of the claim on the store's clock, in milliseconds. */
	claimedAt: Schema.Number,
	answer: Schema.optionalKey(StoredAnswer),
});
export type ClaimEntry = typeof ClaimEntry.Type;

/** Identifies a claim. */
export type ClaimName = {
	readonly account: ClientAccountName;
	readonly key: RequestKey;
};

/** Asks for the right to run a request. */
export type ClaimRequest = ClaimName & {
	readonly fingerprint: string;
	readonly attempt: AttemptId;
};

/** Result of an attempt to claim a request. */
export type ClaimOutcome = Data.TaggedEnum<{
	/** Only the attempt that made the claim may run the request. */
	readonly Claimed: Readonly<Record<never, never>>;
	/** The request is already claimed or has run. */
	readonly Held: {readonly entry: ClaimEntry};
}>;
export const ClaimOutcome = Data.taggedEnum<ClaimOutcome>();

/** Reasons why a claim could not be recorded, with the texts for callers and the log. */
export const claimFailures = {
	'deadline-passed': 'the Object API did not take the claim in time',
	'retry-failed': 'the Object API is away, and the next call to it failed',
	'no-retry': 'the Object API is away, and no call to it ended in time',
	'shard-full': 'the claim shard is full',
	'shard-unreadable': 'the claim shard cannot be read',
} as const;

/** Reason why a claim could not be recorded. */
export type ClaimFailure = keyof typeof claimFailures;

/** The claim could not be recorded in time; the request must not run. */
export class ClaimUnavailable extends Data.TaggedError('ClaimUnavailable')<{
	readonly failure: ClaimFailure;
	/** Whether the claim may have been recorded nevertheless, in which case it must be released. */
	readonly mayBeRecorded: boolean;
}> {
	/** Description of the failure for callers. */
	get detail(): string {
		return claimFailures[this.failure];
	}
}

/** Final result of a claimed request: it did not run, or it ran, with its answer if one is stored. */
export type ClaimSettlement = Data.TaggedEnum<{
	readonly Released: Readonly<Record<never, never>>;
	readonly Ran: {readonly answer: StoredAnswer | undefined};
}>;
export const ClaimSettlement = Data.taggedEnum<ClaimSettlement>();

/** Records claims durably. */
export abstract class ClaimLedger {
	/**
	 * Claims a request. The request may be sent only after `Claimed`, and only by the attempt that made the claim.
	 *
	 * @param request - The request to claim.
	 * @returns Whether this attempt may run it.
	 */
	abstract claim(request: ClaimRequest): Effect.Effect<ClaimOutcome, ClaimUnavailable>;

	/**
	 * @param name - Client account and key of the request.
	 * @returns The entry of the request; `undefined` if there is none.
	 */
	abstract lookUp(name: ClaimName): Effect.Effect<ClaimEntry | undefined, ClaimUnavailable>;

	/**
	 * Records the final result of a claim. The claim of another attempt is not changed.
	 *
	 * @param request - The claimed request.
	 * @param settlement - Its result.
	 * @returns Completes when the result is recorded.
	 */
	abstract settle(request: ClaimRequest, settlement: ClaimSettlement): Effect.Effect<void, ClaimUnavailable>;
}
