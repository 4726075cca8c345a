/**
 * Estimates how fast the replicas of a service read prompts, from the read rates of single requests.
 */

/** Quantile of the samples that is used as the read rate: lower samples come from requests that shared the replica with others. */
const quantile = 0.95;
/** Minimum fraction of the read rate by which one sample may move it. */
const minStep = 0.03;
/** Maximum fraction by which one sample may move the read rate. The first samples move it more, since the very first may have been queued. */
const maxStep = 0.08;
/** Samples that are needed for a read rate. */
const minSamples = 20;

/** The estimate for one service. */
export class ReadRateEstimate {
	/** @returns An estimate without samples. */
	static create(): ReadRateEstimate {
		return new ReadRateEstimate();
	}

	private samples = 0;
	private estimate = 0;

	/** Prompt tokens that a replica reads in a second beside its other work; zero without enough samples. */
	get rate(): number {
		return this.samples < minSamples ? 0 : this.estimate;
	}

	/** @param rate - Read rate of one request, in prompt tokens a second. */
	addSample(rate: number): void {
		this.samples++;
		const step = Math.min(maxStep, Math.max(minStep, 1 / this.samples));
		this.estimate = this.estimate === 0 ? rate : this.estimate * (1 + (step * (rate > this.estimate ? quantile : quantile - 1)));
	}

	/**
	 * Replaces the estimate by one of a box that receives the samples of all boxes.
	 *
	 * @param rate - Prompt tokens a second; zero if that box does not know it either.
	 */
	adopt(rate: number): void {
		if (rate > 0) {
			this.estimate = rate;
			this.samples = Math.max(this.samples, minSamples);
		}
	}
}
