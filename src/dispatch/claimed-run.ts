/**
 * Runs a request that is not repeatable under a claim: the claim is recorded before the request is sent, and settled afterwards.
 */
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import {Refusal} from '../base/verdict.js';
import {
	ClaimSettlement, type ClaimEntry, type ClaimLedger, type ClaimRequest, type StoredAnswer,
} from '../claims/claim.js';

/** Maximum milliseconds that a refusal waits for the release of its claim, so that an immediate retry by the caller finds the key free. */
const maxReleaseWait = 1000;
/** Retries of a failed release. */
const releaseRetries = 20;
/** Milliseconds between two attempts to release a claim. */
const releaseRetryDelay = 500;

/** The request already ran, and its answer was stored with the claim. */
export class KeptAnswerFound extends Data.TaggedError('KeptAnswerFound')<{
	readonly answer: StoredAnswer;
}> {}

/**
 * Runs a request at most once.
 *
 * @param ledger - Records the claims.
 * @param claim - The claim to record.
 * @param run - Sends the request; its refusal says whether the request may have run.
 * @param answerOf - Converts the answer to the form stored with the claim; `undefined` where none is stored.
 * @returns The answer of `run`. Fails with `KeptAnswerFound` if an earlier attempt ran and its answer was stored, or with a refusal if the claim
 * is held otherwise or cannot be recorded.
 */
export function runWithClaim<Answer>(
	ledger: ClaimLedger,
	claim: ClaimRequest,
	run: Effect.Effect<Answer, Refusal>,
	answerOf: (answer: Answer) => StoredAnswer | undefined,
): Effect.Effect<Answer, Refusal | KeptAnswerFound> {
	return ledger.claim(claim).pipe(
		Effect.catch(error => Effect.sync(() => {
			if (error.mayBeRecorded) {
				Effect.runFork(release(ledger, claim));
			}

			return error;
		}).pipe(Effect.andThen(Effect.fail(Refusal.create(
			'claim-unavailable',
			`The request is marked as not repeatable, and its claim could not be recorded: ${error.detail}. It was not run.`,
		))))),
		Effect.flatMap((outcome): Effect.Effect<Answer, Refusal | KeptAnswerFound> => outcome._tag === 'Held'
			? Effect.fail(outcomeOfExistingClaim(claim, outcome.entry))
			: runAndSettle(ledger, claim, run, answerOf)),
	);
}

function runAndSettle<Answer>(
	ledger: ClaimLedger,
	claim: ClaimRequest,
	run: Effect.Effect<Answer, Refusal>,
	answerOf: (answer: Answer) => StoredAnswer | undefined,
): Effect.Effect<Answer, Refusal> {
	return run.pipe(
		// The caller does not wait for the write. If it fails, the claim stays `claimed`: the request still cannot run twice, but a retry learns only
		// that it may have run.
		Effect.tap(answer => Effect.sync(() => {
			Effect.runFork(Effect.ignore(ledger.settle(claim, ClaimSettlement.Ran({answer: answerOf(answer)}))));
		})),
		Effect.tapError(refusal => refusal.verdict === 'not-run'
			? Effect.sync(() => Effect.runFork(release(ledger, claim))).pipe(Effect.flatMap(releasing => Effect.callback<void>(resume => {
				const timer = setTimeout(() => {
					resume(Effect.void);
				}, maxReleaseWait);
				releasing.addObserver(() => {
					clearTimeout(timer);
					resume(Effect.void);
				});
			})))
			: Effect.void),
	);
}

/** Releases the claim, with retries. Until it is released, a retry by the caller is refused as one that may have run. */
function release(ledger: ClaimLedger, claim: ClaimRequest): Effect.Effect<void> {
	const settle = ledger.settle(claim, ClaimSettlement.Released());
	const attempt = (retriesLeft: number): Effect.Effect<void> => settle.pipe(Effect.catch(() => retriesLeft === 0
		? Effect.void
		: Effect.sleep(releaseRetryDelay).pipe(Effect.andThen(Effect.suspend(() => attempt(retriesLeft - 1))))));
	return attempt(releaseRetries);
}

function outcomeOfExistingClaim(claim: ClaimRequest, entry: ClaimEntry): Refusal | KeptAnswerFound {
	if (entry.fingerprint !== claim.fingerprint) {
		return Refusal.create('request-key-reused', 'This Idempotency-Key was used for a request with another content. Take a new key.');
	}

	if (entry.state === 'ran') {
		return entry.answer
			? new KeptAnswerFound({answer: entry.answer})
			: Refusal.create('claim-held', 'This request has run. Its answer is not kept with the claim; GET /v1/requests/{key} may still have it.', {verdict: 'ran'});
	}

	return Refusal.create('claim-held', 'This request was sent by an earlier attempt, which has not told how it ended. It is not sent again.');
}
