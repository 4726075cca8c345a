/**
 * Reports the usage of each window once. The counts of a report are written to the store before it is sent.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {sumOf} from '../base/sum.js';
import type {StoreUnavailable} from '../follow/metadata-store.js';
import type {DutyCalls} from './duty-calls.js';
import type {DutyLease, DutyTaken} from './duty-lease.js';
import type {DutyRecord} from './duty-record.js';
import type {UsageCounts} from './usage-counts.js';

/** Milliseconds after the end of a window before it is reported, if gossip from every box has arrived. */
const minReportAge = 1500;
/** Milliseconds after the end of a window at which it is reported even if gossip from some boxes is missing. */
const maxReportAge = 4500;

/** Largest difference between the clocks of two boxes, in milliseconds. */
const maxClockSkew = 500;

/** Dependencies of the duty. */
export type UsageDutyServices = {
	readonly lease: DutyLease;
	readonly calls: DutyCalls;
	readonly counts: UsageCounts;
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns Milliseconds since 1970, on the clock that the boxes share. */
	readonly trueTime: () => number;
	/** @returns Length of a window in milliseconds. */
	readonly windowLength: () => number;
	/** @returns Milliseconds after the end of a window at which a report is too late. */
	readonly delay: () => number;
	/** @returns Whether gossip arrived from every known box within the given milliseconds. */
	readonly hasGossipFromAll: (within: number) => boolean;
};

/** Reports usage to the platform. */
export class UsageDuty {
	/**
	 * @param services - Dependencies.
	 * @returns The duty.
	 */
	static create(services: UsageDutyServices): UsageDuty {
		return new UsageDuty(services);
	}

	/** The last window whose report the platform has accepted. */
	private lastReported: number | undefined;
	/** The window in which this process started; without a previous report, the counts of earlier windows may be incomplete. */
	private readonly firstWindow: number;

	private constructor(private readonly services: UsageDutyServices) {
		this.firstWindow = Math.floor(services.trueTime() / services.windowLength());
	}

	/** @returns Sends the report that is due, if any. */
	step(): Effect.Effect<void, StoreUnavailable | DutyTaken> {
		return Effect.suspend(() => {
			const decided = this.services.lease.known?.report;
			if (decided && this.lastReported !== decided.window && this.ageOf(decided.window) < this.services.delay()) {
				return this.send(undefined);
			}

			const due = this.dueWindow(decided?.window);
			return due === undefined ? Effect.void : this.send(due);
		});
	}

	/**
	 * @param record - The record of the duties after the store was restored from a backup.
	 * @returns The record with `reportsFrom` after the windows whose reports the store may have lost. These are not
	 * reported again, since their counts could differ.
	 */
	afterRestore(record: DutyRecord): DutyRecord {
		const {trueTime, windowLength} = this.services;
		const firstUndecided = Math.floor((trueTime() - minReportAge + maxClockSkew) / windowLength());
		return {...record, reportsFrom: Math.max(record.reportsFrom ?? 0, firstUndecided)};
	}

	/** Milliseconds since a window ended. */
	private ageOf(window: number): number {
		const {trueTime, windowLength} = this.services;
		return trueTime() - ((window + 1) * windowLength());
	}

	private dueWindow(last: number | undefined): number | undefined {
		const {trueTime, windowLength, delay, hasGossipFromAll} = this.services;
		const current = Math.floor(trueTime() / windowLength());
		const oldest = current - Math.ceil(delay() / windowLength());
		const next = Math.max(last === undefined ? this.firstWindow : last + 1, oldest, this.services.lease.known?.reportsFrom ?? 0);
		const age = this.ageOf(next);
		// Gossip from every box must have arrived at least 300 ms after the end of the window.
		const isDue = age >= maxReportAge || (age >= minReportAge && hasGossipFromAll(age - 300));
		return isDue && age < delay() ? next : undefined;
	}

	private send(window: number | undefined): Effect.Effect<void, StoreUnavailable | DutyTaken> {
		const {lease, calls, counts, log} = this.services;
		return Effect.gen({self: this}, function * () {
			const permit = yield * lease.decide(record => window === undefined ? record : {...record, report: counts.total(window)});
			const {report} = permit.record;
			if (!report || !permit.isValid()) {
				return;
			}

			yield * calls.reportUsage(permit.signer, report).pipe(
				Effect.map(() => {
					this.lastReported = report.window;
					log.write('usageReported', {window: report.window, fence: permit.signer.fence, requests: sumOf(report.counts.map(([, requests]) => requests))});
				}),
				Effect.catchTag('DutyRefusal', ({reason, detail}) => Effect.sync(() => {
					log.write('dutyCallFailed', {
						duty: 'usage', window: report.window, reason, detail,
					});
					if (reason === 'conflict') {
						lease.giveUp(detail);
					}
				})),
			);
		});
	}
}
