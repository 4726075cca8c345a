/**
 * Knows which software versions have served a service for as long as a stream lasts.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Replica} from './replica.js';
import type {ReplicaDirectory} from './replica-directory.js';

/** Milliseconds for which a version counts after its last replica was removed; longer than a stream and its continuations take. */
const retention = 60_000;

/** The versions that one box has seen. */
export class ServiceVersions {
	/**
	 * @param replicas - The listed replicas.
	 * @param clock - Measures ages.
	 * @returns The versions, starting with those that are listed.
	 */
	static create(replicas: ReplicaDirectory, clock: Clock): ServiceVersions {
		return new ServiceVersions(replicas, clock);
	}

	/** For each service, the monotonic milliseconds at which a replica of each version was last removed. */
	private readonly removedAt = new Map<string, Map<string, number>>();
	private readonly startedAt: number;

	private constructor(private readonly replicas: ReplicaDirectory, private readonly clock: Clock) {
		this.startedAt = clock.monotonic();
		replicas.onDidRemove(({entry: {service, software}}: Replica) => {
			getOrCreate(this.removedAt, service, () => new Map<string, number>()).set(software, clock.monotonic());
		});
	}

	/** Whether this process has run for as long as a stream lasts, so that it has seen all versions that began one. */
	get isCertain(): boolean {
		return this.clock.ageOf(this.startedAt) >= retention;
	}

	/**
	 * @param service - Name of a service.
	 * @returns Whether replicas of several versions have served it.
	 */
	areSeveral(service: string): boolean {
		return this.of(service).size > 1;
	}

	/**
	 * @param service - Name of a service.
	 * @returns The only version that has served it; `undefined` if there are several, or none.
	 */
	only(service: string): string | undefined {
		const versions = this.of(service);
		return versions.size === 1 ? [...versions][0] : undefined;
	}

	/**
	 * @param service - Name of a service.
	 * @returns The versions that have served it.
	 */
	of(service: string): ReadonlySet<string> {
		const since = this.clock.monotonic() - retention;
		const removed = [...this.removedAt.get(service) ?? []].filter(([, at]) => at >= since).map(([software]) => software);
		return new Set([...this.replicas.all.filter(({entry}) => entry.service === service).map(({entry}) => entry.software), ...removed]);
	}
}
