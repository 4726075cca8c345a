/**
 * Simulates fleets of 1 to 340 boxes and a replica that announces a limit, in virtual time with fixed seeds. From three seconds after the first announcement
 * on, the replica gets at most one and a half times the limit and five requests in any four seconds from boxes to which it had announced the limit half a
 * second before. It also gets most of the requests that the limit allows.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LimitFleet, type LimitFleetShape} from '../../../development/harness/limit-fleet.js';

/** Length in milliseconds of the spans in which requests are counted. */
const span = 4000;
/** Milliseconds from the first announcement after which all boxes must know the limit. */
const contactTime = 3000;
/** Time in milliseconds at which the limit is announced. */
const settledAt = 16_000;
/** Milliseconds for which requests are counted. */
const observationTime = 20_000;
/** @returns Requests allowed in a span, for a limit in requests per second. */
const allowedAt = (limit: number): number => (1.5 * limit * span / 1000) + 5;
/** Minimum part of the limit that is used when demand is sufficient: spread evenly over all boxes, or concentrated on one box in eight. */
const minUse = {even: 0.75, uneven: 0.5} as const;

/** @returns The maximum number of requests in a span, and the part of the limit that was used. */
function simulate(limit: number, shape: Omit<LimitFleetShape, 'limitAt' | 'seed'> & Partial<LimitFleetShape>): {readonly most: number; readonly use: number} {
	const fleet = LimitFleet.create({
		limitAt: now => now >= settledAt ? limit : undefined, seed: 36, ...shape,
	});
	fleet.advance(settledAt + contactTime + observationTime - fleet.now);
	const counted = fleet.arrivals.filter(at => at >= settledAt + contactTime);
	return {most: fleet.maxArrivalsWithin(span, settledAt + contactTime), use: counted.length / (limit * observationTime / 1000)};
}

const shapes = [1, 8, 12, 13, 87].flatMap(boxes => [1, 20].map(limit => ({boxes, limit})));

const extremes = [8, 87].flatMap(boxes => [0.5, 100].map(limit => ({boxes, limit})));

for (const {boxes, limit} of [...shapes, ...extremes, {boxes: 340, limit: 3}]) {
	test(`${boxes} boxes together keep to a limit of ${limit} per second, and use it`, () => {
		const {most, use} = simulate(limit, {boxes, demandOf: () => Math.max(2, limit * 6 / boxes)});
		assert.ok(most <= allowedAt(limit), `${most} in ${span} ms; ${allowedAt(limit)} allowed`);
		assert.ok(use >= minUse.even, `${use} of the limit is used`);
	});
}

for (const boxes of [8, 87]) {
	test(`${boxes} boxes of which a few have most of the demand leave little of the limit unused`, () => {
		const {most, use} = simulate(4, {boxes, demandOf: box => box % 8 === 0 ? 160 / boxes : 0.1});
		assert.ok(most <= allowedAt(4), `${most} in ${span} ms; ${allowedAt(4)} allowed`);
		assert.ok(use >= minUse.uneven, `${use} of the limit is used`);
	});

	test(`${boxes} boxes keep to the limit during a network partition into halves`, () => {
		const isHalf = (box: number) => box < boxes / 2;
		const {most} = simulate(2, {boxes, demandOf: () => 3, canReach: (left, right, now) => now < settledAt - 4000 || now > settledAt + 12_000 || isHalf(left) === isHalf(right)});
		assert.ok(most <= allowedAt(2), `${most} in ${span} ms; ${allowedAt(2)} allowed`);
	});

	test(`${boxes} boxes keep to the limit while a third of them restart`, () => {
		const {most} = simulate(1, {boxes, demandOf: () => 3, restartsAt: box => box % 3 === 0 ? settledAt + 5000 + (box * 200) : undefined});
		assert.ok(most <= allowedAt(1), `${most} in ${span} ms; ${allowedAt(1)} allowed`);
	});

	test(`${boxes} boxes keep to the limit although links delay some requests`, () => {
		const {most} = simulate(2, {boxes, demandOf: () => 3, networkDelay: random => random < 0.2 ? 700 : 2});
		assert.ok(most <= allowedAt(2), `${most} in ${span} ms; ${allowedAt(2)} allowed`);
	});
}

test('a replica with a limit of zero gets a trial request now and then, and one with a tiny limit gets no more than that', () => {
	for (const limit of [0, 1e-9]) {
		const fleet = LimitFleet.create({
			boxes: 8, demandOf: () => 10, limitAt: now => now >= settledAt ? limit : undefined, seed: 4,
		});
		fleet.advance(60_000);
		const counted = fleet.arrivals.filter(at => at >= settledAt + contactTime).length;
		assert.ok(counted >= 2 && counted <= 6, `${counted} requests in 50 s`);
	}
});

test('a limit of 1e308 restricts no box', () => {
	const fleet = LimitFleet.create({
		boxes: 8, demandOf: () => 10, limitAt: () => 1e308, seed: 5,
	});
	fleet.advance(20_000);
	assert.ok(fleet.arrivals.length > 8 * 10 * 15 * 0.8, `${fleet.arrivals.length} requests`);
});

test('when the limit changes with each response, boxes keep to the largest of them', () => {
	const {most} = simulate(4, {boxes: 8, demandOf: () => 10, limitAt: (now, answers) => now >= settledAt ? 1 + (answers % 4) : undefined});
	assert.ok(most <= allowedAt(4), `${most} in ${span} ms; ${allowedAt(4)} allowed`);
});

for (const boxes of [8, 87]) {
	test(`${boxes} boxes send requests as before soon after the limit has ended`, () => {
		const endsAt = settledAt + 8000;
		const fleet = LimitFleet.create({
			boxes, demandOf: () => 4, limitAt: now => now >= settledAt && now < endsAt ? 1 : undefined, seed: 7,
		});
		fleet.advance(endsAt + contactTime + 1000 - fleet.now);
		const before = fleet.arrivals.length;
		fleet.advance(4000);
		assert.ok(fleet.arrivals.length - before > boxes * 4 * 4 * 0.8, `${fleet.arrivals.length - before} requests in 4 s`);
	});
}
