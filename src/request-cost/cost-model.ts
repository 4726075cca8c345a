/**
 * Predicts the cost of the requests of one service and software version.
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import {weakened, type CostEvidence} from './cost-evidence.js';
import {fromCostRow, toCostRow, type CostRow} from './cost-row.js';
import {OutputLengths} from './output-lengths.js';
import {PlainTimes} from './plain-times.js';
import {defaultCurve, ReadingModel} from './reading-model.js';
import type {
	ConvertedWork, Observation, ReportedWork, RequestCost, RequestShape,
} from './request-shape.js';
import {RequestSizes} from './request-sizes.js';
import {SampledAge} from './sampled-age.js';
import {SpeedChange} from './speed-change.js';
import {defaultTokenTime, TokenTime} from './token-time.js';

/** Milliseconds without evidence within which the distance to the constants halves. */
const halfLife = 30_000;
/** Milliseconds of a plain call, without evidence. */
const defaultPlainTime = 40;
/** The 0.9 quantile of a plain call in milliseconds, without evidence: that of an exponential distribution with the usual mean. */
const defaultPlainHigh = 92;
/** Part of the maximum of output tokens that is expected, without evidence. */
const defaultOutputShare = 0.5;
/** Part of the weight of a model that the next version starts with. */
const inheritedWeight = 0.25;
/** Part of its weight that a model keeps when replicas have become faster or slower. */
const weightAfterChange = 0.1;
/** Milliseconds after a change of speed in which the evidence of other boxes is ignored: they notice the change at other times. */
const settleTime = 5000;
/** Least weight of an observation for the detection of a change; lighter ones had to wait. */
const minChangeWeight = 0.5;
/** Weight of one request in the error. */
const errorWeight = 0.02;
/** Freshness above which the fading of the weights is left to a later observation. */
const minFade = 0.98;
/** Freshness below which evidence is not sent. */
const minSentFreshness = 0.05;
/** Routes for which lengths and durations are kept; those seen first are evicted. */
const maxRoutes = 64;
/** Least milliseconds of a time that is learned. */
const minTime = 0.01;

/** The cost of the requests of one service and software version. */
export class CostModel {
	/**
	 * @param clock - Measures the age of the evidence.
	 * @param service - Name of the service.
	 * @param software - Software version of the replicas.
	 * @returns A model that knows only the constants.
	 */
	static create(clock: Clock, service: string, software: string): CostModel {
		return new CostModel(clock, service, software);
	}

	private readonly ages: SampledAge;
	private readonly reading = ReadingModel.create();
	private readonly tokenTime = TokenTime.create();
	private readonly sizes = RequestSizes.create();
	private readonly lengths = new Map<string, OutputLengths>();
	private readonly plain = new Map<string, PlainTimes>();
	private readonly change = SpeedChange.create();
	/** Monotonic milliseconds of the last evidence, and of the last request measured here. */
	private evidenceAt = Number.NEGATIVE_INFINITY;
	private learnedAt = Number.NEGATIVE_INFINITY;
	private changedAt = Number.NEGATIVE_INFINITY;
	private freshness = 0;
	/** Monotonic milliseconds for which the freshness was computed, unless the evidence has changed since. */
	private freshnessKnownAt: number | undefined;
	private errorSamples = 0;
	private errorMean = 0;

	private constructor(private readonly clock: Clock, private readonly service: string, private readonly software: string) {
		this.ages = SampledAge.create(clock);
	}

	/** Moving average of |ln(observed / expected)| of the whole duration of requests; zero before the first. */
	get error(): number {
		return this.errorMean;
	}

	/** Evidence measured at this box, as a row of at most 200 bytes of JSON; `undefined` if there is none from the last two minutes. */
	get summary(): CostRow | undefined {
		const {evidence} = this;
		return evidence && toCostRow(evidence);
	}

	/** Evidence measured at this box, which does not contain that of other boxes; `undefined` if there is none from the last two minutes. */
	get evidence(): CostEvidence | undefined {
		const age = this.ages.of(this.learnedAt);
		return freshnessAt(age) < minSentFreshness
			? undefined
			: {
				service: this.service, software: this.software, age, reading: this.reading.evidence, tokenTime: this.tokenTime.evidence,
				lengths: new Map([...this.lengths].map(([route, {evidence}]) => [route, evidence])),
				plain: new Map([...this.plain].map(([route, {evidence}]) => [route, evidence])),
			};
	}

	/**
	 * @param shape - A request.
	 * @param now - Monotonic milliseconds; a decision on many replicas reads the clock once, as a reading takes up to 0.2 microseconds.
	 * @returns Its expected cost at a replica that is otherwise idle.
	 */
	expect(shape: RequestShape, now = this.clock.monotonic()): RequestCost {
		// A decision passes the same time for each replica.
		if (now !== this.freshnessKnownAt) {
			this.freshness = freshnessAt(this.ages.of(this.evidenceAt, now));
			this.freshnessKnownAt = now;
		}

		const {freshness} = this;
		return shape.kind === 'plain' ? this.plainCost(shape, freshness) : this.modelCost(shape, freshness);
	}

	/**
	 * Records what a request took.
	 *
	 * @param shape - The request.
	 * @param observation - Its times and output. Times that are negative or not finite are ignored.
	 */
	learn(shape: RequestShape, observation: Observation): void {
		const {firstEvent, total, outputTokens} = observation;
		if (![firstEvent, total, outputTokens].every(value => Number.isFinite(value) && value >= 0) || total < firstEvent) {
			return;
		}

		const cost = this.expect(shape);
		this.recordError(total, cost);
		this.fade();
		const weight = this.weightOf(shape, cost, observation);
		if (shape.kind === 'plain') {
			this.timesOf(shape.route).learn(Math.max(minTime, total), weight);
		} else {
			this.learnModelRequest(shape, observation, weight);
		}

		this.sizes.record(shape, cost);
		this.learnedAt = this.clock.monotonic();
		this.setEvidenceAt(this.learnedAt);
	}

	/** @param row - A summary of another box, or of several; ignored if it is malformed. It replaces the one before. */
	adopt(row: unknown): void {
		const evidence = fromCostRow(row);
		if (evidence) {
			this.adoptEvidence(evidence);
		}
	}

	/** @param evidence - Evidence of other boxes, which replaces what was received before. */
	adoptEvidence(evidence: CostEvidence): void {
		const now = this.clock.monotonic();
		if (now - this.changedAt < settleTime) {
			return;
		}

		this.reading.adopt(evidence.reading);
		this.adoptRoutes(evidence);
		this.setEvidenceAt(Math.max(this.evidenceAt, now - evidence.age));
	}

	/** @param earlier - Model of the version before, of which this one takes a quarter of the weight. */
	inherit(earlier: CostModel): void {
		const evidence = weakened(earlier.allEvidence, inheritedWeight);
		this.reading.inherit(evidence.reading);
		this.adoptRoutes(evidence);
		this.setEvidenceAt(earlier.evidenceAt);
	}

	/**
	 * @param work - Work at a replica, as boxes report it.
	 * @returns The same work in milliseconds of reading and tokens of memory, by the mean of recent requests.
	 */
	convert(work: ReportedWork): ConvertedWork {
		return this.sizes.convert(work, this.reading.curve);
	}

	private setEvidenceAt(at: number): void {
		this.evidenceAt = at;
		this.freshnessKnownAt = undefined;
	}

	/** Evidence measured at this box or received. */
	private get allEvidence(): CostEvidence {
		return {
			service: this.service, software: this.software, age: this.ages.of(this.evidenceAt),
			reading: this.reading.allEvidence, tokenTime: this.tokenTime.allEvidence,
			lengths: new Map([...this.lengths].map(([route, {allEvidence}]) => [route, allEvidence])),
			plain: new Map([...this.plain].map(([route, {allEvidence}]) => [route, allEvidence])),
		};
	}

	private plainCost({route}: RequestShape, freshness: number): RequestCost {
		const known = this.plain.get(route)?.allEvidence;
		const share = known && known.weight > 0 ? freshness : 0;
		const mix = (value: number | undefined, usual: number) => share === 0 ? usual : (share * value!) + ((1 - share) * usual);
		return {
			reading: mix(known?.middle, defaultPlainTime), generating: 0, high: mix(known?.high, defaultPlainHigh), memory: 0,
		};
	}

	private modelCost({route, unreadTokens, outputTokens, hint}: RequestShape, freshness: number): RequestCost {
		const reading = mixed(freshness, this.reading.curve.timeFor(unreadTokens), defaultCurve.timeFor(unreadTokens));
		const tokenTime = mixed(freshness, this.tokenTime.current, defaultTokenTime);
		const known = this.lengths.get(route)?.expect(hint);
		const usual = outputTokens * defaultOutputShare;
		const output = known ? Math.min(outputTokens, mixed(freshness, known.middle, usual)) : usual;
		const high = known ? Math.min(outputTokens, mixed(freshness, known.high, outputTokens)) : outputTokens;
		return {
			reading, generating: output * tokenTime, high: reading + (high * tokenTime), memory: unreadTokens + output,
		};
	}

	private learnModelRequest({route, unreadTokens, hint}: RequestShape, {firstEvent, total, outputTokens}: Observation, weight: number): void {
		const time = Math.max(minTime, firstEvent);
		const expected = Math.max(minTime, this.reading.curve.timeFor(unreadTokens));
		this.reading.learn(unreadTokens, time, weight);
		if (outputTokens >= 1) {
			this.lengthsOf(route).learn(outputTokens, hint);
		}

		if (outputTokens > 1) {
			this.tokenTime.learn(Math.max(minTime, (total - firstEvent) / (outputTokens - 1)));
		}

		const factor = weight >= minChangeWeight ? this.change.record(time, expected) : undefined;
		if (factor !== undefined) {
			this.reading.rescale(factor, weightAfterChange);
			this.changedAt = this.clock.monotonic();
		}
	}

	/** A request that had to wait for known work counts by the part of the time that is its own. */
	private weightOf({unreadTokens}: RequestShape, {reading}: RequestCost, {concurrent, aheadTokens}: Observation): number {
		if (aheadTokens === undefined) {
			return 1 / (1 + Math.max(0, concurrent || 0));
		}

		const ahead = this.convert({requests: 0, unreadTokens: Math.max(0, aheadTokens || 0)}).reading;
		return unreadTokens === 0 && ahead === 0 ? 1 : Math.max(minTime, reading) / (Math.max(minTime, reading) + ahead);
	}

	private recordError(total: number, {reading, generating}: RequestCost): void {
		const error = Math.abs(Math.log(Math.max(minTime, total) / Math.max(minTime, reading + generating)));
		this.errorSamples++;
		this.errorMean += (error - this.errorMean) * Math.max(errorWeight, 1 / this.errorSamples);
	}

	/** Lowers the weight of evidence from before an idle time. */
	private fade(): void {
		const freshness = freshnessAt(this.ages.of(this.evidenceAt));
		if (freshness < minFade && this.evidenceAt !== Number.NEGATIVE_INFINITY) {
			for (const part of [this.reading, this.tokenTime, ...this.lengths.values(), ...this.plain.values()]) {
				part.fade(freshness);
			}
		}
	}

	private adoptRoutes({tokenTime, lengths, plain}: CostEvidence): void {
		this.tokenTime.adopt(tokenTime);
		for (const [route, evidence] of lengths) {
			this.lengthsOf(route).adopt(evidence);
		}

		for (const [route, evidence] of plain) {
			this.timesOf(route).adopt(evidence);
		}
	}

	private lengthsOf(route: string): OutputLengths {
		const lengths = getOrCreate(this.lengths, route, () => OutputLengths.create());
		evictOldest(this.lengths, maxRoutes);
		return lengths;
	}

	private timesOf(route: string): PlainTimes {
		const times = getOrCreate(this.plain, route, () => PlainTimes.create());
		evictOldest(this.plain, maxRoutes);
		return times;
	}
}

const freshnessAt = (age: number): number => 0.5 ** (age / halfLife);

/** @returns The known value as far as it is fresh, and the constant for the rest. */
const mixed = (freshness: number, known: number, usual: number): number => (freshness * known) + ((1 - freshness) * usual);
