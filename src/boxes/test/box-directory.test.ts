import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {VirtualClock} from '../../../development/fuzz/virtual-time.js';
import {SilentEventLog} from '../../base/event-log.js';
import type {BoxId, DataCentre, PoolName} from '../../base/identifiers.js';
import type {Box} from '../../external/box-list.js';
import {BoxDirectory} from '../box-directory.js';

const pool = 'engines' as PoolName;

const box = (id: string, state: Box['state']): Box => ({
	id: id as BoxId, role: 'model-engine', dataCentre: 'dc' as DataCentre, host: '127.0.0.1', port: 1, pool, machineClass: 'm', reclaimable: true, price: 1, state,
});

test('a box that is marked as leaving gets no new work again, even if later lists show it as live', () => {
	const listing = fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.constantFrom<Box['state']>('live', 'leaving')), {maxLength: 3});
	const notice = fc.constantFrom('a', 'b', 'c');
	fc.assert(fc.property(fc.array(fc.oneof(listing, notice), {maxLength: 20}), steps => {
		const directory = BoxDirectory.create('self' as BoxId, VirtualClock.create({now: 0}), SilentEventLog.create());
		const leavingIds = new Set<string>();
		let version = 0;
		for (const step of steps) {
			if (typeof step === 'string') {
				directory.markLeaving(step as BoxId, 'peer', undefined);
				leavingIds.add(step);
			} else {
				version++;
				const boxes = new Map(step.map(([id, state]) => [id, box(id, state)]));
				directory.applyListing({version, boxes: [...boxes.values()]});
				for (const {id, state} of boxes.values()) {
					if (state === 'leaving') {
						leavingIds.add(id);
					}
				}
			}

			assert.ok(directory.upstreams(pool).every(({id}) => !leavingIds.has(id)));
		}
	}), {seed: 1});
});

test('the end of a leaving box can only be set or moved to an earlier time', () => {
	const directory = BoxDirectory.create('self' as BoxId, VirtualClock.create({now: 0}), SilentEventLog.create());
	const ends: Array<number | undefined> = [];
	directory.onDidMarkLeaving(({endsAt}) => ends.push(endsAt));
	for (const endsAt of [undefined, 5000, undefined, 9000, 3000]) {
		directory.markLeaving('a' as BoxId, 'peer', endsAt);
	}

	assert.deepEqual(ends, [undefined, 5000, 3000]);
});

test('a box that is missing from the list does not mark itself as leaving', () => {
	const directory = BoxDirectory.create('self' as BoxId, VirtualClock.create({now: 0}), SilentEventLog.create());
	directory.applyListing({version: 1, boxes: [{...box('self', 'live'), role: 'entry'}, box('a', 'live')]});
	directory.applyListing({version: 2, boxes: []});
	assert.ok(!directory.isLeaving('self' as BoxId));
	assert.ok(directory.isLeaving('a' as BoxId));
});
