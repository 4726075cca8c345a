/**
 * Encodes rates of rows for messages between boxes, as pairs of the index of a row in the table and a rate, since row names would make
 * up most of the message. Both boxes must have the same version of the table.
 */
import type {CeilingDemand} from './ceiling-grant.js';

/** Steps in a unit: rates are rounded down to 1/100 unit a second, so that the sum of the grants never exceeds the ceiling. */
const stepsPerUnit = 100;

/**
 * @param rates - Rates by name.
 * @param rowNames - Names of all rows of the table, in its order.
 * @returns Row indexes and rates, alternating.
 */
export function encodeRates(rates: readonly CeilingDemand[], rowNames: readonly string[]): readonly number[] {
	const rowIndexes = new Map(rowNames.map((name, rowIndex) => [name, rowIndex]));
	return rates.flatMap(({row, rate}) => {
		const rowIndex = rowIndexes.get(row);
		return rowIndex === undefined ? [] : [rowIndex, Math.floor(rate * stepsPerUnit) / stepsPerUnit];
	});
}

/**
 * @param encoded - Row indexes and rates, alternating.
 * @param rowNames - Names of all rows of the same table, in its order.
 * @returns Rates by name.
 */
export function decodeRates(encoded: readonly number[], rowNames: readonly string[]): readonly CeilingDemand[] {
	return encoded.flatMap((value, index) => {
		const row = index % 2 === 0 ? rowNames[value] : undefined;
		return row === undefined ? [] : [{row, rate: encoded[index + 1] ?? 0}];
	});
}
