/**
 * What replicas say of themselves in their answers: the one place that applies it and tells other boxes of it.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {rotated} from '../base/rotated.js';
import type {Replica} from './replica.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaLimits} from './replica-limits.js';
import {ReplicaLog} from './replica-log.js';
import {ReplicaPauses} from './replica-pauses.js';
import {
	newsTime, type ReplicaStatement, type StatementSource, type ToldStatement,
} from './replica-statement.js';

/** What the statements need. */
export type ReplicaStatementServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly limits: ReplicaLimits;
	readonly replicas: ReplicaDirectory;
};

/** Milliseconds of a pause from which on it is logged as a warning: the replica is of no use for so long. */
const longPause = 60_000;

/** The statements of all replicas. */
export class ReplicaStatements {
	/**
	 * @param services - What they need.
	 * @returns Statements of which none is known.
	 */
	static create(services: ReplicaStatementServices): ReplicaStatements {
		return new ReplicaStatements(services);
	}

	private readonly lines: ReplicaLog;
	private readonly pauses: ReplicaPauses;
	private tellings = 0;

	private constructor(private readonly services: ReplicaStatementServices) {
		this.pauses = ReplicaPauses.create(services.clock);
		this.lines = ReplicaLog.create(services.clock, services.log);
	}

	/**
	 * Notes what an answer says.
	 *
	 * @param replica - Whose answer it is.
	 * @param statement - What it says.
	 * @param sentAt - Monotonic milliseconds at which its request was sent.
	 */
	noteAnswer(replica: Replica, {limit, isLeaving, pause}: ReplicaStatement, sentAt: number): void {
		this.services.limits.noteAnswer(replica, limit, sentAt);
		this.noteLeaving(replica, isLeaving);
		this.notePause(replica, pause);
	}

	/**
	 * @param isWhole - Whether all is told, not only what has changed lately.
	 * @param sources - How what is told was learnt.
	 * @param most - Statements of one kind to tell at most.
	 * @returns What to tell other boxes; `undefined` where that is nothing.
	 */
	told(isWhole: boolean, sources: readonly StatementSource[], most: number): readonly ToldStatement[] | undefined {
		const {clock, limits, replicas} = this.services;
		const now = clock.monotonic();
		const since = now - (isWhole ? Number.POSITIVE_INFINITY : newsTime);
		const announcements = replicas.announcements.filter(({at, source}) => at >= since && sources.includes(source));
		const leaving = announcements.map(({start, at}): ToldStatement => ({
			start, kind: 'leaving', value: undefined, age: Math.round(now - at),
		}));
		const limited = (limits.told(isWhole, sources, most) ?? []).map(({start, limit, age}): ToldStatement => ({
			start, kind: 'limit', value: limit, age,
		}));
		const paused = sources.includes('answer') ? this.pauses.told : [];
		const pauses = paused.map(({start, length, age}): ToldStatement => ({
			start, kind: 'pause', value: length, age,
		}));
		this.tellings++;
		const told = [...rotated(leaving, most, this.tellings), ...rotated(pauses, most, this.tellings), ...limited];
		return told.length > 0 ? told : undefined;
	}

	/**
	 * Takes what another box tells.
	 *
	 * @param box - Its name.
	 * @param statements - What it tells.
	 * @param source - Whether replicas have told it that themselves.
	 */
	takeTold(box: string, statements: readonly ToldStatement[], source: StatementSource): void {
		const {clock, limits, replicas} = this.services;
		const now = clock.monotonic();
		for (const {start, kind, value, age} of statements) {
			const replica = replicas.ofStart(start);
			if (kind === 'limit') {
				limits.takeTold([{start, limit: value, age}], source);
			} else if (kind === 'leaving') {
				replicas.noteAnnouncement({start, at: now - age, source});
			} else if (replica) {
				this.pauses.note(replica, value ?? 0, age, box);
			}
		}
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether this box may send it a request now, as far as the replica's own statements are concerned.
	 */
	hasRoom(replica: Replica): boolean {
		return this.pauses.left(replica) === 0 && this.services.limits.hasRoom(replica);
	}

	/**
	 * @param replica - A replica.
	 * @returns Milliseconds for which it still wants no requests from this box; zero where it takes them.
	 */
	pauseLeft(replica: Replica): number {
		return this.pauses.left(replica);
	}

	/**
	 * @param replica - A replica.
	 * @returns How many boxes it wants no requests from, as far as is known, this one too.
	 */
	boxesPaused(replica: Replica): number {
		return this.pauses.boxesOf(replica);
	}

	/**
	 * @param replicas - Replicas without room.
	 * @param place - Requests of this box that go before.
	 * @param horizon - Milliseconds to look ahead for slots of limits.
	 * @returns Milliseconds until one of them may have room; without end where that is not known.
	 */
	untilRoom(replicas: readonly Replica[], place: number, horizon: number): number {
		const pauses = replicas.map(replica => this.pauses.left(replica)).filter(left => left > 0);
		const limited = replicas.filter(replica => this.pauses.left(replica) === 0);
		return Math.min(...pauses, this.services.limits.untilRoom(limited, place, horizon));
	}

	/** @param replica - A replica that is listed no longer, or another start of which has taken its id. */
	forget(replica: Replica): void {
		this.services.limits.forget(replica);
		this.pauses.forget(replica);
		this.lines.forget(replica);
	}

	private noteLeaving(replica: Replica, isLeaving: ReplicaStatement['isLeaving']): void {
		if (isLeaving === 'unreadable') {
			this.lines.write('replicaStatementUnreadable', replica, {statement: 'leaving'});
		} else if (isLeaving) {
			this.services.replicas.noteAnnouncement({start: replica.start, at: this.services.clock.monotonic(), source: 'answer'});
		}
	}

	private notePause(replica: Replica, pause: ReplicaStatement['pause']): void {
		if (pause === 'unreadable') {
			this.lines.write('replicaStatementUnreadable', replica, {statement: 'pause'});
		} else if (pause !== undefined && this.pauses.note(replica, pause)) {
			this.services.log.write(pause > longPause ? 'replicaPausedLong' : 'replicaPaused', {
				replica: replica.entry.id, service: replica.entry.service, pause, boxes: this.pauses.boxesOf(replica),
			});
		}
	}
}
