/**
 * Good and bad answers of the versions of a service, as this box sees them. An answer is bad if it fails, or takes several times as long as the old
 * version takes for a prompt of the same size. What a client or the loss of a replica ends is neither.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import {LatencyModel} from './latency-model.js';
import {isActive, type RolloutDirective} from './rollout-directive.js';
import {isSameOrder} from './rollout-order.js';
import type {RolloutView} from './rollout-view.js';
import type {PermitUse} from './trial-permits.js';

/** Multiple of the expected latency from which on an answer is slow. */
const slowFactor = 2.5;
/** Milliseconds above the expected latency below which no answer is slow. */
const minSlowMargin = 30;
/** Milliseconds of a stream after its first event from which on it counts as good, unless it fails later. */
const settleTime = 300;

/** Answers of both versions on one route. */
export type RouteEvidence = {
	readonly route: string;
	/** Answers of the target version. */
	readonly good: number;
	readonly bad: number;
	/** Answers of the other versions in the same time. */
	readonly oldGood: number;
	readonly oldBad: number;
};

/** What one box knows of a rollout. */
export type EvidenceReport = PermitUse & {
	readonly service: string;
	readonly target: string;
	readonly duration: number;
	/** Requests at the target version whose outcome is not known yet. */
	readonly pending: number;
	/** Requests in progress at versions that the target replaces. */
	readonly remaining: number;
	/** Requests sent to any version since the order. */
	readonly arrivals: number;
	/** Whether the box knows how long answers usually take, so that it can judge those of the target version. */
	readonly canCompare: boolean;
	readonly routes: readonly RouteEvidence[];
};

/** An attempt to observe. */
export type ObservedAttempt = {
	readonly service: string;
	readonly route: string;
	readonly software: string;
	/** Prompt tokens that the replica has to read. */
	readonly tokens: number;
};

/** Dependencies of the evidence. */
export type EvidenceServices = {
	readonly clock: Clock;
	readonly view: RolloutView;
	/** @returns Requests of this box in progress at replicas of a service that the condition selects. */
	readonly inProgress: (service: string, isSelected: (software: string) => boolean) => number;
	/** Called when there is new evidence for the owner of the rollout. */
	readonly onEvidence: () => void;
};

type MutableEvidence = {-readonly [Key in keyof Omit<RouteEvidence, 'route'>]: number};

/** Evidence on one order. */
type OrderEvidence = {
	readonly directive: RolloutDirective;
	readonly routes: Map<string, MutableEvidence>;
	arrivals: number;
	pending: number;
};

/** Outcome of an observed answer. */
type AnswerQuality = 'good' | 'bad';

/** Observes the answers of the versions of all services. */
export class VersionEvidence {
	/**
	 * @param services - Dependencies.
	 * @returns Evidence without answers.
	 */
	static create(services: EvidenceServices): VersionEvidence {
		return new VersionEvidence(services);
	}

	private readonly models = new Map<string, LatencyModel>();
	private readonly byService = new Map<string, OrderEvidence>();

	private constructor(private readonly services: EvidenceServices) {}

	/** Reports on all rollouts that have not ended. */
	get reports(): readonly EvidenceReport[] {
		const {view, inProgress} = this.services;
		return view.all.filter(directive => isActive(directive)).map(directive => {
			const {service, target, duration, replaced} = directive;
			const evidence = this.evidenceFor(directive);
			const isReplaced = (software: string) => replaced.length === 0 ? software !== target : replaced.includes(software);
			return {
				service,
				target,
				duration,
				...view.permitUse(service),
				pending: evidence.pending,
				remaining: inProgress(service, isReplaced),
				arrivals: evidence.arrivals,
				canCompare: this.canCompare(service),
				routes: [...evidence.routes].map(([route, counts]) => ({route, ...counts})),
			};
		});
	}

	/**
	 * @param service - Name of a service.
	 * @returns Whether this box knows how long its answers usually take.
	 */
	canCompare(service: string): boolean {
		return this.models.get(service)?.isFitted === true;
	}

	/**
	 * @param attempt - A request that is sent now.
	 * @returns Records its answer; `undefined` if the deployment has no rollouts.
	 */
	observe(attempt: ObservedAttempt): AnswerObservation | undefined {
		if (!this.services.view.isEnabled) {
			return undefined;
		}

		const directive = this.services.view.of(attempt.service);
		const evidence = directive && isActive(directive) ? this.evidenceFor(directive) : undefined;
		const isTarget = evidence !== undefined && attempt.software === directive!.target;
		// No answers of the old version show any more what is usual at the load of the moment.
		const isAlone = isTarget && directive!.phase === 'shift' && directive!.share >= 1;
		if (evidence) {
			evidence.arrivals++;
			evidence.pending += isTarget ? 1 : 0;
		}

		const model = getOrCreate(this.models, attempt.service, () => LatencyModel.create());
		return AnswerObservation.create({
			clock: this.services.clock,
			expected: isAlone ? undefined : model.expected(attempt.tokens),
			isAlone,
			isTarget,
			recordLatency(latency) {
				if (!isTarget) {
					model.add(attempt.tokens, latency);
				}
			},
			record: (quality, change) => {
				if (evidence) {
					this.count(evidence, attempt.route, {isTarget, quality, change});
				}

				if (isTarget && quality === 'bad') {
					this.services.onEvidence();
				}
			},
			recordEnd: () => {
				if (!isTarget) {
					return;
				}

				evidence.pending--;
				// While the traffic shifts there is much good evidence, which the regular rounds report.
				if (directive!.phase === 'trial') {
					this.services.onEvidence();
				}
			},
		});
	}

	private count({routes}: OrderEvidence, route: string, {isTarget, quality, change}: {readonly isTarget: boolean; readonly quality: AnswerQuality; readonly change: number}): void {
		const counts = getOrCreate(routes, route, () => ({
			good: 0, bad: 0, oldGood: 0, oldBad: 0,
		}));
		const key = isTarget ? quality : ({good: 'oldGood', bad: 'oldBad'} as const)[quality];
		counts[key] += change;
	}

	private evidenceFor(directive: RolloutDirective): OrderEvidence {
		const known = this.byService.get(directive.service);
		if (known && isSameOrder(known.directive, directive)) {
			return known;
		}

		const evidence: OrderEvidence = {
			directive, routes: new Map(), arrivals: 0, pending: 0,
		};
		this.byService.set(directive.service, evidence);
		return evidence;
	}
}

/** Dependencies of an observation. */
type ObservationServices = {
	readonly clock: Clock;
	/** Expected milliseconds to the first event; `undefined` if unknown. */
	readonly expected: number | undefined;
	readonly isTarget: boolean;
	/** Whether only failures are judged. */
	readonly isAlone: boolean;
	readonly recordLatency: (latency: number) => void;
	/** Counts an answer, or takes a count back. */
	readonly record: (quality: AnswerQuality, change: 1 | -1) => void;
	/** Called once when the outcome is known. */
	readonly recordEnd: () => void;
};

/** The observation of one answer. */
export class AnswerObservation {
	/**
	 * @param services - Dependencies.
	 * @returns An observation of a request that is sent now.
	 */
	static create(services: ObservationServices): AnswerObservation {
		return new AnswerObservation(services);
	}

	private readonly sentAt: number;
	private startedAt: number | undefined;
	private quality: AnswerQuality | undefined;
	private isEnded = false;
	private readonly timer: NodeJS.Timeout | undefined;

	private constructor(private readonly services: ObservationServices) {
		this.sentAt = services.clock.monotonic();
		// A slow answer of the target version is known to be bad before it begins.
		if (services.isTarget && this.maxLatency !== undefined) {
			this.timer = setTimeout(() => {
				this.resolve('bad');
			}, this.maxLatency);
		}
	}

	/** Records the first byte of an answer that is no error. */
	recordStart(): void {
		if (this.startedAt !== undefined) {
			return;
		}

		clearTimeout(this.timer);
		this.startedAt = this.services.clock.monotonic();
		const latency = this.startedAt - this.sentAt;
		if (this.maxLatency !== undefined && latency > this.maxLatency) {
			this.resolve('bad');
		}

		this.services.recordLatency(latency);
	}

	/** Records data of a stream. */
	recordProgress(): void {
		if (this.startedAt !== undefined && this.services.clock.monotonic() - this.startedAt >= settleTime) {
			this.resolve('good');
		}
	}

	/** Records that the answer is complete. */
	recordCompletion(): void {
		this.resolve('good');
	}

	/** Records that the version failed the request, also in the middle of a stream. */
	recordFailure(): void {
		if (this.quality === 'good') {
			this.quality = 'bad';
			if (this.canBeCompared) {
				this.services.record('good', -1);
				this.services.record('bad', 1);
			}

			return;
		}

		this.resolve('bad');
	}

	/** Ends the observation: an answer without an outcome by now says nothing about the version, unless it is late already. */
	close(): void {
		clearTimeout(this.timer);
		const isLate = this.startedAt === undefined && this.maxLatency !== undefined && this.services.clock.monotonic() - this.sentAt > this.maxLatency;
		if (isLate) {
			this.resolve('bad');
		}

		this.end();
	}

	/** Without a latency to compare with, an answer of the target version may be slow; to count only those that fail would make a good version look bad. */
	private get canBeCompared(): boolean {
		return !this.services.isTarget || this.services.isAlone || this.maxLatency !== undefined;
	}

	private get maxLatency(): number | undefined {
		const {expected} = this.services;
		return expected === undefined ? undefined : Math.max(expected * slowFactor, expected + minSlowMargin);
	}

	private resolve(quality: AnswerQuality): void {
		if (this.quality !== undefined || this.isEnded) {
			return;
		}

		this.quality = quality;
		if (this.canBeCompared) {
			this.services.record(quality, 1);
		}

		this.end();
	}

	private end(): void {
		if (!this.isEnded) {
			this.isEnded = true;
			this.services.recordEnd();
		}
	}
}
