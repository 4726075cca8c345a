/**
 * Latency of a service as a linear function of the prompt tokens that a replica reads, fitted to recent answers.
 */

/** Weight that the past keeps with each answer. */
const decay = 0.98;
/** Answers before which nothing is predicted. */
const minAnswers = 8;
/** Multiple of the prediction above which a latency counts as that multiple: single outliers hardly change the fit. */
const maxRatio = 4;
/** Smallest prediction, in milliseconds. */
const minLatency = 1;

/** Predicts the latency of answers. */
export class LatencyModel {
	/** @returns A model without answers. */
	static create(): LatencyModel {
		return new LatencyModel();
	}

	private answers = 0;
	private weight = 0;
	private tokens = 0;
	private latency = 0;
	private tokensSquared = 0;
	private product = 0;

	private constructor() {
		// Use create().
	}

	/** Whether enough answers are known to predict others. */
	get isFitted(): boolean {
		return this.answers >= minAnswers;
	}

	/**
	 * @param tokens - Prompt tokens that the replica had to read.
	 * @param latency - Milliseconds to the first event of the answer.
	 */
	add(tokens: number, latency: number): void {
		const expected = this.expected(tokens);
		const clipped = expected === undefined ? latency : Math.min(latency, expected * maxRatio);
		this.answers++;
		this.weight = (this.weight * decay) + 1;
		this.tokens = (this.tokens * decay) + tokens;
		this.latency = (this.latency * decay) + clipped;
		this.tokensSquared = (this.tokensSquared * decay) + (tokens ** 2);
		this.product = (this.product * decay) + (tokens * clipped);
	}

	/**
	 * @param tokens - Prompt tokens that the replica has to read.
	 * @returns Milliseconds to the first event; `undefined` before enough answers are known.
	 */
	expected(tokens: number): number | undefined {
		if (!this.isFitted) {
			return undefined;
		}

		const meanTokens = this.tokens / this.weight;
		const meanLatency = this.latency / this.weight;
		const variance = (this.tokensSquared / this.weight) - (meanTokens ** 2);
		const covariance = (this.product / this.weight) - (meanTokens * meanLatency);
		const perToken = variance < 1 ? 0 : Math.max(0, Math.min(covariance / variance, meanLatency / Math.max(1, meanTokens)));
		return Math.max(minLatency, meanLatency + (perToken * (tokens - meanTokens)));
	}
}
