/**
 * Mean sizes of the requests of a service, which convert counted work into milliseconds.
 */
import type {ReadingCurve} from './reading-curve.js';
import type {
	ConvertedWork, ReportedWork, RequestCost, RequestShape,
} from './request-shape.js';

/** Weight of one request in the means; averages over a few hundred requests, as rare long prompts dominate them. */
const meanWeight = 0.005;
/** Tokens of a prompt by whose reading time tokens are converted before the first request. */
const usualTokens = 4096;

/** The means of recent requests. */
export class RequestSizes {
	/** @returns Means without samples. */
	static create(): RequestSizes {
		return new RequestSizes();
	}

	private samples = 0;
	private means = {tokens: 0, reading: 0, memory: 0};

	/**
	 * @param shape - A request.
	 * @param cost - Its expected cost.
	 */
	record({unreadTokens}: RequestShape, {reading, memory}: RequestCost): void {
		this.samples++;
		const weight = Math.max(meanWeight, 1 / this.samples);
		const {means} = this;
		this.means = {
			tokens: means.tokens + ((unreadTokens - means.tokens) * weight),
			reading: means.reading + ((reading - means.reading) * weight),
			memory: means.memory + ((memory - means.memory) * weight),
		};
	}

	/**
	 * @param work - Counted work.
	 * @param curve - Reading times, used before the first request.
	 * @returns Milliseconds and memory. Requests of a service without prompts take the mean time each.
	 */
	convert({requests, unreadTokens}: ReportedWork, curve: ReadingCurve): ConvertedWork {
		const {tokens, reading, memory} = this.means;
		if (this.samples > 0 && tokens === 0) {
			return {reading: requests * reading, memory: 0};
		}

		const timePerToken = tokens > 0 ? reading / tokens : curve.timeFor(usualTokens) / usualTokens;
		return {reading: unreadTokens * timePerToken, memory: Math.max(unreadTokens, requests * memory)};
	}
}
