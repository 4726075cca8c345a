/**
 * A claim: the durable right to run one not repeatable request, once.
 */
import * as Data from 'effect/Data';
import type * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type {AttemptId, ClientAccountName, RequestKey} from '../base/identifiers.js';

/** An answer that was kept, so that asking again brings the same one. */
export const KeptAnswer = Schema.Struct({
	status: Schema.Number,
	contentType: Schema.String,
	/** The body in base64. */
	body: Schema.String,
});
export type KeptAnswer = typeof KeptAnswer.Type;

/** What a shard holds of one request. */
export const ClaimEntry = Schema.Struct({
	/** Who claimed it. */
	attempt: Schema.String,
	/** Hash of the request, to tell a reused key. */
	fingerprint: Schema.String,
	/** `claimed`: it may have run. `released`: it did not run and may be claimed anew. `ran`: it ran. */
	state: Schema.Literals(['claimed', 'released', 'ran']),
	/** The store's clock when it was claimed, in milliseconds. */
	claimedAt: Schema.Number,
	answer: Schema.optionalKey(KeptAnswer),
});
export type ClaimEntry = typeof ClaimEntry.Type;

/** What names a claim. */
export type ClaimName = {
	readonly account: ClientAccountName;
	readonly key: RequestKey;
};

/** A wish to run a request. */
export type ClaimRequest = ClaimName & {
	readonly fingerprint: string;
	readonly attempt: AttemptId;
};

/** How a claim ended. */
export type ClaimOutcome = Data.TaggedEnum<{
	/** The attempt that asked, and no other, may run the request. */
	readonly Claimed: Readonly<Record<never, never>>;
	/** Another attempt holds it. */
	readonly Held: {readonly entry: ClaimEntry};
}>;
export const ClaimOutcome = Data.taggedEnum<ClaimOutcome>();

/** Why a claim could not be recorded, as callers and the log read it. */
export const claimFailures = {
	'deadline-passed': 'the Object API did not take the claim in time',
	'retry-failed': 'the Object API is away, and the next call to it failed',
	'no-retry': 'the Object API is away, and no call to it ended in time',
	'shard-full': 'the claim shard is full',
	'shard-unreadable': 'the claim shard cannot be read',
} as const;

/** Why a claim could not be recorded. */
export type ClaimFailure = keyof typeof claimFailures;

/** The claim could not be recorded in time; the request must not run. */
export class ClaimUnavailable extends Data.TaggedError('ClaimUnavailable')<{
	readonly failure: ClaimFailure;
	/** Whether the claim may have been recorded all the same: then it has to be released. */
	readonly mayBeRecorded: boolean;
}> {
	/** What happened, as callers read it. */
	get detail(): string {
		return claimFailures[this.failure];
	}
}

/** What became of a claimed request. */
export type ClaimEnd = Data.TaggedEnum<{
	readonly Released: Readonly<Record<never, never>>;
	readonly Ran: {readonly answer: KeptAnswer | undefined};
}>;
export const ClaimEnd = Data.taggedEnum<ClaimEnd>();

/** Records claims. */
export abstract class ClaimLedger {
	/**
	 * Claims a request. Only after `Claimed` may it be sent, and by the attempt that asked alone.
	 *
	 * @param request - What is to run.
	 * @returns Whether this attempt may run it.
	 */
	abstract claim(request: ClaimRequest): Effect.Effect<ClaimOutcome, ClaimUnavailable>;

	/**
	 * @param name - Client account and key.
	 * @returns What is recorded of the request; `undefined` where nothing is.
	 */
	abstract lookUp(name: ClaimName): Effect.Effect<ClaimEntry | undefined, ClaimUnavailable>;

	/**
	 * Records what became of a claim. What another attempt holds is left alone.
	 *
	 * @param request - The claim.
	 * @param end - What became of it.
	 * @returns Ends when it is recorded.
	 */
	abstract settle(request: ClaimRequest, end: ClaimEnd): Effect.Effect<void, ClaimUnavailable>;
}
