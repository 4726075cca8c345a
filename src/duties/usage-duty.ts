/**
 * Reports the usage of each window once, with counts that stand in the store before they are sent.
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

/** Milliseconds after a window's end at which it is reported where every box has been heard. */
const earliest = 1500;
/** Milliseconds after a window's end at which it is reported whatever has been heard. */
const latest = 4500;

/** Milliseconds by which boxes may differ in what they take for true time. */
const timeSpread = 500;

/** What the duty needs. */
export type UsageDutyServices = {
	readonly lease: DutyLease;
	readonly calls: DutyCalls;
	readonly counts: UsageCounts;
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns Milliseconds since 1970. */
	readonly trueTime: () => number;
	/** @returns Milliseconds. */
	readonly windowLength: () => number;
	/** @returns Milliseconds after a window's end at which a report is too late. */
	readonly delay: () => number;
	/** @returns Whether every box that is there was heard so many milliseconds ago or less. */
	readonly hasHeardAll: (within: number) => boolean;
};

/** The duty. */
export class UsageDuty {
	/**
	 * @param services - What it needs.
	 * @returns The duty.
	 */
	static create(services: UsageDutyServices): UsageDuty {
		return new UsageDuty(services);
	}

	/** The window that was last taken by the platform. */
	private taken: number | undefined;
	/** Windows from this one on were counted from their start by this box or told by others. */
	private readonly firstWindow: number;

	private constructor(private readonly services: UsageDutyServices) {
		this.firstWindow = Math.floor(services.trueTime() / services.windowLength());
	}

	/** @returns Does what is due; ends soon. */
	step(): Effect.Effect<void, StoreUnavailable | DutyTaken> {
		return Effect.suspend(() => {
			const standing = this.services.lease.known?.report;
			if (standing && this.taken !== standing.window && this.ageOf(standing.window) < this.services.delay()) {
				return this.send(undefined);
			}

			const due = this.dueWindow(standing?.window);
			return due === undefined ? Effect.void : this.send(due);
		});
	}

	/**
	 * @param record - A record that the store, which came back from a copy, holds of the duties.
	 * @returns The same without the windows whose reports it may have lost: counted anew they could differ.
	 */
	afterRestore(record: DutyRecord): DutyRecord {
		const {trueTime, windowLength} = this.services;
		const firstUndecided = Math.floor((trueTime() - earliest + timeSpread) / windowLength());
		return {...record, reportsFrom: Math.max(record.reportsFrom ?? 0, firstUndecided)};
	}

	/** Milliseconds since a window ended. */
	private ageOf(window: number): number {
		const {trueTime, windowLength} = this.services;
		return trueTime() - ((window + 1) * windowLength());
	}

	private dueWindow(last: number | undefined): number | undefined {
		const {trueTime, windowLength, delay, hasHeardAll} = this.services;
		const current = Math.floor(trueTime() / windowLength());
		const oldest = current - Math.ceil(delay() / windowLength());
		const next = Math.max(last === undefined ? this.firstWindow : last + 1, oldest, this.services.lease.known?.reportsFrom ?? 0);
		const age = this.ageOf(next);
		const isDue = age >= latest || (age >= earliest && hasHeardAll(age - 300));
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
					this.taken = report.window;
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
