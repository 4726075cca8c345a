/**
 * Applies the statements that replicas make about themselves in their responses, and exchanges them with other boxes.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {rotatingSlice} from '../base/rotating-slice.js';
import type {BrittleReplicas} from './brittle-replicas.js';
import type {Replica} from './replica.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaLimits} from './replica-limits.js';
import {ReplicaLog} from './replica-log.js';
import {ReplicaPauses} from './replica-pauses.js';
import {
	recentWindow, type ReplicaStatement, type StatementSource, type StatementUpdate,
} from './replica-statement.js';
import type {LastingStatements} from './statement-record.js';

/** Dependencies of the statements. */
export type ReplicaStatementServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly limits: ReplicaLimits;
	readonly brittle: BrittleReplicas;
	readonly replicas: ReplicaDirectory;
};

/** Milliseconds above which a pause is logged as a warning, since the replica is unavailable for this long. */
const longPauseThreshold = 60_000;

/** Maximum number of statements of each kind that are saved in the store. */
const maxLasting = 1024;
/** Milliseconds by which statements that the store has precede the start of this process, at least. */
const minRestoredAge = 1000;

/** Statements of all replicas. */
export class ReplicaStatements {
	/**
	 * @param services - Dependencies.
	 * @returns A registry without statements.
	 */
	static create(services: ReplicaStatementServices): ReplicaStatements {
		return new ReplicaStatements(services);
	}

	private readonly replicaLog: ReplicaLog;
	private readonly pauses: ReplicaPauses;
	/** Increases with each message, so that successive messages include different updates. */
	private rotation = 0;
	private readonly startedAt: number;

	private constructor(private readonly services: ReplicaStatementServices) {
		this.startedAt = services.clock.monotonic();
		this.pauses = ReplicaPauses.create(services.clock);
		this.replicaLog = ReplicaLog.create(services.clock, services.log);
	}

	/**
	 * Records the statements of a response.
	 *
	 * @param replica - The replica that responded.
	 * @param statement - Its statements.
	 * @param sentAt - Monotonic milliseconds at which the request was sent.
	 */
	recordResponse(replica: Replica, {limit, brittle, isLeaving, pause}: ReplicaStatement, sentAt: number): void {
		this.services.brittle.recordResponse(replica, brittle, sentAt);
		this.services.limits.recordResponse(replica, limit, sentAt);
		this.recordLeaving(replica, isLeaving);
		this.recordPause(replica, pause);
	}

	/**
	 * @param isWhole - Whether to include all statements, not only those that changed recently.
	 * @param sources - Sources of the statements to include.
	 * @param maxCount - Maximum number of statements of each kind.
	 * @returns Statements to send to other boxes; `undefined` if there are none.
	 */
	updates(isWhole: boolean, sources: readonly StatementSource[], maxCount: number): readonly StatementUpdate[] | undefined {
		const {clock, limits, brittle, replicas} = this.services;
		const now = clock.monotonic();
		const since = now - (isWhole ? Number.POSITIVE_INFINITY : recentWindow);
		// Unlike other statements an announcement never ends, so that it may be sent on: the box that received it may restart.
		const announcements = replicas.announcements.filter(({at, source}) => at >= since && source !== 'digest');
		const leaving = announcements.map(({start, at}): StatementUpdate => ({
			start, kind: 'leaving', value: undefined, age: Math.round(now - at),
		}));
		const limited = (limits.updates(isWhole, sources, maxCount) ?? []).map(({start, limit, age}): StatementUpdate => ({
			start, kind: 'limit', value: limit, age,
		}));
		const brittleOnes = brittle.updates(isWhole, sources, maxCount).map(({start, rejections, age}): StatementUpdate => ({
			start, kind: 'brittle', value: rejections, age,
		}));
		const paused = sources.includes('answer') ? this.pauses.updates : [];
		const pauses = paused.map(({start, length, age}): StatementUpdate => ({
			start, kind: 'pause', value: length, age,
		}));
		this.rotation++;
		const selected = [...rotatingSlice(leaving, maxCount, this.rotation), ...rotatingSlice(pauses, maxCount, this.rotation), ...limited, ...brittleOnes];
		return selected.length > 0 ? selected : undefined;
	}

	/**
	 * Merges statements that another box sent.
	 *
	 * @param box - Name of the box.
	 * @param statements - The statements.
	 * @param source - `box` if the sender received them from the replicas itself, `digest` if an aggregator forwarded them.
	 */
	merge(box: string, statements: readonly StatementUpdate[], source: StatementSource): void {
		const {clock, limits, brittle, replicas} = this.services;
		const now = clock.monotonic();
		for (const {start, kind, value, age} of statements) {
			switch (kind) {
				case 'limit': {
					limits.merge([{start, limit: value, age}], source);

					break;
				}

				case 'brittle': {
					brittle.merge({start, rejections: value, age}, source);

					break;
				}

				case 'leaving': {
					replicas.recordAnnouncement({start, at: now - age, source});

					break;
				}

				default: {
					this.pauses.record({start}, value ?? 0, age, box);
				}
			}
		}
	}

	/** What holds for listed incarnations and is not in their entries, in a stable order; `undefined` before the list is known. */
	get lasting(): LastingStatements | undefined {
		const {replicas, limits} = this.services;
		if (!replicas.isKnown) {
			return undefined;
		}

		const announced = replicas.announcements.map(({start}) => start).filter(start => this.isLasting(start) && replicas.byStart(start)?.entry.isDraining === false);
		const limited = limits.limited.map(replica => ({start: replica.start, limit: limits.limitOf(replica) ?? 0})).filter(({start}) => this.isLasting(start));
		return {
			leaving: announced.sort().slice(0, maxLasting),
			limits: limited.sort((left, right) => left.start < right.start ? -1 : 1).slice(0, maxLasting),
		};
	}

	/**
	 * Adds statements that boxes received before this process started.
	 *
	 * @param statements - The statements.
	 */
	restore({leaving, limits}: LastingStatements): void {
		const at = this.startedAt - minRestoredAge;
		const age = this.services.clock.monotonic() - at;
		this.services.limits.merge(limits.map(({start, limit}) => ({start, limit, age})), 'store');
		for (const start of leaving) {
			this.services.replicas.recordAnnouncement({start, at, source: 'store'});
		}
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether the replica's limit, its places and its pause allow this box to send a request now.
	 */
	hasRoom(replica: Replica): boolean {
		return this.pauses.remaining(replica) === 0 && this.services.limits.hasRoom(replica) && this.services.brittle.hasRoom(replica);
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether its service has brittle replicas.
	 */
	isBrittle(replica: Replica): boolean {
		return this.services.brittle.isBrittle(replica);
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether all boxes together have to keep a limit or places at the replica.
	 */
	isShared(replica: Replica): boolean {
		return this.services.limits.limitOf(replica) !== undefined || this.isBrittle(replica);
	}

	/**
	 * @param replica - A replica.
	 * @returns Requests a second that this box may send to the replica; infinite without a limit.
	 */
	ownRate(replica: Replica): number {
		return Math.min(this.services.limits.ownLimit(replica), this.services.brittle.ownRate(replica));
	}

	/**
	 * @param replica - A replica.
	 * @returns Remaining milliseconds of the pause that the replica asked this box for; zero without one.
	 */
	remainingPause(replica: Replica): number {
		return this.pauses.remaining(replica);
	}

	/**
	 * @param replica - A replica.
	 * @returns Number of boxes, including this one, that the replica is known to have asked for a pause that has not ended.
	 */
	pausedBoxCount(replica: Replica): number {
		return this.pauses.countBoxes(replica);
	}

	/**
	 * @param replicas - Replicas without room.
	 * @param requestsAhead - Requests of this box that are queued ahead.
	 * @param horizon - Milliseconds to look ahead for slots of limits.
	 * @returns Milliseconds until one of the replicas may have room; infinite if unknown.
	 */
	timeUntilRoom(replicas: readonly Replica[], requestsAhead: number, horizon: number): number {
		const pauses = replicas.map(replica => this.pauses.remaining(replica)).filter(remaining => remaining > 0);
		const limited = replicas.filter(replica => this.pauses.remaining(replica) === 0);
		const {limits, brittle} = this.services;
		return Math.min(...pauses, limits.timeUntilRoom(limited, requestsAhead, horizon), brittle.timeUntilRoom(limited, requestsAhead));
	}

	/**
	 * Drops the statements of an incarnation that was replaced. Those of one whose entry was removed stay, since the entry may be written
	 * again.
	 *
	 * @param replica - A replica that was removed from the list, or replaced by a newer incarnation.
	 */
	forget(replica: Replica): void {
		this.replicaLog.forget(replica);
		if (replica.isReplaced) {
			this.services.limits.forget(replica);
			this.services.brittle.forget(replica);
			this.pauses.forget(replica);
		} else {
			this.services.limits.recordRemoval(replica);
		}
	}

	/** Whether the next incarnation of the replica has another name, so that it does not inherit the statements of this one. */
	private isLasting(start: string): boolean {
		return this.services.replicas.byStart(start)?.entry.bornAt !== undefined;
	}

	private recordLeaving(replica: Replica, isLeaving: ReplicaStatement['isLeaving']): void {
		if (isLeaving === 'unreadable') {
			this.replicaLog.write('replicaStatementUnreadable', replica, {statement: 'leaving'});
		} else if (isLeaving) {
			this.services.replicas.recordAnnouncement({start: replica.start, at: this.services.clock.monotonic(), source: 'answer'});
		}
	}

	private recordPause(replica: Replica, pause: ReplicaStatement['pause']): void {
		if (pause === 'unreadable') {
			this.replicaLog.write('replicaStatementUnreadable', replica, {statement: 'pause'});
		} else if (pause !== undefined && this.pauses.record(replica, pause)) {
			this.services.log.write(pause > longPauseThreshold ? 'replicaPausedLong' : 'replicaPaused', {
				replica: replica.entry.id, service: replica.entry.service, pause, boxes: this.pauses.countBoxes(replica),
			});
		}
	}
}
