import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {QuotaLedger} from '../quota-ledger.js';

const clientAccount = 'basin';
const bound = {rate: 100, burst: 100};

/** Boxes that exchange their counters at intervals, as by gossip. */
class Fleet {
	readonly clock = new ManualClock();
	readonly ledgers: readonly QuotaLedger[];
	readonly isReachable: boolean[];
	private readonly met = new Set<string>();

	constructor(boxes: number) {
		this.isReachable = Array.from({length: boxes}, () => true);
		this.ledgers = Array.from({length: boxes}, (_, index) => QuotaLedger.create({
			bound: () => bound,
			reachableFraction: () => this.isReachable[index] ? this.isReachable.filter(Boolean).length / boxes : 1 / boxes,
		}, this.clock, true));
	}

	exchange(): void {
		for (const [receiver, ledger] of this.ledgers.entries()) {
			for (const [sender, other] of this.ledgers.entries()) {
				if (receiver === sender) {
					continue;
				}

				const pair = `${receiver}/${sender}`;
				if (!this.isReachable[receiver] || !this.isReachable[sender]) {
					this.met.delete(pair);
					continue;
				}

				ledger.applyCounts(String(sender), other.counts, this.met.has(pair) ? 'known' : 'other');
				this.met.add(pair);
			}
		}
	}
}

test('a client account within its quota is never refused, whichever boxes receive its requests', () => {
	const fleet = new Fleet(9);
	for (let step = 0; step < 200; step++) {
		fleet.clock.now += 20;
		if (step % 10 === 0) {
			fleet.exchange();
		}

		assert.equal(fleet.ledgers[(step * 7) % 9]!.take(clientAccount, 1.5), 0);
	}
});

test('a client account far above its quota gets little more than its quota in any window, also with partitioned boxes', () => {
	fc.assert(fc.property(
		fc.array(fc.record({box: fc.nat(8), partitioned: fc.option(fc.nat(8)), isRepaired: fc.boolean()}), {minLength: 1500, maxLength: 2000}),
		steps => {
			const fleet = new Fleet(9);
			const passed: Array<{readonly at: number; readonly units: number}> = [];
			for (const [index, {box, partitioned, isRepaired}] of steps.entries()) {
				fleet.clock.now += 10;
				// Occasional partitions of single boxes, and their ends.
				if (index % 400 === 399 && partitioned !== null) {
					fleet.isReachable[partitioned] = false;
				}

				if (index % 700 === 699 && isRepaired) {
					fleet.isReachable.fill(true);
				}

				if (index % 20 === 0) {
					fleet.exchange();
				}

				// The demand is four times the quota.
				if (fleet.ledgers[box]!.take(clientAccount, 4) === 0) {
					passed.push({at: fleet.clock.now, units: 4});
				}
			}

			const window = 8000;
			for (const {at} of passed) {
				const inWindow = passed.filter(other => other.at >= at && other.at < at + window);
				const units = inWindow.length * 4;
				assert.ok(units <= ((bound.rate * 8) + bound.burst) * 1.35, `${units} units in a window`);
			}
		},
	), {numRuns: 12, seed: 7, endOnFailure: true});
});

test('a box that joins running boxes adopts their level, and a restarted box begins with half of the burst', () => {
	const clock = new ManualClock();
	const facts = {bound: () => bound, reachableFraction: () => 1};
	const old = QuotaLedger.create(facts, clock, true);
	while (old.take(clientAccount, 10) === 0) {
		// Uses up the bucket.
	}

	const fresh = QuotaLedger.create(facts, clock, true);
	fresh.applyCounts('old', old.counts, 'other');
	assert.ok(fresh.take(clientAccount, 1) > 0);
	const restarted = QuotaLedger.create(facts, clock, false);
	assert.equal(restarted.take(clientAccount, 60), 0);
	assert.ok(restarted.take(clientAccount, 1) > 0, 'no more than half of the burst is available');
	clock.now += 200;
	assert.equal(restarted.take(clientAccount, 1), 0);
});

test('a lowered limit takes effect at once, and the units of a request that did not run are returned', () => {
	const clock = new ManualClock();
	const limit = {...bound};
	const ledger = QuotaLedger.create({bound: () => limit, reachableFraction: () => 1}, clock, true);
	limit.burst = 5;
	assert.equal(ledger.take(clientAccount, 6), 0);
	assert.ok(ledger.take(clientAccount, 1) > 0);
	ledger.giveBack(clientAccount, 6);
	assert.equal(ledger.take(clientAccount, 1), 0);
});

/** A large fleet: boxes send their counters to one aggregator, which sends the level of the bucket to each box. */
class LargeFleet {
	readonly clock = new ManualClock();
	readonly aggregator: QuotaLedger;
	readonly boxes: readonly QuotaLedger[];

	constructor(boxes: number, startsFull = true, heardPart = 1) {
		const random = () => 0.5;
		const burstFraction = () => 0.9;
		this.aggregator = QuotaLedger.create({
			bound: () => bound, reachableFraction: () => heardPart, burstFraction, random,
		}, this.clock, startsFull);
		this.boxes = Array.from({length: boxes}, () => QuotaLedger.create({
			bound: () => bound, reachableFraction: () => 1 / boxes, burstFraction, random,
		}, this.clock, startsFull));
	}

	exchange(meeting: 'known' | 'apart' = 'known'): void {
		for (const [index, box] of this.boxes.entries()) {
			this.aggregator.applyCounts(String(index), box.counts, meeting);
			box.adopt(this.aggregator.levelsFor(String(index)));
		}
	}
}

test('in a large fleet a client account within its quota is never refused, also where one box receives all its requests', () => {
	for (const boxOf of [(step: number) => (step * 7) % 80, () => 3]) {
		const fleet = new LargeFleet(80);
		fleet.boxes[0]!.take(clientAccount, 0.001);
		fleet.exchange();
		for (let step = 0; step < 400; step++) {
			fleet.clock.now += 20;
			if (step % 20 === 0) {
				fleet.exchange();
			}

			assert.equal(fleet.boxes[boxOf(step)]!.take(clientAccount, 1.8), 0, `step ${step}`);
		}
	}
});

test('in a large fleet a client account far above its quota gets little more than its quota in any window', () => {
	const fleet = new LargeFleet(80);
	const passed: number[] = [];
	for (let step = 0; step < 4000; step++) {
		fleet.clock.now += 5;
		if (step % 80 === 0) {
			fleet.exchange();
		}

		// The demand is eight times the quota.
		if (fleet.boxes[(step * 13) % 80]!.take(clientAccount, 4) === 0) {
			passed.push(fleet.clock.now);
		}
	}

	const window = 8000;
	for (const at of passed) {
		const units = passed.filter(other => other >= at && other < at + window).length * 4;
		assert.ok(units <= ((bound.rate * 8) + bound.burst) * 1.35, `${units} units in a window`);
	}
});

test('in a large fleet a sudden demand of eight times the quota exceeds the limit of a window by at most a tenth', () => {
	const fleet = new LargeFleet(80);
	fleet.boxes[0]!.take(clientAccount, 0.001);
	let passed = 0;
	for (let step = 0; step < 1600; step++) {
		fleet.clock.now += 5;
		// Each box exchanges once in 400 ms, all at different times, without delay.
		const index = step % 80;
		fleet.aggregator.applyCounts(String(index), fleet.boxes[index]!.counts, 'known');
		fleet.boxes[index]!.adopt(fleet.aggregator.levelsFor(String(index)));
		const isCalm = step < 400;
		if (fleet.boxes[(step * 13) % 80]!.take(clientAccount, isCalm ? 0.3 : 4) === 0) {
			passed += isCalm ? 0.3 : 4;
		}
	}

	assert.ok(passed <= ((bound.rate * 8) + bound.burst) * 1.1, `${passed} units in 8 s`);
});

test('a partition of a large fleet spends its part of the rate, whatever the demand', () => {
	const fleet = new LargeFleet(13, true, 0.15);
	fleet.boxes[0]!.take(clientAccount, 0.001);
	let passed = 0;
	for (let step = 0; step < 4000; step++) {
		fleet.clock.now += 5;
		if (step % 80 === 0) {
			fleet.exchange();
		}

		passed += fleet.boxes[(step * 7) % 13]!.take(clientAccount, 2) === 0 ? 2 : 0;
	}

	assert.ok(passed <= ((bound.rate * 20) + bound.burst) * 0.15 * 1.2, `${passed} units in 20 s`);
});

test('boxes that begin to spend their shares at the same time do not all admit a large request at once', () => {
	const fleet = new LargeFleet(80);
	fleet.boxes[0]!.take(clientAccount, 0.001);
	let passed = 0;
	for (let step = 0; step < 1600; step++) {
		fleet.clock.now += 5;
		const index = step % 80;
		fleet.aggregator.applyCounts(String(index), fleet.boxes[index]!.counts, 'known');
		fleet.boxes[index]!.adopt(fleet.aggregator.levelsFor(String(index)));
		// The demand is sixteen times the rate.
		if (step >= 400 && fleet.boxes[(step * 13) % 80]!.take(clientAccount, 8) === 0) {
			passed += 8;
		}
	}

	assert.ok(passed <= (bound.rate * 6) + (bound.burst * 2), `${passed} units in 6 s`);
});

test('a box that loses contact with the aggregators of a large fleet spends only its fair part', () => {
	const fleet = new LargeFleet(80);
	fleet.boxes[0]!.take(clientAccount, 0.001);
	fleet.exchange();
	fleet.clock.now += 60_000;
	const box = fleet.boxes[5]!;
	let units = 0;
	for (let step = 0; step < 1000; step++) {
		fleet.clock.now += 10;
		units += box.take(clientAccount, 0.1) === 0 ? 0.1 : 0;
	}

	assert.ok(units <= ((bound.rate * 10) + bound.burst) / 80 * 1.2, `${units} units in 10 s`);
});

test('units that a box admitted before its first or renewed contact with an aggregator are not subtracted from the bucket', () => {
	const clock = new ManualClock();
	const facts = {bound: () => bound, reachableFraction: () => 1};
	const box = QuotaLedger.create(facts, clock, true);
	for (let step = 0; step < 50; step++) {
		clock.now += 1000;
		assert.equal(box.take(clientAccount, 50), 0);
	}

	const aggregator = QuotaLedger.create(facts, clock, true);
	aggregator.applyCounts('box', box.counts, 'apart');
	assert.equal(aggregator.take(clientAccount, 90), 0);
	box.take(clientAccount, 20);
	aggregator.applyCounts('box', box.counts, 'known');
	assert.ok(aggregator.take(clientAccount, 1) > 0, 'units admitted after the first contact count');
});

test('recent counts include only the counters that changed within 2.5 s, also by returned units; counts include all', () => {
	const clock = new ManualClock();
	const ledger = QuotaLedger.create({bound: () => bound, reachableFraction: () => 1}, clock, true);
	const names = () => ledger.recentCounts.map(count => count.clientAccount);
	ledger.take('basin', 5);
	ledger.take('delta', 5);
	assert.deepEqual(names(), ['basin', 'delta']);
	clock.now += 2000;
	ledger.giveBack('delta', 5);
	clock.now += 1000;
	assert.deepEqual(names(), ['delta'], 'a change is sent for several exchanges, since a message may be lost');
	clock.now += 5000;
	assert.deepEqual(names(), []);
	assert.deepEqual(ledger.counts.map(count => count.clientAccount), ['basin', 'delta']);
});

test('a new aggregator does not count old units of a box as new, although the box sends only its recent counters', () => {
	const clock = new ManualClock();
	const large = {rate: 1000, burst: 10_000};
	const ledgerOf = () => QuotaLedger.create({bound: () => large, reachableFraction: () => 1}, clock, true);
	const box = ledgerOf();
	box.take('basin', 8000);
	clock.now += 60_000;
	box.take('basin', 8000);
	clock.now += 60_000;
	box.take('delta', 1000);
	const aggregator = ledgerOf();
	const levelOf = (name: string) => aggregator.levelsFor('box').find(level => level.clientAccount === name);
	aggregator.take('basin', 0);
	aggregator.applyCounts('box', box.recentCounts, 'apart', false);
	assert.equal(levelOf('basin')?.counted, undefined, 'the box has not sent this counter yet');
	box.adopt(aggregator.levelsFor('box'));
	assert.equal(box.take('basin', 100), 0, 'the box is not refused for units that it admitted long ago');
	clock.now += 400;
	aggregator.applyCounts('box', box.recentCounts, 'known', false);
	assert.equal(levelOf('basin')?.level, 10_000, 'the first report of a counter is not subtracted');
	clock.now += 400;
	aggregator.applyCounts('box', box.counts, 'known', true);
	box.take('basin', 300);
	box.take('sigma', 200);
	aggregator.applyCounts('box', box.recentCounts, 'known', false);
	assert.equal(levelOf('basin')?.level, 9700, 'later units are subtracted');
	assert.equal(levelOf('sigma')?.level, 9800, 'also those of a counter that was zero when all counters were sent');
	assert.equal(levelOf('basin')?.counted, 16_400);
});

test('units that a box admitted without contact are not subtracted, whichever counters it sends first', () => {
	const clock = new ManualClock();
	const box = QuotaLedger.create({bound: () => ({rate: 1000, burst: 10_000}), reachableFraction: () => 1}, clock, true);
	const aggregator = QuotaLedger.create({bound: () => ({rate: 1000, burst: 10_000}), reachableFraction: () => 1}, clock, true);
	box.take('basin', 100);
	box.take('delta', 100);
	aggregator.applyCounts('box', box.counts, 'younger');
	box.take('basin', 4000);
	clock.now += 20_000;
	box.take('delta', 50);
	aggregator.applyCounts('box', box.recentCounts, 'apart', false);
	clock.now += 400;
	aggregator.applyCounts('box', box.counts, 'known', true);
	assert.equal(aggregator.levelsFor('box').find(({clientAccount: name}) => name === 'basin')?.level, 10_000);
});
