/**
 * The time that a replica takes to read a prompt, by its number of tokens.
 */
import {sumOf} from '../base/sum.js';

/** Tokens in a unit of the fit, so that the three terms are of similar size. */
const tokensPerUnit = 10_000;
/** Pivots below this are taken as zero: the sizes that were seen do not determine the terms. */
const minPivot = 1e-12;

/** A time that was measured for one size of prompt. */
export type CurvePoint = {
	readonly tokens: number;
	/** Milliseconds; positive. */
	readonly time: number;
	readonly weight: number;
};

/** A constant, a linear and a quadratic term, none of them negative. */
export class ReadingCurve {
	/**
	 * @param tokensPerMillisecond - Prompt tokens that a replica reads in a millisecond.
	 * @returns The curve of a replica that reads all prompts at one rate.
	 */
	static create(tokensPerMillisecond: number): ReadingCurve {
		return new ReadingCurve([0, tokensPerUnit / tokensPerMillisecond, 0]);
	}

	/**
	 * @param points - Measured times; at least one with a positive weight.
	 * @returns The curve with the least squares of relative errors. A point that waiting has raised changes it little, as the relative
	 * error of a curve below a point is at most 1.
	 */
	static fit(points: readonly CurvePoint[]): ReadingCurve {
		const equations = normalEquations(points);
		const fits = termSets
			.map(terms => solve(equations, terms))
			.filter(solution => solution.every(value => value >= 0 && Number.isFinite(value)))
			.map(solution => ({solution, residual: residualOf(equations, solution)}))
			.sort((left, right) => left.residual - right.residual);
		return new ReadingCurve(fits[0]?.solution ?? [0, 0, 0]);
	}

	private constructor(private readonly terms: readonly number[]) {}

	/**
	 * @param tokens - Prompt tokens to be read.
	 * @returns Expected milliseconds until the first event.
	 */
	timeFor(tokens: number): number {
		const units = tokens / tokensPerUnit;
		return this.terms[0]! + (units * (this.terms[1]! + (units * this.terms[2]!)));
	}
}

/** Combinations of terms that are not zero, by index. With three terms, all can be tried. */
const termSets: ReadonlyArray<readonly number[]> = [[0], [1], [2], [0, 1], [0, 2], [1, 2], [0, 1, 2]];

/** Sums of products of the powers of size, divided by the measured time. */
type Equations = {
	readonly matrix: ReadonlyArray<readonly number[]>;
	readonly sums: readonly number[];
};

function normalEquations(points: readonly CurvePoint[]): Equations {
	const rows = points.map(({tokens, time, weight}) => {
		const units = tokens / tokensPerUnit;
		return {weight, powers: [1 / time, units / time, (units ** 2) / time]};
	});
	const product = (left: number, right: number) => sumOf(rows.map(({weight, powers}) => weight * powers[left]! * powers[right]!));
	return {
		matrix: [0, 1, 2].map(left => [0, 1, 2].map(right => product(left, right))),
		sums: [0, 1, 2].map(term => sumOf(rows.map(({weight, powers}) => weight * powers[term]!))),
	};
}

/** The squared error of a solution, less a constant that is the same for all. */
function residualOf({matrix, sums}: Equations, solution: readonly number[]): number {
	const linear = sumOf(sums.map((sum, index) => sum * solution[index]!));
	const quadratic = sumOf(matrix.flatMap((row, left) => row.map((value, right) => value * solution[left]! * solution[right]!)));
	return quadratic - (2 * linear);
}

/** Gaussian elimination; the matrix is positive semidefinite, so that no rows need to be exchanged. */
function solve({matrix, sums}: Equations, terms: readonly number[]): readonly number[] {
	const rows = terms.map(left => [...terms.map(right => matrix[left]![right]!), sums[left]!]);
	for (const [pivot, pivotRow] of rows.entries()) {
		if (pivotRow[pivot]! < minPivot) {
			return [Number.NaN];
		}

		for (const [index, row] of rows.entries()) {
			const factor = index === pivot ? 0 : row[pivot]! / pivotRow[pivot]!;
			rows[index] = factor === 0 ? row : row.map((value, column) => value - (factor * pivotRow[column]!));
		}
	}

	const solution = [0, 0, 0];
	for (const [index, term] of terms.entries()) {
		solution[term] = rows[index]!.at(-1)! / rows[index]![index]!;
	}

	return solution;
}
