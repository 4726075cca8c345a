/**
 * All replicas this machine knows of. One that was seen draining or gone never becomes ready again.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {Replica, type ReplicaEntry} from './replica.js';

/** Milliseconds for which the ids of replicas that left are kept and told to peers. */
const departureMemory = 10_000;

/** Called with a replica that has gone. */
export type ReplicaListener = (replica: Replica) => void;

/** The replicas. */
export class ReplicaDirectory {
	/**
	 * @param clock - For ages.
	 * @param log - Where changes are told.
	 * @returns A directory that knows of none.
	 */
	static create(clock: Clock, log: EventLog): ReplicaDirectory {
		return new ReplicaDirectory(clock, log);
	}

	private readonly replicas = new Map<string, Replica>();
	private readonly departures = new Map<string, number>();
	private readonly goneListeners: ReplicaListener[] = [];
	private known = false;
	private lastListedAt: number;

	private constructor(private readonly clock: Clock, private readonly log: EventLog) {
		this.lastListedAt = clock.monotonic();
	}

	/** Whether a list has been read. */
	get isKnown(): boolean {
		return this.known;
	}

	/** Milliseconds since a replica was last listed for the first time. */
	get settledFor(): number {
		return this.clock.monotonic() - this.lastListedAt;
	}

	/** All that are listed. */
	get all(): readonly Replica[] {
		return [...this.replicas.values()];
	}

	/** Ids of those that began to leave lately. */
	get departed(): readonly string[] {
		const since = this.clock.monotonic() - departureMemory;
		for (const [id, at] of this.departures) {
			if (at < since) {
				this.departures.delete(id);
			}
		}

		return [...this.departures.keys()];
	}

	/** @param listener - Called with a replica that is listed no longer. */
	onDidGo(listener: ReplicaListener): void {
		this.goneListeners.push(listener);
	}

	/**
	 * @param service - Name of a service.
	 * @returns Its replicas that may get work.
	 */
	ready(service: string): readonly Replica[] {
		return this.all.filter(replica => replica.entry.service === service && !replica.isLeaving);
	}

	/**
	 * @param id - Id of a replica.
	 * @returns The replica; `undefined` where it is not listed.
	 */
	find(id: string): Replica | undefined {
		return this.replicas.get(id);
	}

	/** @param entries - All that are listed now. */
	replaceAll(entries: readonly ReplicaEntry[]): void {
		const listed = new Set(entries.map(({id}) => id));
		for (const id of this.replicas.keys()) {
			if (!listed.has(id)) {
				this.remove(id);
			}
		}

		for (const entry of entries) {
			this.put(entry);
		}

		this.known = true;
	}

	/** @param entry - A replica that is new or has changed. */
	put(entry: ReplicaEntry): void {
		const replica = this.replicas.get(entry.id);
		if (replica) {
			const wasLeaving = replica.isLeaving;
			replica.update(entry);
			if (!wasLeaving && replica.isLeaving) {
				this.noteDeparture(entry.id, 'list');
			}

			return;
		}

		const added = Replica.create(entry, this.clock);
		if (this.departures.has(entry.id)) {
			added.leave();
		}

		this.replicas.set(entry.id, added);
		this.lastListedAt = this.clock.monotonic();
		this.log.write('replicaListed', {
			replica: entry.id, service: entry.service, zone: entry.zone, address: `${entry.host}:${entry.port}`, isDraining: entry.isDraining,
		});
	}

	/** @param id - Id of a replica that is listed no longer. */
	remove(id: string): void {
		const replica = this.replicas.get(id);
		if (!replica) {
			return;
		}

		this.replicas.delete(id);
		replica.leave();
		this.noteDeparture(id, 'list');
		this.log.write('replicaGone', {replica: id, service: replica.entry.service});
		for (const listener of this.goneListeners) {
			listener(replica);
		}
	}

	/**
	 * Notes what somebody else knows: a replica is draining or gone.
	 *
	 * @param id - Id of the replica.
	 * @param source - Who said so.
	 */
	noteLeaving(id: string, source: 'peer' | 'replica'): void {
		const replica = this.replicas.get(id);
		if (replica && !replica.isLeaving) {
			replica.leave();
			this.noteDeparture(id, source);
		} else if (!replica && source === 'peer' && !this.departures.has(id)) {
			this.departures.set(id, this.clock.monotonic());
		}
	}

	private noteDeparture(id: string, source: string): void {
		if (!this.departures.has(id)) {
			this.log.write('replicaLeaving', {replica: id, source});
		}

		this.departures.set(id, this.clock.monotonic());
	}
}
