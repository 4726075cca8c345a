/**
 * The time that replicas take to generate a token.
 */
import {pooledValue, quantileOf, type WeightedValue} from './weighted-quantile.js';

/** Milliseconds a token, without evidence. */
export const defaultTokenTime = 5;
/** Responses that are kept. */
const maxSamples = 64;

/** The token times of one service and software version. */
export class TokenTime {
	/** @returns A time without samples. */
	static create(): TokenTime {
		return new TokenTime();
	}

	private samples: readonly WeightedValue[] = [];
	private own: WeightedValue = {value: 0, weight: 0};
	private received = this.own;
	private pooled = this.own;

	/** Median of the times measured here, in milliseconds, with its weight. */
	get evidence(): WeightedValue {
		return this.own;
	}

	/** Time measured here or received. */
	get allEvidence(): WeightedValue {
		return this.pooled;
	}

	/** Expected milliseconds a token. */
	get current(): number {
		return this.pooled.weight > 0 ? this.pooled.value : defaultTokenTime;
	}

	/** @param time - Mean milliseconds between two tokens of a response. */
	learn(time: number): void {
		this.samples = [...this.samples, {value: time, weight: 1}].slice(-maxSamples);
		this.own = {value: quantileOf(this.samples, 0.5), weight: pooledValue(this.samples).weight};
		this.pooled = pooledValue([this.own, this.received]);
	}

	/** @param evidence - Time of other boxes, which replaces what was received before. */
	adopt(evidence: WeightedValue): void {
		this.received = evidence;
		this.pooled = pooledValue([this.own, this.received]);
	}

	/** @param factor - Factor from 0 to 1 by which the weight of all evidence falls. */
	fade(factor: number): void {
		this.samples = this.samples.map(({value, weight}) => ({value, weight: weight * factor}));
		this.own = {...this.own, weight: this.own.weight * factor};
		this.adopt({...this.received, weight: this.received.weight * factor});
	}
}
