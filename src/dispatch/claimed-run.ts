/**
 * Runs a not repeatable request under its claim: claimed before it is sent, settled after.
 */
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import {Refusal} from '../base/verdict.js';
import {
	ClaimSettlement, type ClaimEntry, type ClaimLedger, type ClaimRequest, type StoredAnswer,
} from '../claims/claim.js';

/** Milliseconds a refusal waits for the release of its claim, so that asking again at once finds it free. */
const releaseWait = 1000;
const releaseTries = 20;
const releasePause = 500;

/** The request ran before, and its answer was kept. */
export class KeptAnswerFound extends Data.TaggedError('KeptAnswerFound')<{
	readonly answer: StoredAnswer;
}> {}

/**
 * Runs a request once.
 *
 * @param ledger - Where claims are recorded.
 * @param claim - The claim to take.
 * @param run - Sends the request; its refusal says whether it may have run.
 * @param answerOf - The answer to keep for whoever asks again; `undefined` where it is too large.
 * @returns What `run` returns; refused where another attempt holds the claim.
 */
export function runClaimed<Answer>(
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
			? Effect.fail(refusalOf(claim, outcome.entry))
			: settleAfter(ledger, claim, run, answerOf)),
	);
}

function settleAfter<Answer>(
	ledger: ClaimLedger,
	claim: ClaimRequest,
	run: Effect.Effect<Answer, Refusal>,
	answerOf: (answer: Answer) => StoredAnswer | undefined,
): Effect.Effect<Answer, Refusal> {
	return run.pipe(
		// The caller does not wait: a claim that stays `claimed` is safe, it only tells less.
		Effect.tap(answer => Effect.sync(() => {
			Effect.runFork(Effect.ignore(ledger.settle(claim, ClaimSettlement.Ran({answer: answerOf(answer)}))));
		})),
		Effect.tapError(refusal => refusal.verdict === 'not-run'
			? Effect.sync(() => Effect.runFork(release(ledger, claim))).pipe(Effect.flatMap(releasing => Effect.callback<void>(resume => {
				const timer = setTimeout(() => {
					resume(Effect.void);
				}, releaseWait);
				releasing.addObserver(() => {
					clearTimeout(timer);
					resume(Effect.void);
				});
			})))
			: Effect.void),
	);
}

/** Gives the claim back, trying for a while: until then whoever asks again is told that it may have run. */
function release(ledger: ClaimLedger, claim: ClaimRequest): Effect.Effect<void> {
	const once = ledger.settle(claim, ClaimSettlement.Released());
	const again = (left: number): Effect.Effect<void> => once.pipe(Effect.catch(() => left === 0
		? Effect.void
		: Effect.sleep(releasePause).pipe(Effect.andThen(Effect.suspend(() => again(left - 1))))));
	return again(releaseTries);
}

function refusalOf(claim: ClaimRequest, entry: ClaimEntry): Refusal | KeptAnswerFound {
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
