/**
 * A replica of a service: its entry in the platform's list, and this box's view of its load and health.
 */
import type {Clock} from '../base/clock.js';

/** Entry of a replica in the list. */
export type ReplicaEntry = {
	/** ID of the replica, which stays the same when its process starts again. */
	readonly id: string;
	/** Start time in milliseconds since the epoch, by the replica's own clock; `undefined` if not given. */
	readonly bornAt: number | undefined;
	/** Version of the software that the replica runs; empty if not given. */
	readonly software: string;
	/** Revision of the list at which the entry last changed; increases. */
	readonly revision: number;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly dataCentre: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Whether the platform may reclaim the replica at short notice. */
	readonly isReclaimable: boolean;
	/** Milliseconds until the replica leaves, if known. */
	readonly leavesIn: number | undefined;
};

/** Load of a replica. */
export type ReplicaWork = {
	/** Requests in progress. */
	readonly requests: number;
	/** Prompt tokens of requests in progress whose response has not begun. */
	readonly unreadTokens: number;
};

/** Time of an event that lies an unknown time back. */
export const unknownTime = Number.NEGATIVE_INFINITY;

/** Milliseconds for which a replica is avoided after the first failure; doubles with each consecutive failure. */
const initialAvoidance = 300;
/**
 * Milliseconds for which a replica is avoided after its first garbled response. Overload may pass at once, but a replica that sends something else than responses
 * usually goes on, and each trial may lose a request that must not be repeated.
 */
const initialGarbledAvoidance = 2000;
/** Maximum milliseconds for which a replica is avoided. */
const maxAvoidance = 4000;
/** Weight of one sample in the moving averages of latency and errors. */
const meanWeight = 0.1;
/** Milliseconds without data from a replica with requests in progress after which it counts as silent; longer for slow replicas. */
const minSilence = 900;
/** Multiple of the mean latency that a slow replica may take without sending data. */
const silenceLatencyFactor = 5;
/** Milliseconds after which the load that another box reported is ignored, by default. */
const defaultWorkLifetime = 1000;

/** Load that another box reported, with the monotonic milliseconds at which the report expires. */
type PeerWork = ReplicaWork & {readonly until: number};
/** Key of the summed load of all other boxes, as an aggregator reports it. */
const allOthers = '';

/** One incarnation of a replica, as this box sees it. */
export class Replica {
	/**
	 * @param entry - Entry of the list.
	 * @param clock - Measures ages.
	 * @returns A replica without measurements.
	 */
	static create(entry: ReplicaEntry, clock: Clock): Replica {
		return new Replica(entry, clock);
	}

	/** Incarnation: the ID, with the start time if given. */
	readonly start: string;
	private own = {requests: 0, unreadTokens: 0};
	private readonly peers = new Map<string, PeerWork>();
	private failures = 0;
	private avoidedUntil = Number.NEGATIVE_INFINITY;
	private wasRefused = false;
	private errorMean = 0;
	private latencyMean = 0;
	private leavingSince: number | undefined;
	private missingSince: number | undefined;
	/** Monotonic milliseconds from which on the replica counts as leaving, unless its missing entry returns. */
	private usableUntil = Number.POSITIVE_INFINITY;
	private hasSuccessor = false;
	/** Monotonic milliseconds of the last data received, or of the first request after an idle time, whichever is later. */
	private lastActivityAt = 0;
	private lastDataAt = Number.NEGATIVE_INFINITY;

	private constructor(private listed: ReplicaEntry, private readonly clock: Clock) {
		const {id, bornAt} = listed;
		this.start = bornAt === undefined ? id : `${id}/${bornAt}`;
		this.leavingSince = listed.isDraining ? unknownTime : undefined;
	}

	/** Current entry of the list. */
	get entry(): ReplicaEntry {
		return this.listed;
	}

	/** Whether the replica gets no new requests. */
	get isLeaving(): boolean {
		return this.leavingSince !== undefined || this.clock.monotonic() >= this.usableUntil;
	}

	/** Whether a newer incarnation has replaced this one, whose process is gone. */
	get isReplaced(): boolean {
		return this.hasSuccessor;
	}

	/** Milliseconds since the replica began to leave, zero before. An entry that went missing for good counts from the time that it went missing. */
	get leavingFor(): number {
		const since = this.leavingSince ?? this.missingSince;
		return since === undefined || !this.isLeaving ? 0 : this.clock.monotonic() - since;
	}

	/** Milliseconds for which the entry has been missing while the replica stays in use; zero if it is listed. */
	get missingFor(): number {
		return this.missingSince === undefined ? 0 : this.clock.monotonic() - this.missingSince;
	}

	/** Whether the entry is missing while the replica stays in use. */
	get isMissing(): boolean {
		return this.missingSince !== undefined;
	}

	/** Whether the replica has requests of this box in progress and has sent no data for long. */
	get isSilent(): boolean {
		const allowed = Math.max(minSilence, this.latencyMean * silenceLatencyFactor);
		return this.own.requests > 0 && this.clock.monotonic() - this.lastActivityAt > allowed;
	}

	/** Monotonic milliseconds at which data was last received from the replica. */
	get lastAnsweredAt(): number {
		return this.lastDataAt;
	}

	/** Whether the replica is avoided for a while after a failure. */
	get isAvoided(): boolean {
		return this.clock.monotonic() < this.avoidedUntil;
	}

	/** Whether the replica is avoided because it refused a connection: the process is most likely gone, though its entry is still listed. */
	get refusesConnections(): boolean {
		return this.wasRefused && this.isAvoided;
	}

	/** Load caused by this box. */
	get ownWork(): ReplicaWork {
		return this.own;
	}

	/** Moving average of the share of requests that failed, 0 to 1. */
	get errorShare(): number {
		return this.errorMean;
	}

	/** Moving average of the milliseconds to the first byte of a response; zero before the first. */
	get latency(): number {
		return this.latencyMean;
	}

	/** Load caused by all boxes, as far as known. */
	get work(): ReplicaWork {
		const now = this.clock.monotonic();
		let {requests, unreadTokens} = this.own;
		for (const peer of this.peers.values()) {
			if (peer.until >= now) {
				requests += peer.requests;
				unreadTokens += peer.unreadTokens;
			}
		}

		return {requests, unreadTokens};
	}

	/** @param entry - Changed entry of the list. */
	update(entry: ReplicaEntry): void {
		if (entry.revision > this.listed.revision) {
			this.missingSince = undefined;
			this.usableUntil = Number.POSITIVE_INFINITY;
		}

		this.listed = entry;
		if (entry.isDraining) {
			this.markLeaving();
		}
	}

	/**
	 * Marks the replica as draining or removed.
	 *
	 * @param since - Monotonic milliseconds since when it has been leaving, {@link unknownTime} if unknown.
	 */
	markLeaving(since = this.clock.monotonic()): void {
		this.leavingSince ??= Math.min(since, this.missingSince ?? since);
	}

	/**
	 * Marks the entry as missing. The replica stays in use for now, since the entry may be written again.
	 *
	 * @param until - Monotonic milliseconds from which on the replica counts as leaving.
	 */
	markMissing(until: number): void {
		this.missingSince ??= this.clock.monotonic();
		this.usableUntil = until;
	}

	/** Marks the replica as replaced by a newer incarnation. */
	markReplaced(): void {
		this.hasSuccessor = true;
		this.markLeaving();
	}

	/** Records that data was received from the replica. */
	recordData(): void {
		this.lastActivityAt = this.clock.monotonic();
		this.lastDataAt = this.lastActivityAt;
	}

	/**
	 * @param peer - Name of another box.
	 * @param work - Load that it causes at this replica.
	 * @param lifetime - Milliseconds for which the report counts; spans several reports.
	 */
	setPeerWork(peer: string, work: ReplicaWork, lifetime = defaultWorkLifetime): void {
		this.peers.set(peer, {...work, until: this.clock.monotonic() + lifetime});
	}

	/**
	 * @param work - Summed load of all other boxes, as an aggregator reports it.
	 * @param lifetime - Milliseconds for which the report counts; spans several reports.
	 */
	setAggregateWork(work: ReplicaWork, lifetime = defaultWorkLifetime): void {
		this.peers.clear();
		this.peers.set(allOthers, {...work, until: this.clock.monotonic() + lifetime});
	}

	/** @param peer - Name of a box that no longer has requests at this replica. */
	clearPeerWork(peer: string): void {
		this.peers.delete(peer);
	}

	/** @param unreadTokens - Prompt tokens, not cached by the replica, of a request that is sent now. */
	begin(unreadTokens: number): void {
		if (this.own.requests === 0) {
			this.lastActivityAt = this.clock.monotonic();
		}

		this.own = {requests: this.own.requests + 1, unreadTokens: this.own.unreadTokens + unreadTokens};
	}

	/** @param unreadTokens - Prompt tokens that the replica has read. */
	recordRead(unreadTokens: number): void {
		this.own = {...this.own, unreadTokens: Math.max(0, this.own.unreadTokens - unreadTokens)};
	}

	/** Records that a request has ended. */
	end(): void {
		this.own = {...this.own, requests: Math.max(0, this.own.requests - 1)};
	}

	/**
	 * Records a response.
	 *
	 * @param latency - Milliseconds to the first byte.
	 * @param isError - Whether the replica failed the request.
	 */
	recordResponse(latency: number, isError: boolean): void {
		this.failures = 0;
		this.wasRefused = false;
		this.recordData();
		this.errorMean += ((isError ? 1 : 0) - this.errorMean) * meanWeight;
		this.latencyMean += (latency - this.latencyMean) * (this.latencyMean === 0 ? 1 : meanWeight);
	}

	/** Records a refused connection. */
	recordRefusedConnection(): void {
		this.recordFailure();
		this.wasRefused = true;
	}

	/** Records that the replica rejected a request as overloaded, or could not be reached. */
	recordFailure(): void {
		this.avoid(initialAvoidance);
	}

	/** Records a response that is garbled or exceeds a bound. */
	recordGarbled(): void {
		this.avoid(initialGarbledAvoidance);
	}

	private avoid(initial: number): void {
		this.wasRefused = false;
		this.failures++;
		const avoidance = Math.min(maxAvoidance, initial * (2 ** (this.failures - 1)));
		this.avoidedUntil = this.clock.monotonic() + (avoidance * (0.75 + (Math.random() / 2)));
	}
}
