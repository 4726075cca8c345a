/**
 * Invariant: at most one box holds the lease. Runs the real lease with suspended boxes, late writes and lost answers.
 */
import assert from 'node:assert/strict';
import * as Effect from 'effect/Effect';
import fc from 'fast-check';
import {SilentEventLog} from '../../src/base/event-log.js';
import type {BoxId} from '../../src/base/identifiers.js';
import {Lease} from '../../src/lease/lease.js';
import {FakeObjectStore, FakeObjects, type CallOutcome} from './fake-object-store.js';
import {step, type Suite} from './suite.js';
import {VirtualClock, type VirtualTime} from './virtual-time.js';

const boxCount = 3;
/** Milliseconds between two checks of the invariant. */
const checkInterval = 50;

type Candidate = {readonly store: FakeObjectStore; readonly lease: Lease; readonly generations: number[]};

class LeaseWorld {
	readonly objects: FakeObjects;
	readonly candidates: readonly Candidate[];

	constructor(readonly time: VirtualTime) {
		this.objects = new FakeObjects(() => time.now);
		this.candidates = Array.from({length: boxCount}, (_, index) => {
			const store = FakeObjectStore.create(this.objects);
			const generations: number[] = [];
			const lease = Lease.create('duty', {
				self: `box-${index}` as BoxId, store, log: SilentEventLog.create(), clock: VirtualClock.create(time, index * 500_000),
			});
			Effect.runFork(lease.whileHeld(({generation}) => Effect.sync(() => {
				generations.push(generation);
			}).pipe(Effect.andThen(Effect.never))));
			return {store, lease, generations};
		});
	}

	get holders(): number {
		return this.candidates.filter(({lease}) => lease.isHeld).length;
	}

	async advance(milliseconds: number): Promise<void> {
		const endsAt = this.time.now + milliseconds;
		while (this.time.now < endsAt) {
			await this.time.advance(checkInterval);
			assert.ok(this.holders <= 1, `${this.holders} boxes hold the lease at ${this.time.now} ms`);
		}
	}
}

const anyBox = fc.integer({min: 0, max: boxCount - 1});
const callFates = fc.array(fc.constantFrom<CallOutcome>('normal', 'lost-answer', 'lost-call', 'late', 'slow'), {minLength: 1, maxLength: 5});

const steps = fc.oneof(
	{
		weight: 4, arbitrary: fc.constantFrom(500, 3000, 9000, 15_000).map(milliseconds => step<LeaseWorld>(`wait ${milliseconds}`, async world => {
			await world.advance(milliseconds);
		})),
	},
	{
		weight: 3, arbitrary: fc.tuple(anyBox, callFates).map(([box, fates]) => step<LeaseWorld>(`next store calls of box ${box}: ${fates.join(', ')}`, world => {
			world.candidates[box]!.store.callOutcomes.push(...fates);
		})),
	},
	{
		weight: 2, arbitrary: fc.tuple(anyBox, fc.boolean()).map(([box, isFrozen]) => step<LeaseWorld>(`box ${box} suspended: ${String(isFrozen)}`, world => {
			world.candidates[box]!.store.isSuspended = isFrozen;
		})),
	},
	{
		weight: 1, arbitrary: fc.tuple(anyBox, fc.boolean()).map(([box, isOut]) => step<LeaseWorld>(`store unavailable for box ${box}: ${String(isOut)}`, world => {
			world.candidates[box]!.store.isUnavailable = isOut;
		})),
	},
);

/** Three boxes that compete for one lease. */
export const leaseSuite: Suite<LeaseWorld> = {
	name: 'leases',
	steps,
	create: time => new LeaseWorld(time),
	async check(world) {
		for (const {store} of world.candidates) {
			store.isUnavailable = false;
			store.isSuspended = false;
			store.callOutcomes = [];
		}

		await world.advance(30_000);
		assert.equal(world.holders, 1, 'number of lease holders 30 s after the last fault');
		const generations = world.candidates.flatMap(candidate => candidate.generations);
		assert.equal(new Set(generations).size, generations.length, `a generation was assigned twice: ${generations.join(', ')}`);
	},
	faults: world => world.objects.faults,
};
