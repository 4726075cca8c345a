/**
 * Correlation of two quantities that are measured in pairs.
 */

/** Pairs below which no correlation is measured. */
const minPairs = 30;
/** Pairs over which the correlation is averaged, so that it follows a change of the replicas' behaviour. */
const memory = 1000;
const retention = 1 - (1 / memory);
/** Standard errors below which a correlation is noise: without correlation, 30 pairs often give 0.2. */
const minStandardErrors = 3;
/** Variance below which a quantity counts as constant, for which no correlation is defined. */
const minVariance = 1e-9;

/** Sums over pairs, in which older pairs count less. */
type PairSums = {
	readonly weight: number;
	readonly first: number;
	readonly second: number;
	readonly firstSquare: number;
	readonly secondSquare: number;
	readonly product: number;
};

/** Measures the correlation of pairs; recent pairs count more. */
export class PairCorrelation {
	/** @returns A correlation without pairs. */
	static create(): PairCorrelation {
		return new PairCorrelation();
	}

	private count = 0;
	private sums: PairSums = {
		weight: 0, first: 0, second: 0, firstSquare: 0, secondSquare: 0, product: 0,
	};

	private measured = 0;

	private constructor() {
		// Made by create().
	}

	/** Whether there are enough pairs. */
	get isMeasured(): boolean {
		return this.count >= minPairs;
	}

	/** The correlation, from 0 to 1; 0 if it is negative, not significant, or measured with fewer than 30 pairs. */
	get value(): number {
		return this.measured;
	}

	/**
	 * @param first - First quantity of a pair.
	 * @param second - Second quantity of the pair.
	 */
	add(first: number, second: number): void {
		const {sums} = this;
		this.count++;
		this.sums = {
			weight: (sums.weight * retention) + 1,
			first: (sums.first * retention) + first,
			second: (sums.second * retention) + second,
			firstSquare: (sums.firstSquare * retention) + (first ** 2),
			secondSquare: (sums.secondSquare * retention) + (second ** 2),
			product: (sums.product * retention) + (first * second),
		};
		this.measured = this.measure();
	}

	private measure(): number {
		const {weight, first, second, firstSquare, secondSquare, product} = this.sums;
		const firstVariance = (firstSquare / weight) - ((first / weight) ** 2);
		const secondVariance = (secondSquare / weight) - ((second / weight) ** 2);
		if (this.count < minPairs || Math.min(firstVariance, secondVariance) < minVariance) {
			return 0;
		}

		const covariance = (product / weight) - (first * second / (weight ** 2));
		const correlation = covariance / Math.sqrt(firstVariance * secondVariance);
		return correlation * Math.sqrt(weight) < minStandardErrors ? 0 : Math.min(1, correlation);
	}
}
