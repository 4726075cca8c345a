/**
 * Rates of rows as they travel between boxes: pairs of a row's place in the table and a rate. Names would be
 * most of the message. Only boxes with the same version of the table understand each other's.
 */
import type {CeilingDemand} from './ceiling-grant.js';

/** Rates are rounded down to this part of a unit, so that what was granted is never passed. */
const precision = 100;

/**
 * @param rates - Rates by name.
 * @param rowNames - Names of all rows of the table, in its order.
 * @returns Places and rates in turn.
 */
export function encodeRates(rates: readonly CeilingDemand[], rowNames: readonly string[]): readonly number[] {
	const places = new Map(rowNames.map((name, place) => [name, place]));
	return rates.flatMap(({row, rate}) => {
		const place = places.get(row);
		return place === undefined ? [] : [place, Math.floor(rate * precision) / precision];
	});
}

/**
 * @param encoded - Places and rates in turn.
 * @param rowNames - Names of all rows of the same table, in its order.
 * @returns Rates by name.
 */
export function decodeRates(encoded: readonly number[], rowNames: readonly string[]): readonly CeilingDemand[] {
	return encoded.flatMap((place, index) => {
		const row = index % 2 === 0 ? rowNames[place] : undefined;
		return row === undefined ? [] : [{row, rate: encoded[index + 1] ?? 0}];
	});
}
