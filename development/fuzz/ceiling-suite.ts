/**
 * Invariant: the sum of the rates over all boxes never exceeds the ceiling. Runs the real ceiling owners and spenders under network
 * partitions.
 */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import type {BoxId} from '../../src/base/identifiers.js';
import {CeilingOwner, type CeilingFacts} from '../../src/limits/ceiling-owner.js';
import {Ceilings} from '../../src/limits/ceilings.js';
import {step, type Suite} from './suite.js';
import {VirtualClock, type VirtualTime} from './virtual-time.js';

const boxCount = 5;
/** Units per second, for each row. */
const ceiling = 100;
const rows = ['acme/bulletin/write', 'acme/bulletin/read'];
/** Milliseconds between two exchanges of all boxes. */
const exchangeInterval = 500;
/** Milliseconds between two checks of the invariant. */
const checkInterval = 100;
/** Allows for rounding errors. */
const tolerance = 1e-6;

type Box = {readonly id: BoxId; ceilings: Ceilings; owner: CeilingOwner; isSuspended: boolean; partition: number};

class CeilingWorld {
	readonly ids = Array.from({length: boxCount}, (_, index) => `box-${index}` as BoxId);
	readonly boxes: Box[];
	faults = 0;
	maxSum = 0;

	constructor(readonly time: VirtualTime) {
		this.boxes = this.ids.map((id, index) => this.start(id, index));
	}

	start(id: BoxId, index: number): Box {
		const facts: CeilingFacts = {ceiling: () => ceiling, rows: () => rows, entryBoxes: () => this.ids};
		// The monotonic clocks of different boxes are unrelated.
		const clock = VirtualClock.create(this.time, index * 1_000_000);
		return {
			id, ceilings: Ceilings.create(id, facts, clock), owner: CeilingOwner.create(facts, clock), isSuspended: false, partition: 0,
		};
	}

	/** Exchanges demands and grants between all pairs of boxes of the same partition that are not suspended. */
	exchange(): void {
		for (const asker of this.boxes.filter(({isSuspended}) => !isSuspended)) {
			const reachable = this.boxes.filter(({partition, isSuspended}) => partition === asker.partition && !isSuspended);
			for (const owner of reachable) {
				const askedAt = this.time.now + (this.ids.indexOf(asker.id) * 1_000_000);
				const demands = asker.ceilings.demandsFor(owner.id, reachable.map(({id}) => id));
				asker.ceilings.applyGrants(owner.id, owner.owner.grant(asker.id, demands), askedAt);
			}
		}
	}

	check(): void {
		for (const row of rows) {
			let sum = 0;
			for (const {ceilings} of this.boxes) {
				sum += ceilings.rate(row);
			}

			this.maxSum = Math.max(this.maxSum, sum);
			assert.ok(sum <= ceiling + tolerance, `rates of ${row} add up to ${sum}, above the ceiling, at ${this.time.now} ms`);
		}
	}

	async advance(milliseconds: number): Promise<void> {
		const endsAt = this.time.now + milliseconds;
		while (this.time.now < endsAt) {
			await this.time.advance(checkInterval);
			if (this.time.now % exchangeInterval === 0) {
				this.exchange();
			}

			this.check();
		}
	}
}

const anyBox = fc.integer({min: 0, max: boxCount - 1});

const steps = fc.oneof(
	{
		weight: 5, arbitrary: fc.tuple(anyBox, fc.constantFrom(...rows), fc.integer({min: 1, max: 300})).map(([box, row, cost]) =>
			step<CeilingWorld>(`demand ${cost} of ${row} at ${box}`, world => {
				world.boxes[box]!.ceilings.take(row, cost);
			})),
	},
	{
		weight: 4, arbitrary: fc.constantFrom(500, 1000, 3000, 6000).map(milliseconds => step<CeilingWorld>(`wait ${milliseconds}`, async world => {
			await world.advance(milliseconds);
		})),
	},
	{
		weight: 2, arbitrary: fc.array(fc.integer({min: 0, max: 1}), {minLength: boxCount, maxLength: boxCount}).map(groups =>
			step<CeilingWorld>(`partition boxes as ${groups.join('')}`, world => {
				world.faults++;
				for (const [index, group] of groups.entries()) {
					world.boxes[index]!.partition = group;
				}
			})),
	},
	{
		weight: 1, arbitrary: fc.tuple(anyBox, fc.boolean()).map(([box, isSuspended]) => step<CeilingWorld>(`box ${box} suspended: ${String(isSuspended)}`, world => {
			world.faults++;
			world.boxes[box]!.isSuspended = isSuspended;
		})),
	},
);

/** Ceilings of five boxes under network partitions and suspended owners. */
export const ceilingSuite: Suite<CeilingWorld> = {
	name: 'ceilings',
	steps,
	create: time => new CeilingWorld(time),
	async check(world) {
		for (const box of world.boxes) {
			box.partition = 0;
			box.isSuspended = false;
		}

		await world.advance(12_000);
		// Other boxes can use an idle share: after an idle period, a single busy box gets nearly the whole ceiling.
		for (let round = 0; round < 20; round++) {
			world.boxes[0]!.ceilings.take(rows[0]!, 100);
			await world.advance(500);
		}

		assert.ok(world.boxes[0]!.ceilings.rate(rows[0]!) >= ceiling * 0.8, `a single busy box gets only ${world.boxes[0]!.ceilings.rate(rows[0]!)} of ${ceiling}`);
	},
	faults: world => world.faults,
};
