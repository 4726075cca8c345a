/** Guards against refusals at a box that has just started, although the ceiling is not in use, because the other boxes were granted all of it before. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '../../../development/fuzz/virtual-time.js';
import type {BoxId} from '../../base/identifiers.js';
import {rankOwners} from '../../base/rendezvous.js';
import {sumOf} from '../../base/sum.js';
import {grantLifetime} from '../ceiling-grant.js';
import {CeilingOwner, type CeilingFacts} from '../ceiling-owner.js';
import {Ceilings} from '../ceilings.js';

/** Maximum rate of the row over all boxes, in units per second. */
const ceiling = 1000;
const row = 'alpha/orders/look-up';
const [first, second, third] = rankOwners(row, ['box-1', 'box-2', 'box-3'] as BoxId[]) as [BoxId, BoxId, BoxId];
/** Milliseconds between two exchanges. */
const exchangeInterval = 500;

/** Boxes with a common box list, which exchange demands and grants on request of the test. */
class Fleet {
	now = 0;
	listed: readonly BoxId[] = [];
	readonly boxes = new Map<BoxId, {readonly ceilings: Ceilings; readonly owner: CeilingOwner}>();

	start(id: BoxId): void {
		this.listed = [...this.listed, id];
		const facts: CeilingFacts = {ceiling: () => ceiling, rows: () => [row], entryBoxes: () => this.listed};
		const clock = VirtualClock.create(this);
		this.boxes.set(id, {ceilings: Ceilings.create(id, facts, clock), owner: CeilingOwner.create(facts, clock)});
	}

	ask(asker: BoxId, owner: BoxId): void {
		const {ceilings} = this.boxes.get(asker)!;
		ceilings.applyGrants(owner, this.boxes.get(owner)!.owner.grant(asker, ceilings.demandsFor(owner, [...this.boxes.keys()])), this.now);
	}

	exchange(): void {
		for (const asker of this.boxes.keys()) {
			for (const owner of this.boxes.keys()) {
				this.ask(asker, owner);
			}
		}

		this.now += exchangeInterval;
	}

	take(id: BoxId, cost: number): number {
		return this.boxes.get(id)!.ceilings.take(row, cost);
	}

	get rates(): readonly number[] {
		return [...this.boxes.values()].map(({ceilings}) => ceilings.rate(row));
	}
}

const sumOfRates = (fleet: Fleet): number => Math.round(sumOf(fleet.rates));

test('a box that starts after other boxes were granted the whole ceiling admits requests', () => {
	const fleet = new Fleet();
	fleet.start(first);
	fleet.exchange();
	assert.equal(sumOfRates(fleet), ceiling, 'a single box is granted the whole ceiling');
	for (const id of [second, third]) {
		fleet.start(id);
		fleet.ask(id, first);
		assert.equal(fleet.take(id, 1), 0, `${id} admits a request`);
		fleet.exchange();
		fleet.exchange();
		assert.ok(sumOfRates(fleet) <= ceiling, `after the next requests of the other boxes: ${sumOfRates(fleet)} of ${ceiling}`);
	}
});

/** Guards against a refusal whose Retry-After is not a finite number, after which callers do not retry. */
test('a box that was granted a rate of zero returns a finite time to retry', () => {
	const fleet = new Fleet();
	fleet.start(first);
	const {ceilings} = fleet.boxes.get(first)!;
	ceilings.demandsFor(first, [first]);
	ceilings.applyGrants(first, [{row, rate: 0}], fleet.now);
	const wait = fleet.take(first, 1);
	assert.ok(wait > 0 && wait <= grantLifetime, `${wait} ms`);
});
