/**
 * Counts the replicas that a service had when the system first started (its first fleet).
 */
import type {Clock} from '../base/clock.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {DutyRecord, FirstFleet} from './duty-record.js';

/**
 * Milliseconds without a new replica after which the first fleet is counted. Replicas register one after another, and
 * replicas that are removed earlier never register.
 */
const settleTime = 2500;
/** Milliseconds after the first count during which replicas of the first fleet may still register. */
const lateRegistrationTime = 10_000;

/** Counts the first fleet of each service. */
export class FirstFleetCount {
	/**
	 * @param replicas - The registered replicas.
	 * @param clock - Measures the time in which they may register.
	 * @returns A counter that has not started.
	 */
	static create(replicas: ReplicaDirectory, clock: Clock): FirstFleetCount {
		return new FirstFleetCount(replicas, clock);
	}

	/** Ids of the non-reclaimable replicas that have registered, by service. */
	private readonly seen = new Map<string, ReadonlySet<string>>();
	/** Monotonic milliseconds until which this box counts; it does not count if the record already has a count. */
	private countingUntil: number | undefined;

	private constructor(private readonly replicas: ReplicaDirectory, private readonly clock: Clock) {}

	/**
	 * @param record - The record in the store.
	 * @returns Whether the count may be used: an earlier holder has counted, or no new replica has registered recently.
	 */
	isDue(record: DutyRecord): boolean {
		return record.baseline.length > 0 || this.replicas.timeSinceLastAdded > settleTime;
	}

	/**
	 * Replicas of the first fleet may register late. Replicas that register after that were ordered.
	 *
	 * @param record - The record in the store.
	 * @param service - Name of a service.
	 * @returns Its first fleet.
	 */
	of({baseline}: DutyRecord, service: string): FirstFleet {
		const known = baseline.find(entry => entry.service === service);
		const now = this.clock.monotonic();
		this.countingUntil ??= known ? now : now + lateRegistrationTime;
		if (now > this.countingUntil) {
			return known ?? {service, replicas: 0};
		}

		const listed = this.replicas.all.filter(({entry}) => entry.service === service && !entry.isReclaimable).map(({entry}) => entry.id);
		const seen = new Set([...this.seen.get(service) ?? [], ...listed]);
		this.seen.set(service, seen);
		return {...known, service, replicas: Math.max(known?.replicas ?? 0, seen.size)};
	}
}
