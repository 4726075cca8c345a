/** Measures how often the sequential tests are wrong. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../../../development/harness/seeded-random.js';
import {
	badSuspicion, expectedBadPart, isShownGood, updatedSuspicion, type Tally,
} from '../sequential-test.js';

const histories = 100_000;
/** Answers of the target version that a history has at most. */
const answers = 300;
/** Answers of the old version for each answer of the target version. */
const oldAnswers = 9;

type Verdict = 'good' | 'bad' | 'open';

/** Answers of the target version, one after the other, beside those of the old one. */
class History {
	private target: Tally = {good: 0, bad: 0};
	private old: Tally = {good: 0, bad: 0};
	private suspicion = 0;
	private count = 0;

	constructor(private readonly random: () => number, private readonly usualPart: number, private readonly badPart: number) {}

	/** @returns Verdict of the sequential tests, and the answers that it took. */
	run(): {readonly verdict: Verdict; readonly answers: number} {
		while (this.count < answers) {
			this.count++;
			const isBad = this.random() < this.badPart;
			const added = isBad ? {good: 0, bad: 1} : {good: 1, bad: 0};
			this.target = {good: this.target.good + added.good, bad: this.target.bad + added.bad};
			const oldBad = Array.from({length: oldAnswers}).filter(() => this.random() < this.usualPart).length;
			this.old = {good: this.old.good + oldAnswers - oldBad, bad: this.old.bad + oldBad};
			const expected = expectedBadPart(this.old);
			this.suspicion = updatedSuspicion(this.suspicion, added, expected);
			if (this.suspicion >= badSuspicion) {
				return {verdict: 'bad', answers: this.count};
			}

			if (isShownGood(this.target, expected)) {
				return {verdict: 'good', answers: this.count};
			}
		}

		return {verdict: 'open', answers: this.count};
	}
}

function runAll(count: number, seed: number, partsOf: (random: () => number) => {readonly usual: number; readonly bad: number}): ReadonlyArray<ReturnType<History['run']>> {
	const random = createRandom(seed);
	return Array.from({length: count}, () => {
		const {usual, bad} = partsOf(random);
		return new History(random, usual, bad).run();
	});
}

test('a version that becomes bad after many good answers is found as soon as one that was bad from the start', () => {
	const expected = expectedBadPart({good: 500, bad: 0});
	const badAnswers = (before: number) => {
		let suspicion = updatedSuspicion(0, {good: before, bad: 0}, expected);
		let count = 0;
		while (suspicion < badSuspicion) {
			suspicion = updatedSuspicion(suspicion, {good: 0, bad: 1}, expected);
			count++;
		}

		return count;
	};

	assert.equal(badAnswers(300), badAnswers(0));
	assert.ok(badAnswers(300) <= 10);
});

test('no good version is taken for bad in 100,000 drawn histories', context => {
	const results = runAll(histories, 1, random => {
		const usual = random() * 0.15;
		return {usual, bad: usual};
	});
	const wrong = results.filter(({verdict}) => verdict === 'bad').length;
	context.diagnostic(`${wrong} taken for bad, ${results.filter(({verdict}) => verdict === 'open').length} not decided`);
	assert.equal(wrong, 0);
});

test('no version that fails 40 % of its answers or more is taken for good in 100,000 drawn histories', context => {
	const results = runAll(histories, 2, random => {
		const usual = random() * 0.15;
		return {usual, bad: Math.min(1, usual + 0.4 + (random() * 0.6))};
	});
	const wrong = results.filter(({verdict}) => verdict !== 'bad');
	const counts = results.map(one => one.answers).sort((left, right) => left - right);
	context.diagnostic(`${wrong.length} not found; ${counts[Math.floor(histories / 2)]!} answers in the median, ${counts[Math.floor(histories * 0.99)]!} in the 99th percentile`);
	assert.equal(wrong.length, 0);
});
