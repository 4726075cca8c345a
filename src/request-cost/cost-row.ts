/**
 * Evidence of the cost of requests in messages between boxes, as rows without field names.
 */
import {Buffer} from 'node:buffer';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type {CostEvidence} from './cost-evidence.js';
import {classCount} from './reading-model.js';

/** Maximum size of a row in bytes of JSON. */
export const maxRowBytes = 200;
/** Maximum of times, tokens and weights; more than any request has. */
const maxAmount = 10_000_000;
/** Significant digits of times and tokens. */
const valueDigits = 3;
/** Significant digits of weights. */
const weightDigits = 2;

const Amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0), Schema.isLessThanOrEqualTo(maxAmount));
/** Route, weight, median and 0.9 quantile of the output tokens, weight of hints. */
const LengthRow = Schema.Tuple([Schema.String, Amount, Amount, Amount, Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0), Schema.isLessThanOrEqualTo(1))]);
/** Route, weight, mean and 0.9 quantile of the durations of plain calls in milliseconds. */
const PlainRow = Schema.Tuple([Schema.String, Amount, Amount, Amount]);
/** Weights of the size classes; milliseconds of the classes; weight and milliseconds of a token. */
const ModelFields = Schema.Tuple([Schema.Array(Amount), Schema.Array(Amount), Amount, Amount]);
/** Service, version, age of the evidence in milliseconds, reading and generating, routes. */
const CostRowLayout = Schema.Tuple([Schema.String, Schema.String, Amount, ModelFields, Schema.Array(Schema.Union([LengthRow, PlainRow]))]);

/** Evidence of one service in a message. */
export type CostRow = typeof CostRowLayout.Type;
type RouteRow = CostRow[4][number];

const decodeRow = Schema.decodeUnknownOption(CostRowLayout);

/**
 * @param evidence - Evidence.
 * @returns Its row of at most {@link maxRowBytes} with as many routes as fit, those with the most evidence first; `undefined` if the names
 * alone are too long.
 */
export function toCostRow({service, software, age, reading, tokenTime, lengths, plain}: CostEvidence): CostRow | undefined {
	const fields: CostRow[3] = [
		reading.map(({weight}) => rounded(weight, weightDigits)),
		reading.map(({value}) => rounded(value, valueDigits)),
		rounded(tokenTime.weight, weightDigits),
		rounded(tokenTime.value, valueDigits),
	];
	const routes = [
		...[...lengths].map(([route, one]): RouteRow => [...figures(route, one), rounded(one.hintWeight, weightDigits)]),
		...[...plain].map(([route, one]): RouteRow => figures(route, one)),
	].filter(row => row[1] > 0).sort((left, right) => right[1] - left[1]);
	const toRow = (count: number): CostRow => [service, software, Math.min(maxAmount, Math.round(age)), fields, routes.slice(0, count)];
	const counts = Array.from({length: routes.length + 1}, (_, index) => routes.length - index);
	return counts.map(count => toRow(count)).find(row => Buffer.byteLength(JSON.stringify(row)) <= maxRowBytes);
}

/**
 * @param row - What another box sent.
 * @returns The evidence; `undefined` if the row is malformed, or contains a figure that is negative, not finite or impossible.
 */
export function fromCostRow(row: unknown): CostEvidence | undefined {
	const decoded = Option.getOrUndefined(decodeRow(row));
	if (decoded === undefined || !isPlausible(decoded)) {
		return undefined;
	}

	const [service, software, age, [weights, times, tokenWeight, tokenTime], routes] = decoded;
	return {
		service, software, age,
		reading: weights.map((weight, index) => ({weight, value: times[index]!})),
		tokenTime: {weight: tokenWeight, value: tokenTime},
		lengths: new Map(routes.flatMap(one => one.length === 5
			? [[one[0], {
				weight: one[1], middle: one[2], high: one[3], hintWeight: one[4],
			}]]
			: [])),
		plain: new Map(routes.flatMap(one => one.length === 4 ? [[one[0], {weight: one[1], middle: one[2], high: one[3]}]] : [])),
	};
}

/** Whether there is a positive figure for each weight. */
function isPlausible(row: CostRow): boolean {
	const [weights, times, tokenWeight, tokenTime] = row[3];
	return weights.length === classCount && times.length === classCount
		&& weights.every((weight, index) => weight === 0 || times[index]! > 0)
		&& (tokenWeight === 0 || tokenTime > 0)
		&& row[4].every(([, weight, middle, high]) => weight === 0 || (middle > 0 && high > 0));
}

const figures = (route: string, {weight, middle, high}: {readonly weight: number; readonly middle: number; readonly high: number}): [string, number, number, number] =>
	[route, rounded(weight, weightDigits), rounded(middle, valueDigits), rounded(high, valueDigits)];

const rounded = (value: number, digits: number): number => Number(Math.min(maxAmount, value).toPrecision(digits));
