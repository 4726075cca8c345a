/**
 * Invariants: a non-repeatable request runs at most once, and a request that was answered with "not run" has not run. Runs the real claim
 * ledger.
 */
import assert from 'node:assert/strict';
import * as Effect from 'effect/Effect';
import fc from 'fast-check';
import {SilentEventLog} from '../../src/base/event-log.js';
import {AttemptId, type ClientAccountName, type RequestKey} from '../../src/base/identifiers.js';
import {Metrics} from '../../src/base/metrics.js';
import {Refusal} from '../../src/base/verdict.js';
import type {ClaimLedger} from '../../src/claims/claim.js';
import {StoreClaimLedger} from '../../src/claims/store-claim-ledger.js';
import {runWithClaim} from '../../src/dispatch/claimed-run.js';
import {FakeObjectStore, FakeObjects, type CallOutcome} from './fake-object-store.js';
import {step, type Suite} from './suite.js';
import {VirtualClock, type VirtualTime} from './virtual-time.js';

const boxCount = 3;
const keyCount = 3;
const account = 'acme' as ClientAccountName;

/** Outcome of a call at the upstream. */
type UpstreamOutcome = 'answers' | 'refuses' | 'cut-after-execution' | 'cut-before-execution';

type Box = {readonly store: FakeObjectStore; ledger: ClaimLedger};

type ClientAnswer = {readonly key: string; readonly attempt: string; readonly verdict: string};

class ClaimWorld {
	readonly objects: FakeObjects;
	readonly boxes: readonly Box[];
	/** Attempts that the upstream executed, by key; the oracle of the suite. */
	readonly executions = new Map<string, string[]>();
	readonly answers: ClientAnswer[] = [];
	readonly metrics = Metrics.create();
	pending = 0;
	private attempts = 0;

	constructor(readonly time: VirtualTime) {
		this.objects = new FakeObjects(() => time.now);
		this.boxes = Array.from({length: boxCount}, () => {
			const store = FakeObjectStore.create(this.objects);
			return {store, ledger: this.makeLedger(store)};
		});
	}

	restart(index: number): void {
		const box = this.boxes[index]!;
		box.ledger = this.makeLedger(box.store);
	}

	request(index: number, key: string, fate: UpstreamOutcome): void {
		this.attempts++;
		const attempt = AttemptId(`attempt-${this.attempts}`);
		const {ledger} = this.boxes[index]!;
		const claim = {
			account, key: key as RequestKey, fingerprint: 'same', attempt,
		};
		const run = Effect.suspend(() => this.execute(key, attempt, fate));
		this.pending++;
		Effect.runFork(runWithClaim(ledger, claim, run, () => undefined).pipe(
			Effect.map(() => 'ran'),
			Effect.catch(error => Effect.succeed(error._tag === 'Refusal' ? error.verdict : 'ran')),
			Effect.map(verdict => {
				this.pending--;
				this.answers.push({key, attempt, verdict});
			}),
		));
	}

	private execute(key: string, attempt: string, fate: UpstreamOutcome): Effect.Effect<string, Refusal> {
		if (fate === 'refuses') {
			return Effect.fail(Refusal.create('upstream-refused', 'refused'));
		}

		if (fate !== 'cut-before-execution') {
			this.executions.set(key, [...this.executions.get(key) ?? [], attempt]);
		}

		return fate === 'answers' ? Effect.succeed('done') : Effect.fail(Refusal.create('upstream-cut', 'cut'));
	}

	private makeLedger(store: FakeObjectStore): ClaimLedger {
		return StoreClaimLedger.create({
			store, clock: VirtualClock.create(this.time), log: SilentEventLog.create(), metrics: this.metrics,
		});
	}
}

const anyBox = fc.integer({min: 0, max: boxCount - 1});
const anyKey = fc.integer({min: 1, max: keyCount}).map(key => `key-${key}`);
const anyOutcome = fc.constantFrom<UpstreamOutcome>('answers', 'answers', 'refuses', 'cut-after-execution', 'cut-before-execution');
const callFates = fc.array(fc.constantFrom<CallOutcome>('normal', 'lost-answer', 'lost-call', 'late', 'slow'), {minLength: 1, maxLength: 4});

const steps = fc.oneof(
	{
		weight: 6, arbitrary: fc.tuple(anyBox, anyKey, anyOutcome).map(([box, key, fate]) => step<ClaimWorld>(`request ${key} at box ${box}, ${fate}`, world => {
			world.request(box, key, fate);
		})),
	},
	{
		weight: 3, arbitrary: fc.tuple(anyBox, callFates).map(([box, fates]) => step<ClaimWorld>(`next store calls of box ${box}: ${fates.join(', ')}`, world => {
			world.boxes[box]!.store.callOutcomes.push(...fates);
		})),
	},
	{
		weight: 1, arbitrary: fc.tuple(anyBox, fc.boolean()).map(([box, isOut]) => step<ClaimWorld>(`store unavailable for box ${box}: ${String(isOut)}`, world => {
			world.boxes[box]!.store.isUnavailable = isOut;
		})),
	},
	{
		weight: 1, arbitrary: fc.tuple(anyBox, fc.boolean()).map(([box, isFrozen]) => step<ClaimWorld>(`box ${box} suspended: ${String(isFrozen)}`, world => {
			world.boxes[box]!.store.isSuspended = isFrozen;
		})),
	},
	{
		weight: 1, arbitrary: anyBox.map(box => step<ClaimWorld>(`restart box ${box}`, world => {
			world.restart(box);
		})),
	},
	{
		weight: 4, arbitrary: fc.constantFrom(5, 20, 100, 1000, 4000, 70_000).map(milliseconds => step<ClaimWorld>(`wait ${milliseconds}`, async world => {
			await world.time.advance(milliseconds);
		})),
	},
);

/** Claims of three boxes that share one store. */
export const claimSuite: Suite<ClaimWorld> = {
	name: 'claims',
	steps,
	create: time => new ClaimWorld(time),
	async check(world, time) {
		for (const {store} of world.boxes) {
			store.isUnavailable = false;
			store.isSuspended = false;
			store.callOutcomes = [];
		}

		await time.advance(20_000);
		assert.equal(world.pending, 0, 'requests without a final answer');
		for (const [key, attempts] of world.executions) {
			assert.ok(attempts.length <= 1, `${key} was executed by ${attempts.join(' and ')}`);
		}

		for (const {key, attempt, verdict} of world.answers) {
			const hasExecuted = world.executions.get(key)?.includes(attempt) ?? false;
			assert.ok(verdict !== 'not-run' || !hasExecuted, `${attempt} of ${key} was answered with "not run", but ran`);
		}
	},
	faults: world => world.objects.faults,
};
