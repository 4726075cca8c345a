import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {createRandom} from '../../../development/harness/seeded-random.js';
import {exchangeInterval, exchangePause} from '../../gossip/exchange-topology.js';
import {QuotaLedger} from '../quota-ledger.js';

/** Units a second; the burst is two seconds of it. */
const rate = 40_000;
const burst = 80_000;
/** Mean units of a request; sizes are exponentially distributed. */
const meanUnits = 4000;
const aggregators = 3;
const seconds = 20;

/** Load of one client account on a large fleet. */
type Load = {
	readonly boxes: number;
	/** Demand as a factor of the rate. */
	readonly demand: number;
	/** Factor on the demand in the first second, when clients return that found no box. */
	readonly backlog?: number;
	/** Whether the buckets start full, or as after a restart of all boxes. */
	readonly startsFull: boolean;
};

/** Units that were asked for and admitted. */
type Outcome = {asked: number; admitted: number; readonly admittedAt: Array<readonly [at: number, units: number]>};

/** Plays the load: each box exchanges messages with one of the aggregators at a time, once in an interval of the exchange. */
function play({boxes, demand, backlog = 1, startsFull}: Load, seed: number): Outcome {
	const random = createRandom(seed);
	const clock = new ManualClock(1000);
	const interval = exchangeInterval(boxes);
	const ledgers = Array.from({length: boxes}, (_, index) => QuotaLedger.create({
		bound: () => ({rate, burst}), reachableFraction: () => index < aggregators ? 1 : 1 / boxes, burstFraction: () => 0.9, exchangeInterval: () => interval, random,
	}, clock, startsFull));
	const nextRound = ledgers.map(() => clock.now + (random() * interval));
	const outcome: Outcome = {asked: 0, admitted: 0, admittedAt: []};
	const end = clock.now + (seconds * 1000);
	const begin = clock.now;
	while (clock.now < end) {
		clock.now += 5;
		for (const [index, ledger] of ledgers.entries()) {
			if (clock.now < nextRound[index]!) {
				continue;
			}

			nextRound[index] = clock.now + exchangePause(interval, random());
			const others = [...ledgers.keys()].filter(other => other < aggregators && other !== index);
			for (const other of others) {
				ledgers[other]!.applyCounts(String(index), ledger.counts, 'known');
			}

			if (index >= aggregators) {
				ledger.adopt(ledgers[others[Math.floor(random() * others.length)]!]!.levelsFor(String(index)));
			}
		}

		const factor = clock.now - begin < 1000 ? demand * backlog : demand;
		if (random() < factor * rate / meanUnits * 0.005) {
			const units = -Math.log(1 - random()) * meanUnits;
			const isAdmitted = ledgers[Math.floor(random() * boxes)]!.take('basin', units) === 0;
			outcome.asked += units;
			if (isAdmitted) {
				outcome.admitted += units;
				outcome.admittedAt.push([clock.now, units]);
			}
		}
	}

	return outcome;
}

/** Most units admitted in a window of eight seconds. */
function mostInWindow({admittedAt}: Outcome): number {
	return Math.max(...admittedAt.map(([from]) => admittedAt.filter(([at]) => at >= from && at < from + 8000).reduce((sum, [, units]) => sum + units, 0)));
}

/** Units allowed in a window of eight seconds: the smallest tolerances of the deployments are a tenth and 72,000 units. */
const allowedInWindow = (((rate * 8) + burst) * 1.1) + 72_000;
const seeds = [1, 2, 3];

for (const boxes of [21, 77, 195, 320]) {
	test(`after all of ${boxes} boxes restarted, a client account within its quota is hardly refused, although its clients return at once`, () => {
		for (const seed of seeds) {
			const outcome = play({
				boxes, demand: 0.55, backlog: 3, startsFull: false,
			}, seed);
			assert.ok(outcome.admitted >= outcome.asked * 0.95, `${outcome.admitted} of ${outcome.asked} units, seed ${seed}`);
			assert.ok(mostInWindow(outcome) <= allowedInWindow);
		}
	});

	test(`a client account above its quota gets nine tenths of it at ${boxes} boxes, and no more than the quota in any window`, () => {
		for (const seed of seeds) {
			for (const demand of [1.3, 2, 6]) {
				const outcome = play({boxes, demand, startsFull: true}, seed);
				const allowed = (rate * seconds) + burst;
				const most = mostInWindow(outcome);
				assert.ok(outcome.admitted >= Math.min(outcome.asked, allowed) * 0.9, `${outcome.admitted} of ${allowed} units at ${demand}, seed ${seed}`);
				assert.ok(most <= allowedInWindow, `${most} units in a window at ${demand}, seed ${seed}`);
			}
		}
	});
}
