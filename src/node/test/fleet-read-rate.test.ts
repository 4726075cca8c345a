import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ExchangeFleet} from '../../../development/harness/exchange-fleet.js';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {createRandom} from '../../../development/harness/seeded-random.js';
import {ServiceDemands} from '../../replicas/service-demand.js';

const service = 's';
/** Prompts of 1000 tokens or more that a box of the simulated fleet sends per second. */
const readsPerSecond = 0.5;
const seconds = 8;
/** Allowed relative difference between the estimate of a box and that of one box that measures all prompts. */
const tolerance = 0.3;
const promptTokens = 5000;

/** Milliseconds for a prompt: a replica without other work reads 60 tokens a millisecond, one with other work as few as 15. */
const readTime = (random: () => number) => promptTokens / (60 / (1 + (3 * random())));

for (const boxes of [77, 195, 320]) {
	test(`${boxes} boxes that each measure a prompt every two seconds know the read rate within ${seconds} s`, () => {
		const clock = new ManualClock(1000);
		const fleet = ExchangeFleet.create({
			boxes, replicas: 69, clientAccounts: 2, inProgress: 1,
		}, clock);
		const all = ServiceDemands.create(clock).of(service);
		const random = createRandom(7);
		for (let elapsed = 0; elapsed < seconds * 1000; elapsed += fleet.interval) {
			clock.now += fleet.interval;
			for (const demands of fleet.demands.filter(() => random() < readsPerSecond * fleet.interval / 1000)) {
				const duration = readTime(random);
				demands.of(service).recordArrival(promptTokens, 1000);
				demands.of(service).recordOutcome(true);
				demands.of(service).recordRead(promptTokens, duration);
				all.recordRead(promptTokens, duration);
			}

			fleet.round();
		}

		const wrong = fleet.demands.map(demands => demands.of(service).readRate).filter(rate => Math.abs(rate - all.readRate) > all.readRate * tolerance);
		assert.ok(all.readRate > 0);
		assert.deepEqual(wrong, []);
	});
}
