import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ExchangeFleet} from '../../../development/harness/exchange-fleet.js';
import {ManualClock} from '../../../development/harness/manual-clock.js';

for (const boxes of [77, 195, 320]) {
	test(`an aggregator of ${boxes} boxes counts the requests of all of them until their next reports are due, and one report longer`, () => {
		const clock = new ManualClock(1000);
		const fleet = ExchangeFleet.create({
			boxes, replicas: 69, clientAccounts: 1, inProgress: 2,
		}, clock);
		clock.now += fleet.interval;
		fleet.round();
		assert.equal(fleet.requestsCounted, fleet.requestsInProgress);
		clock.now += 2 * fleet.interval * 1.25;
		assert.equal(fleet.requestsCounted, fleet.requestsInProgress);
	});
}
