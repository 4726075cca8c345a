import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Scaling} from '../../routes/route-table.js';
import {SurvivingDataCentresPolicy, type FleetFacts} from '../fleet-plan.js';

const scaling: Scaling = {
	minimum: 1, maximum: 7, bootTime: 4000, reclaimablePrice: 0.15, dataCentrePrices: new Map([['a', 1], ['b', 1], ['c', 1], ['d', 1]]),
};
const dataCentres = ['a', 'b', 'c', 'd'];
const facts = (changes: Partial<FleetFacts>): FleetFacts => ({
	service: 's', scaling, baseline: 12, dataCentres, reclaimableReady: new Map(), keptOrdered: 0, isBooting: false, isSettled: false, isIdle: false, ...changes,
});
const plan = (changes: Partial<FleetFacts>) => SurvivingDataCentresPolicy.create().plan(facts(changes));
const ready = (count: number, in_: readonly string[] = dataCentres) => new Map(in_.map(dataCentre => [dataCentre, count]));

test('kept replicas stay until the others serve', () => {
	assert.ok(plan({}).every(({kept, reclaimable}) => kept === 3 && reclaimable === 4));
	assert.ok(plan({reclaimableReady: ready(3)}).every(({kept, reclaimable}) => kept === 0 && reclaimable === 5));
});

test('where nothing runs yet nothing is kept for it', () => {
	assert.ok(plan({isIdle: true}).every(({kept}) => kept === 0));
});

test('two data centres withdrawn leave enough, and nothing is ordered or given up in the wave', () => {
	const calm = plan({isSettled: true, reclaimableReady: ready(5)});
	const wave = plan({isSettled: true, reclaimableReady: ready(5, ['a', 'b'])});
	assert.deepEqual(wave, calm);
	const left = calm.filter(({dataCentre}) => dataCentre === 'a' || dataCentre === 'b');
	assert.ok(left.every(({reclaimable}) => reclaimable * 2 >= 12 * 0.8));
});

test('what is missing when more data centres are withdrawn is bridged by kept replicas, as many as are missing, where they cost least', () => {
	const prices = new Map([['a', 1], ['b', 0.8], ['c', 1.2], ['d', 0.9]]);
	const short = plan({isSettled: true, reclaimableReady: ready(5, ['a']), scaling: {...scaling, dataCentrePrices: prices}});
	assert.deepEqual(short.map(({kept}) => kept), [0, 4, 0, 0], '9 are needed and 5 serve');
	assert.deepEqual(short.map(({reclaimable}) => reclaimable), [5, 3, 5, 5], 'the others stay ordered, so that they come back');
});

test('kept replicas that stand in are given up when nothing is missing any more, and not before', () => {
	const sumKept = (changes: Partial<FleetFacts>) => plan({isSettled: true, keptOrdered: 4, ...changes}).map(({kept}) => kept).reduce((left, right) => left + right, 0);
	assert.equal(sumKept({reclaimableReady: ready(5, ['a'])}), 4);
	assert.equal(sumKept({reclaimableReady: ready(3, ['a', 'b'])}), 4, 'three are missing');
	assert.equal(sumKept({reclaimableReady: ready(4, ['a', 'b'])}), 1, 'one is missing');
	assert.equal(sumKept({reclaimableReady: ready(5, ['a', 'b'])}), 0);
});

test('kept replicas take the places of those that are gone where the maximum leaves no others, and never of those that serve', () => {
	const tight: Scaling = {...scaling, maximum: 5};
	const gone = plan({isSettled: true, scaling: tight});
	assert.equal(gone.reduce((total, {kept}) => total + kept, 0), 9);
	const half = plan({isSettled: true, scaling: tight, reclaimableReady: ready(4, ['a'])});
	assert.ok(half.find(({dataCentre}) => dataCentre === 'a')!.reclaimable >= 4);
});

test('while the replicas that take the first fleet\'s place boot nothing is ordered to bridge them', () => {
	assert.ok(plan({isSettled: true, isBooting: true}).every(({kept}) => kept === 0));
	assert.ok(plan({isSettled: true}).some(({kept}) => kept > 0));
});

test('no data centre is ever ordered more than the maximum, both sorts together, or less than the minimum', () => {
	for (const baseline of [0, 1, 5, 12, 60]) {
		for (const isSettled of [true, false]) {
			for (const {kept, reclaimable} of plan({baseline, isSettled})) {
				assert.ok(kept + reclaimable <= scaling.maximum && kept + reclaimable >= scaling.minimum);
			}
		}
	}
});
