/**
 * The newest load report of each replica, from its responses and from other boxes, and how far it can be relied on.
 *
 * @remarks Source: docs/design/scheduling.md, "Load reports of replicas".
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import {
	isPlausibleUpdate, maxUpdates, reportLifetime, type LoadUpdate, type ReportSource,
} from './load-update.js';
import {RatioMedians} from './ratio-medians.js';
import {ReplicaReport, type TimedReport} from './replica-report.js';
import {ServicePaces} from './service-paces.js';
import {
	isPlausibleLoad, isSameLoad, limitPace, unknownLoad, usualPace, type StatedLoad,
} from './stated-load.js';

/** A load report and its age. */
export type AgedLoad = {
	readonly load: StatedLoad;
	/** Milliseconds since the replica's response. */
	readonly age: number;
};

/** A moment, read once for a decision about many replicas. */
export type Moment = {
	/** Monotonic milliseconds. */
	readonly now: number;
	/** Monotonic milliseconds at which the machine may last have resumed from a suspension; the age of anything older is unknown. */
	readonly resumedAt: number;
};

/** Milliseconds after the last stated pace for which a service counts as one whose replicas state it. */
const statingLifetime = 10_000;
/** Milliseconds that a report needs to reach another box: the exchange takes 400 ms and more. */
const exchangeTime = 500;
/** Persistence of the pace below which a report is not sent, since it would say nothing when it arrives. */
const minPersistenceSent = 0.2;
/** Milliseconds by which a copy of a report may look newer than the report itself, since its age does not include the time that it travelled. */
const maxCopyAdvance = 200;
/** Difference from the mean pace from which on a replica counts as slow. */
const slowStep = 0.3;
/** Multiple of the median ratio of observed to predicted duration from which on a replica gets less trust. */
const fullTrustRatio = 2;
/** The multiple at which it gets none. */
const noTrustRatio = 4;
/** Maximum replicas whose reports are kept. */
const maxReplicas = 4096;
/** Maximum services whose paces are kept. */
const maxServices = 256;

/** Registry of load reports. */
export class LoadReports {
	/**
	 * @param clock - Dates the reports.
	 * @returns A registry without reports.
	 */
	static create(clock: Clock): LoadReports {
		return new LoadReports(clock);
	}

	/** Reports by incarnation of the replica, ordered by last use. */
	private readonly replicas = new Map<string, ReplicaReport>();
	/** Paces by service, ordered by last use. */
	private readonly services = new Map<string, ServicePaces>();
	private readonly medians = RatioMedians.create(service => {
		const {moment} = this;
		return [...this.replicas.values()].filter(known => known.service === service && ageAt(moment, known.newest) <= reportLifetime);
	});

	private constructor(private readonly clock: Clock) {}

	/** The present moment. */
	get moment(): Moment {
		const resumedAt = this.clock.lastResumedAt();
		return {now: this.clock.monotonic(), resumedAt};
	}

	/**
	 * Records a report that arrived now, with a response. One with impossible figures counts as unreadable.
	 *
	 * @param service - Name of the replica's service.
	 * @param start - Incarnation of the replica.
	 * @param load - The reported load.
	 * @param ownRequests - Requests of this box in progress at the replica, with which frozen figures are detected; `undefined` if unknown.
	 */
	record(service: string, start: string, load: StatedLoad, ownRequests?: number): void {
		if (!isPlausibleLoad(load)) {
			this.recordUnreadable(service, start);
			return;
		}

		const known = this.use(service, start);
		const {moment} = this;
		const {now} = moment;
		if (load.pace !== undefined) {
			const paces = this.usePaces(service);
			// Phases are counted by the news of all boxes; where a box sees enough itself, the correlation of pairs is measured.
			known.recordPhase(isSlow(paces, load.pace), now);
			paces.record(load.pace, now);
			if (known.own?.load.pace !== undefined) {
				paces.recordPair(known.own.load.pace, load.pace, ageAt(moment, known.own));
			}
		}

		known.recordOwn(load, now, ownRequests);
	}

	/**
	 * Records a pace that another box has just received and sent at once.
	 *
	 * @param service - Name of the replica's service.
	 * @param start - Incarnation of the replica.
	 * @param pace - The pace; one that is impossible is ignored.
	 */
	recordNews(service: string, start: string, pace: number): void {
		const {now} = this.moment;
		const known = this.use(service, start);
		const load = {...(known.newest?.load ?? unknownLoad), pace};
		if (isPlausibleLoad(load)) {
			const paces = this.usePaces(service);
			const phase = known.recordPhase(isSlow(paces, pace), now);
			paces.record(pace, now);
			if (phase !== undefined) {
				paces.recordPhase(phase);
			}

			known.recordOther({load, at: now, source: 'box'});
		}
	}

	/**
	 * Records a response with an unreadable report. The replica gets no trust until a readable report arrives.
	 *
	 * @param service - Name of the replica's service.
	 * @param start - Incarnation of the replica.
	 */
	recordUnreadable(service: string, start: string): void {
		this.use(service, start).recordUnreadable(this.clock.monotonic());
	}

	/**
	 * Records how long a request took, as evidence for or against the reports of its replica.
	 *
	 * @param start - Incarnation of the replica; ignored if it has no report.
	 * @param observed - Milliseconds from sending the request to the first byte.
	 * @param predicted - The same, as the reports promised it; more than 0.
	 */
	recordDuration(start: string, observed: number, predicted: number): void {
		const known = this.replicas.get(start);
		const ratio = observed / predicted;
		if (known && predicted > 0 && ratio >= 0 && Number.isFinite(ratio)) {
			known.recordRatio(ratio, this.medians.of(known.service, this.clock.monotonic()));
		}
	}

	/**
	 * @param start - Incarnation of a replica.
	 * @returns Its newest report; `undefined` if there is none or it is too old.
	 */
	latest(start: string): AgedLoad | undefined {
		const newest = this.replicas.get(start)?.newest;
		const age = ageAt(this.moment, newest);
		return newest && age <= reportLifetime ? {load: newest.load, age} : undefined;
	}

	/**
	 * @param start - Incarnation of a replica.
	 * @param moment - The present moment.
	 * @returns Expected duration of work that starts there now, in relation to the usual duration. A stated pace counts as far as it still holds at its age,
	 * and the mean of the service for the rest.
	 */
	pace(start: string, moment: Moment = this.moment): number {
		const known = this.replicas.get(start);
		const paces = known && this.services.get(known.service);
		if (!paces) {
			return usualPace;
		}

		const {mean} = paces;
		const last = known.newest?.load.pace;
		return last === undefined ? mean : mean + ((limitPace(last) - mean) * paces.persistence(ageAt(moment, known.newest)));
	}

	/**
	 * @param service - Name of a service.
	 * @returns Mean of the paces that its replicas state; 1 if they state none.
	 */
	meanPace(service: string): number {
		return this.services.get(service)?.mean ?? usualPace;
	}

	/**
	 * @param service - Name of a service.
	 * @param age - Milliseconds.
	 * @returns How far a pace of that age still holds, from 0 to 1.
	 */
	persistence(service: string, age: number): number {
		return this.services.get(service)?.persistence(age) ?? 0;
	}

	/**
	 * @param start - Incarnation of a replica.
	 * @param moment - The present moment.
	 * @returns How far its reports agree with the time that its requests take, from 0 to 1; 0 without a current report, or if the reports are frozen or
	 * unreadable.
	 */
	trust(start: string, moment: Moment = this.moment): number {
		const known = this.replicas.get(start);
		if (!known?.isCredible || ageAt(moment, known.newest) > reportLifetime) {
			return 0;
		}

		const {ratio} = known;
		const median = ratio === undefined ? undefined : this.medians.of(known.service, moment.now);
		const relative = ratio === undefined || median === undefined ? 1 : ratio / median;
		return Math.min(1, Math.max(0, (noTrustRatio - relative) / (noTrustRatio - fullTrustRatio)));
	}

	/**
	 * @param service - Name of a service.
	 * @returns Whether its replicas stated a pace in the last 10 s.
	 */
	states(service: string): boolean {
		const statedAt = this.services.get(service)?.statedAt;
		return statedAt !== undefined && this.clock.ageOf(statedAt) <= statingLifetime;
	}

	/**
	 * @param now - Monotonic milliseconds.
	 * @param maxCount - Maximum number of reports.
	 * @param sources - Sources of the reports to include.
	 * @returns Reports for other boxes, newest first: those whose pace will still hold to some extent when they arrive.
	 */
	updates(now: number, maxCount: number = maxUpdates.small, sources: readonly ReportSource[] = ['answer']): readonly LoadUpdate[] {
		const since = Math.max(now - reportLifetime, this.clock.lastResumedAt());
		return [...this.replicas]
			.flatMap(([start, {service, newest}]) => newest && newest.at > since && sources.includes(newest.source)
				? [{
					...newest.load, service, start, age: Math.max(0, Math.round(now - newest.at)),
				}]
				: [])
			.filter(({service, age}) => this.persistence(service, exchangeTime + age) >= minPersistenceSent)
			.sort((left, right) => left.age - right.age)
			.slice(0, maxCount);
	}

	/**
	 * Takes in reports of other boxes. Impossible ones, and ones that are not newer than the report known, are ignored.
	 *
	 * @param updates - The reports.
	 * @param source - `box` if the sender received them from the replicas itself, `digest` if an aggregator forwarded them.
	 */
	merge(updates: readonly LoadUpdate[], source: ReportSource = 'box'): void {
		const now = this.clock.monotonic();
		for (const update of updates.filter(one => isPlausibleUpdate(one))) {
			this.mergeOne(update, {at: now - update.age, source});
		}
	}

	/** @param start - Incarnation of a replica that is gone. */
	forget(start: string): void {
		this.replicas.delete(start);
	}

	private mergeOne({service, start, running, waiting, slots, pace}: LoadUpdate, {at, source}: Omit<TimedReport, 'load'>): void {
		const known = this.replicas.get(start);
		const report: TimedReport = {
			load: {
				running, waiting, slots, pace,
			}, at, source,
		};
		if (known && (known.service !== service || !isNewer(report, known.newest))) {
			return;
		}

		this.use(service, start).recordOther(report);
		if (pace !== undefined) {
			this.usePaces(service).record(pace, at);
		}
	}

	/** Returns the state of a replica, which then counts as used last. A replica that moved to another service starts anew. */
	private use(service: string, start: string): ReplicaReport {
		const existing = this.replicas.get(start);
		const known = existing?.service === service ? existing : ReplicaReport.create(service);
		this.replicas.delete(start);
		this.replicas.set(start, known);
		evictOldest(this.replicas, maxReplicas);
		return known;
	}

	private usePaces(service: string): ServicePaces {
		const paces = getOrCreate(this.services, service, () => ServicePaces.create());
		this.services.delete(service);
		this.services.set(service, paces);
		evictOldest(this.services, maxServices);
		return paces;
	}
}

const isSlow = ({mean}: ServicePaces, pace: number): boolean => pace >= mean + slowStep;

/** Milliseconds since a report; infinite without one, or if the machine was suspended in between. */
function ageAt({now, resumedAt}: Moment, report: TimedReport | undefined): number {
	return report && report.at > resumedAt ? now - report.at : Number.POSITIVE_INFINITY;
}

/** Whether a report of another box is newer than the one known, and not a copy of it. */
function isNewer(report: TimedReport, known: TimedReport | undefined): boolean {
	return known === undefined || report.at > known.at + (isSameLoad(report.load, known.load) ? maxCopyAdvance : 0);
}
