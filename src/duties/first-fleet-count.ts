/**
 * Counts the replicas that a service had when the system first started.
 */
import type {Clock} from '../base/clock.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {DutyRecord, FirstFleet} from './duty-record.js';

/**
 * Milliseconds without a new replica after which the first fleet is counted: replicas list themselves in turn, and those
 * that are given up before never do.
 */
const settleTime = 2500;
/** Milliseconds after it was counted in which replicas of the first fleet may still list themselves. */
const lateListing = 10_000;

/** The count. */
export class FirstFleetCount {
	/**
	 * @param replicas - Those that are listed.
	 * @param clock - For the time in which they may list themselves.
	 * @returns A count that has not begun.
	 */
	static create(replicas: ReplicaDirectory, clock: Clock): FirstFleetCount {
		return new FirstFleetCount(replicas, clock);
	}

	/** Kept replicas of the first fleet that were listed, by service. */
	private readonly seen = new Map<string, ReadonlySet<string>>();
	/** Monotonic milliseconds until which it is counted; only who finds none counted counts it. */
	private countingUntil: number | undefined;

	private constructor(private readonly replicas: ReplicaDirectory, private readonly clock: Clock) {}

	/**
	 * @param record - What stands in the store.
	 * @returns Whether it may be counted: somebody has before, or no new replica lists itself any more.
	 */
	isDue(record: DutyRecord): boolean {
		return record.baseline.length > 0 || this.replicas.settledFor > settleTime;
	}

	/**
	 * Replicas of the first fleet may list themselves late; those that come later were ordered by somebody.
	 *
	 * @param record - What stands in the store.
	 * @param service - Name of a service.
	 * @returns Its first fleet.
	 */
	of({baseline}: DutyRecord, service: string): FirstFleet {
		const known = baseline.find(entry => entry.service === service);
		const now = this.clock.monotonic();
		this.countingUntil ??= known ? now : now + lateListing;
		if (now > this.countingUntil) {
			return known ?? {service, replicas: 0};
		}

		const listed = this.replicas.all.filter(({entry}) => entry.service === service && !entry.isReclaimable).map(({entry}) => entry.id);
		const seen = new Set([...this.seen.get(service) ?? [], ...listed]);
		this.seen.set(service, seen);
		return {...known, service, replicas: Math.max(known?.replicas ?? 0, seen.size)};
	}
}
