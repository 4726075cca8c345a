/**
 * What this box knows of the load reports of one incarnation of a replica.
 */
import {FrozenFigures} from './frozen-figures.js';
import type {ReportSource} from './load-update.js';
import type {StatedLoad} from './stated-load.js';

/** A report, with the time at which the replica made it. */
export type TimedReport = {
	readonly load: StatedLoad;
	/** Monotonic milliseconds. */
	readonly at: number;
	readonly source: ReportSource;
};

/** Weight of one request in the moving average of the ratio of observed to predicted duration. */
const ratioWeight = 0.1;
/** Multiple of the service's median above which a ratio is not counted in full, so that a single request does not take away all trust. */
const maxRelativeRatio = 10;

/** The load reports of one incarnation of a replica. */
export class ReplicaReport {
	/**
	 * @param service - Name of the replica's service.
	 * @returns The state of a replica without reports.
	 */
	static create(service: string): ReplicaReport {
		return new ReplicaReport(service);
	}

	private newestReport: TimedReport | undefined;
	private ownReport: TimedReport | undefined;
	private unreadableAt = Number.NEGATIVE_INFINITY;
	private ratioMean: number | undefined;
	private readonly figures = FrozenFigures.create();
	/** Monotonic milliseconds of the first and the last report of the present slow phase; `undefined` outside of one. */
	private slow: {readonly since: number; readonly until: number} | undefined;

	private constructor(readonly service: string) {}

	/** The newest report; `undefined` if there is none. */
	get newest(): TimedReport | undefined {
		return this.newestReport;
	}

	/** The newest report that this box received from the replica itself; `undefined` if there is none. */
	get own(): TimedReport | undefined {
		return this.ownReport;
	}

	/** Moving average of the ratio of observed to predicted duration; `undefined` before the first. */
	get ratio(): number | undefined {
		return this.ratioMean;
	}

	/** Whether the newest report can be used: its figures do not stand still, and no unreadable report came after it. */
	get isCredible(): boolean {
		return this.newestReport !== undefined && this.newestReport.at > this.unreadableAt && !this.figures.isFrozen;
	}

	/**
	 * Records a report of a response of the replica.
	 *
	 * @param load - The load.
	 * @param at - Monotonic milliseconds of the response.
	 * @param ownRequests - Requests of this box in progress there; `undefined` if unknown.
	 */
	recordOwn(load: StatedLoad, at: number, ownRequests: number | undefined): void {
		this.ownReport = {load, at, source: 'answer'};
		this.newestReport = this.ownReport;
		this.unreadableAt = Number.NEGATIVE_INFINITY;
		if (ownRequests !== undefined) {
			this.figures.record(load, ownRequests);
		}
	}

	/** @param report - A report that another box sent, newer than the one known. */
	recordOther(report: TimedReport): void {
		this.newestReport = report;
	}

	/**
	 * Records a pace of the replica, of whatever source.
	 *
	 * @param isSlow - Whether it is slower than usual.
	 * @param at - Monotonic milliseconds at which the replica stated it.
	 * @returns Milliseconds of the slow phase that it ends; `undefined` if it ends none. A phase ends halfway between its last report and the next one.
	 */
	recordPhase(isSlow: boolean, at: number): number | undefined {
		if (isSlow) {
			this.slow = {since: this.slow?.since ?? at, until: at};
			return undefined;
		}

		const {slow} = this;
		this.slow = undefined;
		return slow && at > slow.until ? ((slow.until + at) / 2) - slow.since : undefined;
	}

	/** @param at - Monotonic milliseconds of a response with an unreadable report. */
	recordUnreadable(at: number): void {
		this.unreadableAt = at;
	}

	/**
	 * Records how long a request took. The average starts at the median, so that one request does not decide alone.
	 *
	 * @param ratio - Ratio of observed to predicted duration.
	 * @param median - Median of the ratios of the service; `undefined` if no replica has one.
	 */
	recordRatio(ratio: number, median: number | undefined): void {
		const counted = median === undefined ? ratio : Math.min(ratio, median * maxRelativeRatio);
		const mean = this.ratioMean ?? median ?? counted;
		this.ratioMean = mean + ((counted - mean) * ratioWeight);
	}
}
