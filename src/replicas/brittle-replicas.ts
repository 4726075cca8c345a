/**
 * Replicas that announce that they crash if they have to reject more than a few requests a second for lack of room. Boxes send to them only
 * as many requests at a time as they own places there, so that none is rejected.
 *
 * @remarks Source: docs/DESIGN.md, "Brittle replicas".
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import {rotatingSlice} from '../base/rotating-slice.js';
import {sumOf} from '../base/sum.js';
import type {RingRange} from './limit-slots.js';
import type {Replica} from './replica.js';
import {ReplicaLog} from './replica-log.js';
import {permitsOf} from './replica-permits.js';
import {recentWindow, type StatementSource} from './replica-statement.js';

/** Dependencies of the registry. */
export type BrittleReplicasServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** @returns This box's range of the places at the replicas of a service. */
	readonly slotRange: (service: string) => RingRange;
	/** @returns The listed replica of an incarnation. */
	readonly listed: (start: string) => Replica | undefined;
	/** @returns The replicas of a service that may get requests. */
	readonly ready: (service: string) => readonly Replica[];
	/** @returns Mean milliseconds that a request of a service spends at a replica. */
	readonly duration: (service: string) => number;
};

/** A statement as boxes send it to each other; the newest one of each replica applies. */
export type BrittleUpdate = {
	/** Incarnation of the replica. */
	readonly start: string;
	/** Rejections a second above which the replica crashes; `undefined` if it is no longer brittle. */
	readonly rejections: number | undefined;
	/** Milliseconds since the replica's response. */
	readonly age: number;
};

type KnownStatement = {
	readonly rejections: number | undefined;
	/** Monotonic milliseconds of the response; without a statement, the time at which its request was sent, since responses may overtake each other. */
	readonly at: number;
	readonly source: StatementSource;
	/** Monotonic milliseconds at which the statement last changed. */
	readonly changedAt: number;
};

/** Milliseconds for which a statement that is not repeated applies: a replica that gets no requests cannot take it back. */
const statementLifetime = 10_000;
/** Milliseconds after a change of this box's range in which it does not use the places that it gained: their last owner may still use them. */
const handoverTime = 1500;
/** Milliseconds between two looks at the range of this box. */
const rangeInterval = 100;
/** Milliseconds for which the brittle services are cached, since each choice of a replica asks. */
const cacheLifetime = 20;
/** Maximum replicas whose statements are kept. */
const maxStatements = 4096;
/** Milliseconds that a request is taken to last before any was measured. */
const defaultDuration = 50;

/** Registry of brittle replicas. */
export class BrittleReplicas {
	/**
	 * @param services - Its dependencies.
	 * @returns A registry without statements.
	 */
	static create(services: BrittleReplicasServices): BrittleReplicas {
		return new BrittleReplicas(services);
	}

	private readonly known = new Map<string, KnownStatement>();
	/** Ranges of this box by service, with the monotonic milliseconds at which each was last seen. */
	private readonly ranges = new Map<string, ReadonlyArray<{readonly range: RingRange; readonly at: number}>>();
	private readonly replicaLog: ReplicaLog;
	private cache: {readonly services: ReadonlySet<string>; readonly at: number} = {services: new Set(), at: Number.NEGATIVE_INFINITY};
	/** Increases with each message, so that successive messages include different updates. */
	private rotation = 0;

	private constructor(private readonly dependencies: BrittleReplicasServices) {
		this.replicaLog = ReplicaLog.create(dependencies.clock, dependencies.log);
	}

	/** Services of which a listed replica is brittle; the statement applies to all replicas of a service. */
	get services(): ReadonlySet<string> {
		const now = this.dependencies.clock.monotonic();
		if (this.known.size > 0 && now - this.cache.at >= cacheLifetime) {
			const current = [...this.known].filter(([, {rejections, at}]) => rejections !== undefined && now - at < statementLifetime);
			const services = current.map(([start]) => this.dependencies.listed(start)?.entry.service).filter(service => service !== undefined);
			this.cache = {services: new Set(services), at: now};
		}

		return this.cache.services;
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether its service has brittle replicas.
	 */
	isBrittle({entry: {service}}: Replica): boolean {
		return this.services.has(service);
	}

	/**
	 * @param replica - A replica.
	 * @returns Places that this box owns there; infinite if it is not brittle.
	 */
	permits(replica: Replica): number {
		return this.isBrittle(replica) ? permitsOf(replica.start, replica.entry.slots, this.recentRanges(replica.entry.service)) : Number.POSITIVE_INFINITY;
	}

	/**
	 * @param service - Name of a service.
	 * @returns Whether its replicas are brittle and this box owns no place at any of them; another box may.
	 */
	ownsNoPlace(service: string): boolean {
		return this.services.has(service) && this.dependencies.ready(service).every(replica => this.permits(replica) === 0);
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether this box may send it one more request.
	 */
	hasRoom(replica: Replica): boolean {
		return !this.isBrittle(replica) || replica.ownWork.requests < this.permits(replica);
	}

	/**
	 * @param replica - The replica of a request that counts as in progress already.
	 * @returns Whether the request may be sent.
	 */
	maySend(replica: Replica): boolean {
		return !this.isBrittle(replica) || replica.ownWork.requests <= this.permits(replica);
	}

	/**
	 * @param replica - A replica.
	 * @returns Requests a second that this box may send to the replica; infinite if it is not brittle.
	 */
	ownRate(replica: Replica): number {
		return this.permits(replica) * 1000 / this.durationOf(replica);
	}

	/**
	 * @param replicas - Replicas of one service.
	 * @param requestsAhead - Requests of this box that are queued ahead.
	 * @returns Mean milliseconds until this box may send to one of them; infinite if it owns no place at any that is brittle.
	 */
	timeUntilRoom(replicas: readonly Replica[], requestsAhead: number): number {
		const brittle = replicas.filter(replica => this.isBrittle(replica));
		const places = sumOf(brittle.map(replica => this.permits(replica)));
		return places === 0 ? Number.POSITIVE_INFINITY : (requestsAhead + 1) * this.durationOf(brittle[0]!) / places;
	}

	/**
	 * Records the statement of a response.
	 *
	 * @param replica - The replica that responded.
	 * @param rejections - Rejections a second above which it crashes; `undefined` if it does not say so.
	 * @param sentAt - Monotonic milliseconds at which the request was sent.
	 */
	recordResponse(replica: Replica, rejections: number | 'unreadable' | undefined, sentAt: number): void {
		if (rejections === 'unreadable') {
			this.replicaLog.write('replicaStatementUnreadable', replica, {statement: 'brittle'});
		} else if (rejections !== undefined || this.known.has(replica.start)) {
			this.apply(replica.start, {rejections, at: rejections === undefined ? sentAt : this.dependencies.clock.monotonic(), source: 'answer'});
		}
	}

	/**
	 * @param isWhole - Whether to include all statements, not only those that changed recently.
	 * @param sources - Sources of the statements to include.
	 * @param maxCount - Maximum number of statements.
	 * @returns Statements to send to other boxes.
	 */
	updates(isWhole: boolean, sources: readonly StatementSource[], maxCount: number): readonly BrittleUpdate[] {
		if (this.known.size === 0) {
			return [];
		}

		const now = this.dependencies.clock.monotonic();
		const eligible = [...this.known].filter(([, {at, source, changedAt}]) => now - at < statementLifetime && sources.includes(source)
			&& (isWhole || now - changedAt < recentWindow));
		this.rotation++;
		return rotatingSlice(eligible, maxCount, this.rotation).map(([start, {rejections, at}]) => ({start, rejections, age: Math.max(0, Math.round(now - at))}));
	}

	/**
	 * Merges a statement that another box sent.
	 *
	 * @param update - The statement.
	 * @param source - `box` if the sender received it from the replica itself, `digest` if an aggregator forwarded it.
	 */
	merge({start, rejections, age}: BrittleUpdate, source: StatementSource): void {
		if (rejections !== undefined || this.known.has(start)) {
			this.apply(start, {rejections, at: this.dependencies.clock.monotonic() - age, source});
		}
	}

	/** @param replica - A replica that was replaced by a newer incarnation. */
	forget(replica: Replica): void {
		this.known.delete(replica.start);
		this.replicaLog.forget(replica);
	}

	private apply(start: string, {rejections, at, source}: Omit<KnownStatement, 'changedAt'>): void {
		const known = this.known.get(start);
		if (known && known.at >= at) {
			return;
		}

		const now = this.dependencies.clock.monotonic();
		const isSame = known !== undefined && known.rejections === rejections;
		this.known.set(start, {
			rejections, at, source, changedAt: isSame ? known.changedAt : now,
		});
		evictOldest(this.known, maxStatements);
		const replica = this.dependencies.listed(start);
		if (replica && !isSame) {
			this.cache = {...this.cache, at: Number.NEGATIVE_INFINITY};
			this.replicaLog.write(rejections === undefined ? 'replicaBrittleEnded' : 'replicaBrittle', replica, {rejections, source, age: Math.round(now - at)});
		}
	}

	private durationOf({entry: {service}}: Replica): number {
		return this.dependencies.duration(service) || defaultDuration;
	}

	/** Ranges of this box in the last {@link handoverTime}. */
	private recentRanges(service: string): readonly RingRange[] {
		const now = this.dependencies.clock.monotonic();
		const seen = getOrCreate(this.ranges, service, () => []);
		const last = seen.at(-1);
		if (last && now - last.at < rangeInterval) {
			return seen.map(({range}) => range);
		}

		const range = this.dependencies.slotRange(service);
		const isSame = last?.range.from === range.from && last.range.length === range.length;
		const earlier = (isSame ? seen.slice(0, -1) : seen).filter(({at}) => now - at < handoverTime);
		const recent = [...earlier, {range, at: now}];
		this.ranges.set(service, recent);
		return recent.map(one => one.range);
	}
}
