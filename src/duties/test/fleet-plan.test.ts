import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {sumOf} from '../../base/sum.js';
import type {Scaling} from '../../routes/route-table.js';
import {MeasuredLoadPolicy, type FleetFacts} from '../fleet-plan.js';

const scaling: Scaling = {
	minimum: 1, maximum: 7, bootTime: 4000, reclaimablePrice: 0.15, dataCentrePrices: new Map([['a', 1], ['b', 1], ['c', 1], ['d', 1]]),
};
const dataCentres = ['a', 'b', 'c', 'd'];
const facts = (changes: Partial<FleetFacts>): FleetFacts => ({
	service: 's', scaling, dataCentres, needed: 10, leastNow: 8, baseline: 12, isSettled: true, isIdle: false, isScarce: false,
	reclaimableReady: new Map(), keptOrdered: new Map(), withoutKeptCapacity: new Set(), ...changes,
});
const plan = (changes: Partial<FleetFacts>) => MeasuredLoadPolicy.create().plan(facts(changes));
const ready = (count: number, in_: readonly string[] = dataCentres) => new Map(in_.map(dataCentre => [dataCentre, count]));
const keptOf = (changes: Partial<FleetFacts>) => sumOf(plan(changes).map(({kept}) => kept));
const reclaimableOf = (changes: Partial<FleetFacts>) => sumOf(plan(changes).map(({reclaimable}) => reclaimable));

test('the first fleet stays until enough reclaimable replicas are ready', () => {
	const first = {isSettled: false};
	assert.ok(plan(first).every(({kept}) => kept === 3));
	assert.equal(reclaimableOf(first), 13);
	assert.equal(keptOf({...first, reclaimableReady: ready(2)}), 0, 'eight reclaimable replicas for a first fleet of twelve are ready');
});

test('the first fleet is removed at once if it runs no requests, unless no reclaimable replicas are available', () => {
	assert.equal(keptOf({isSettled: false, isIdle: true}), 0);
	assert.equal(keptOf({isSettled: false, isIdle: true, isScarce: true}), 12);
});

test('reclaimable replicas follow the load, are spread evenly over all data centres, and survive the loss of two', () => {
	assert.deepEqual(plan({needed: 9}).map(({reclaimable}) => reclaimable), [3, 3, 3, 3]);
	const many = {needed: 17.2, dataCentres: ['a', 'b', 'c', 'd', 'e', 'f']};
	assert.equal(reclaimableOf(many), 18, 'enough replicas remain after the loss of two of six');
	const three = {needed: 10, dataCentres: ['a', 'b', 'c']};
	assert.ok(plan(three).every(({reclaimable}) => reclaimable >= 6), 'one of three data centres carries the load with little headroom');
});

test('the plan does not change while reclaimable replicas are missing but available', () => {
	assert.deepEqual(plan({reclaimableReady: ready(2, ['a', 'b'])}), plan({reclaimableReady: ready(3)}));
});

test('if no reclaimable replicas are available, kept ones are ordered to cover the loss of half of the rest', () => {
	const prices = new Map([['a', 1], ['b', 0.8], ['c', 1.2], ['d', 0.9]]);
	const scarce = {isScarce: true, scaling: {...scaling, maximum: 10, dataCentrePrices: prices}};
	assert.equal(keptOf({...scarce, reclaimableReady: ready(4, ['a', 'b', 'c'])}), 4, 'four of twelve would remain');
	const afterSecond = plan({...scarce, reclaimableReady: ready(3, ['a', 'c'])});
	assert.deepEqual(afterSecond.map(({kept}) => kept), [0, 6, 0, 2], 'eight, as if none remained, in the cheapest data centres');
	assert.equal(keptOf(scarce), 8);
	assert.deepEqual(
		afterSecond.map(({reclaimable}) => reclaimable),
		plan({scaling: scarce.scaling}).map(({reclaimable}) => reclaimable),
		'reclaimable replicas stay ordered, so that they return when available',
	);
});

test('kept replicas follow the load of the last seconds, not an earlier peak, and stay in their data centres', () => {
	assert.equal(keptOf({isScarce: true, needed: 20, leastNow: 6}), 6);
	const standing = plan({
		isScarce: true, scaling: {...scaling, maximum: 10}, leastNow: 8, keptOrdered: new Map([['c', 3], ['d', 1]]),
	});
	assert.deepEqual(standing.map(({kept}) => kept), [4, 0, 3, 1], 'four more in addition to the existing four');
	assert.equal(keptOf({isScarce: true, leastNow: 6, keptOrdered: new Map([['a', 7]])}), 7, 'a small decrease removes none');
});

test('kept replicas are removed in larger steps as reclaimable ones become ready again', () => {
	const standing = {keptOrdered: new Map([['a', 6]])};
	assert.equal(keptOf({...standing, reclaimableReady: ready(1)}), 6);
	assert.equal(keptOf({...standing, reclaimableReady: ready(2, ['a', 'b', 'c'])}), 3);
	assert.equal(keptOf({...standing, reclaimableReady: ready(3)}), 0);
});

test('kept replicas are not ordered in a data centre that just had none available', () => {
	const places = plan({isScarce: true, withoutKeptCapacity: new Set(['a'])});
	assert.equal(places[0]!.kept, 0);
	assert.equal(sumOf(places.map(({kept}) => kept)), 8);
});

test('no reclaimable replicas are ordered if they cost as much as kept ones', () => {
	const dear = {scaling: {...scaling, maximum: 20, reclaimablePrice: 1}};
	assert.equal(keptOf(dear), 10);
	assert.ok(plan(dear).every(({reclaimable}) => reclaimable === scaling.minimum || reclaimable === 0));
});

const installations = fc.integer({min: 2, max: 10}).chain(count => fc.record({
	prices: fc.array(fc.double({min: 0.3, max: 2, noNaN: true}), {minLength: count, maxLength: count}),
	reclaimablePrice: fc.double({min: 0.05, max: 0.95, noNaN: true}),
	minimum: fc.integer({min: 0, max: 2}),
	maximum: fc.integer({min: 3, max: 60}),
	bootTime: fc.integer({min: 500, max: 60_000}),
	needed: fc.double({min: 0.5, max: 60, noNaN: true}),
	ready: fc.array(fc.integer({min: 0, max: 20}), {minLength: count, maxLength: count}),
	standing: fc.array(fc.integer({min: 0, max: 6}), {minLength: count, maxLength: count}),
	isScarce: fc.boolean(),
	isSettled: fc.boolean(),
	isIdle: fc.boolean(),
}));

test('in installations of any size the orders respect the limits and carry the load, and a second plan changes nothing', () => {
	fc.assert(fc.property(installations, ({prices, ready: present, standing, needed, isScarce, isSettled, isIdle, ...rest}) => {
		const names = prices.map((_, index) => `centre-${index}`);
		const drawn: Scaling = {...rest, dataCentrePrices: new Map(names.map((name, index) => [name, prices[index]!]))};
		const changes = {
			scaling: drawn, dataCentres: names, needed, leastNow: needed, baseline: Math.ceil(needed), isScarce, isSettled, isIdle,
			reclaimableReady: new Map(names.map((name, index) => [name, Math.min(rest.maximum, present[index]!)])),
			keptOrdered: new Map(names.map((name, index) => [name, Math.min(rest.maximum, standing[index]!)])),
		};
		const orders = plan(changes);
		assert.ok(orders.every(({reclaimable, kept}) => reclaimable >= 0 && kept >= 0 && reclaimable + kept <= rest.maximum), 'the maximum applies to the sum of both kinds');
		const total = sumOf(orders.map(({reclaimable, kept}) => reclaimable + kept));
		assert.ok(total >= Math.min(Math.floor(needed), rest.maximum * names.length), `${total} for ${needed}`);
		if (isSettled) {
			const again = plan({...changes, keptOrdered: new Map(orders.map(({dataCentre, kept}) => [dataCentre, kept]))});
			assert.deepEqual(again, orders);
		}
	}), {seed: 20_261, numRuns: 500});
});
