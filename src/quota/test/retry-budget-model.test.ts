/** Guards against retries of all boxes together that exceed the budget of their service, and against a budget that is hardly used. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {RetryFleet, type RetryFleetShape} from '../../../development/harness/retry-fleet.js';
import {createRandom} from '../../../development/harness/seeded-random.js';

/** Histories of each size of a fleet; an environment variable sets more for a run by hand. */
const histories = Number(process.env.RETRY_HISTORIES ?? 40);
const firstSeed = Number(process.env.RETRY_SEED ?? 1);
/** Milliseconds of a history. */
const length = 45_000;
/** Mean milliseconds between two faults. */
const meanPause = 1500;
const window = 10_000;

/** Draws the next fault. */
function disturb(fleet: RetryFleet, draw: () => number): void {
	const {conditions} = fleet;
	const some = () => fleet.running.filter(() => draw() < 0.4);
	const [one] = some();
	const faults: ReadonlyArray<() => void> = [
		() => {
			const share = draw();
			conditions.failing = () => share;
		},
		() => {
			const failing = new Set(some());
			conditions.failing = box => failing.has(box) ? 0.95 : 0.05;
		},
		() => {
			for (const box of some()) {
				fleet.kill(box, draw() * 2000);
			}
		},
		() => {
			for (const box of fleet.running) {
				fleet.kill(box, 500);
			}
		},
		() => {
			for (const box of some()) {
				fleet.freeze(box, draw() * 6000);
			}
		},
		() => {
			const salt = draw();
			conditions.part = box => createRandom(Math.floor((salt * 1e6) + box))() < 0.4 ? 1 : 0;
		},
		() => {
			conditions.part = () => 0;
		},
		() => {
			conditions.load = draw() < 0.5 ? 0.05 : draw() * 4;
		},
		() => {
			conditions.lost = draw() < 0.5 ? 0 : draw() * 0.5;
		},
		() => {
			conditions.waiting = draw() * 0.8;
			conditions.silent = (1 - conditions.waiting) * draw();
		},
		() => {
			if (one !== undefined) {
				fleet.kill(one, Number.POSITIVE_INFINITY);
				fleet.add(one + 1000);
			}
		},
	];
	faults[Math.floor(draw() * faults.length)]!();
}

/** Plays one history with drawn faults. */
function play(boxes: number, seed: number): RetryFleet {
	const draw = createRandom(seed);
	const bound = {ratio: 0.2, slack: Math.floor(draw() * 3) * 30, window};
	const fleet = RetryFleet.create({boxes, rate: 5 * (100 ** draw()), bound}, seed);
	fleet.conditions.failing = () => 0.5;
	const end = fleet.clock.now + length;
	fleet.advance(12_000 * draw());
	while (fleet.clock.now < end) {
		disturb(fleet, draw);
		fleet.advance(-Math.log(1 - draw()) * meanPause);
	}

	return fleet;
}

for (const [boxes, share] of [[4, 1], [8, 1], [77, 0.1], [195, 0.05]] as const) {
	test(`retries of ${boxes} boxes never exceed the budget, however boxes restart, freeze, are cut off, added and removed`, () => {
		for (let seed = firstSeed; seed < firstSeed + Math.max(2, histories * share); seed++) {
			const {excess, retriedAt} = play(boxes, seed);
			assert.ok(excess === undefined || excess.excess <= 0, `seed ${seed}: ${JSON.stringify(excess)} of ${retriedAt.length} retries`);
		}
	});
}

for (const boxes of [4, 8]) {
	test(`retries of ${boxes} boxes never exceed the budget while all boxes restart six times within one window`, () => {
		for (const bound of [{ratio: 0, slack: 54, window}, {ratio: 0.2, slack: 54, window}]) {
			const fleet = RetryFleet.create({boxes, rate: 110, bound}, 3);
			fleet.advance(warmUp);
			fleet.conditions.failing = () => 0.95;
			for (let restart = 0; restart < 6; restart++) {
				fleet.advance(1200);
				for (const box of fleet.running) {
					fleet.kill(box, 300);
				}

				fleet.advance(400);
			}

			fleet.advance(window);
			assert.ok((fleet.excess?.excess ?? 0) <= 0, JSON.stringify(fleet.excess));
		}
	});
}

for (const smaller of [1, 3, 4]) {
	test(`retries of 8 boxes never exceed the budget while ${smaller} of them are cut off for a minute and join again`, () => {
		const fleet = RetryFleet.create({boxes: 8, rate: 110, bound: {ratio: 0, slack: 54, window}}, 3);
		fleet.advance(warmUp);
		fleet.conditions.failing = () => 0.95;
		fleet.conditions.part = box => box < smaller ? 1 : 0;
		fleet.advance(60_000);
		fleet.conditions.part = () => 0;
		fleet.advance(20_000);
		assert.ok((fleet.excess?.excess ?? 0) <= 0, JSON.stringify(fleet.excess));
	});
}

/** Milliseconds until counters of two whole windows exist. */
const warmUp = 25_000;

/** Retries as parts of those that are allowed in a window. */
type Spending = {
	/** Until the first one was denied; one if none was. */
	readonly beforeDenial: number;
	readonly inWindow: number;
	readonly denials: number;
};

/** Lets attempts fail for one window, after counters of two whole windows exist. */
function spend(shape: RetryFleetShape, failing: (box: number) => number, lostBoxes = 0): Spending {
	const fleet = RetryFleet.create(shape, 7);
	fleet.advance(warmUp);
	for (const box of fleet.running.slice(0, lostBoxes)) {
		fleet.kill(box, Number.POSITIVE_INFINITY);
	}

	const {allowed} = fleet;
	fleet.conditions.failing = failing;
	fleet.advance(window);
	const [deniedAt] = fleet.deniedAt;
	return {
		beforeDenial: deniedAt === undefined ? 1 : fleet.retriedAt.filter(at => at <= deniedAt).length / allowed,
		inWindow: fleet.retriedAt.length / allowed,
		denials: fleet.deniedAt.length,
	};
}

const everywhere = () => 0.9;
const atLastOf = (boxes: number) => (box: number) => box === boxes - 1 ? 1 : 0;
const shapesOf = (boxes: number) => [0, 54].map((slack): RetryFleetShape => ({boxes, rate: 110, bound: {ratio: 0.2, slack, window}}));

for (const boxes of [4, 8]) {
	test(`four fifths of the retry budget of ${boxes} boxes are used while attempts fail at all of them or at one`, () => {
		for (const shape of shapesOf(boxes)) {
			const spendings = [spend(shape, everywhere), spend(shape, atLastOf(boxes))];
			assert.ok(spendings.every(({inWindow, denials}) => inWindow >= 0.8 || denials === 0), JSON.stringify(spendings));
		}
	});
}

test('four fifths of the retry budget are spent before a retry is denied, at 4 to 195 boxes and with one box lost', () => {
	const results = [4, 8, 77, 195].flatMap(boxes => shapesOf(boxes).flatMap(shape => [
		spend(shape, everywhere), spend(shape, atLastOf(boxes)), spend(shape, everywhere, 1),
	].map(({beforeDenial}) => ({boxes, slack: shape.bound.slack, beforeDenial: Math.round(beforeDenial * 100) / 100}))));
	assert.deepEqual(results.filter(({beforeDenial}) => beforeDenial < 0.8), []);
});
