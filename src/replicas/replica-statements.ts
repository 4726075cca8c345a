/**
 * What replicas say of themselves in their answers: the one place that applies it and tells other boxes of it.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {rotated} from '../base/rotated.js';
import type {Replica} from './replica.js';
import type {ReplicaDirectory} from './replica-directory.js';
import type {ReplicaLimits} from './replica-limits.js';
import type {ReplicaStatement, StatementSource, ToldStatement} from './replica-statement.js';

/** What the statements need. */
export type ReplicaStatementServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly limits: ReplicaLimits;
	readonly replicas: ReplicaDirectory;
};

/** Milliseconds between two lines on a statement of one replica that cannot be read. */
const lineInterval = 1000;
/** Milliseconds for which a large fleet is told of a new statement with each message. */
const newsTime = 2500;

/** The statements of all replicas. */
export class ReplicaStatements {
	/**
	 * @param services - What they need.
	 * @returns Statements of which none is known.
	 */
	static create(services: ReplicaStatementServices): ReplicaStatements {
		return new ReplicaStatements(services);
	}

	/** When a statement that cannot be read was last logged, by start of the replica. */
	private readonly loggedAt = new Map<string, number>();
	private tellings = 0;

	private constructor(private readonly services: ReplicaStatementServices) {}

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
		const announcements = replicas.announcements.filter(({start, at, source}) => at >= since && sources.includes(source) && replicas.ofStart(start));
		const leaving = announcements.map(({start, at}): ToldStatement => ({
			start, kind: 'leaving', value: undefined, age: Math.round(now - at),
		}));
		const limited = (limits.told(isWhole, sources, most) ?? []).map(({start, limit, age}): ToldStatement => ({
			start, kind: 'limit', value: limit, age,
		}));
		this.tellings++;
		const told = [...rotated(leaving, most, this.tellings), ...limited];
		return told.length > 0 ? told : undefined;
	}

	/**
	 * Takes what another box tells.
	 *
	 * @param statements - What it tells.
	 * @param source - Whether replicas have told it that themselves.
	 */
	takeTold(statements: readonly ToldStatement[], source: StatementSource): void {
		const {clock, limits, replicas} = this.services;
		const now = clock.monotonic();
		for (const {start, kind, value, age} of statements) {
			if (kind === 'limit') {
				limits.takeTold([{start, limit: value, age}], source);
			} else {
				replicas.noteAnnouncement({start, at: now - age, source});
			}
		}
	}

	/** @param replica - A replica that is listed no longer, or another start of which has taken its id. */
	forget(replica: Replica): void {
		this.services.limits.forget(replica);
		this.loggedAt.delete(replica.start);
	}

	private noteLeaving(replica: Replica, isLeaving: ReplicaStatement['isLeaving']): void {
		if (isLeaving === 'unreadable') {
			this.tellUnreadable(replica, 'leaving');
		} else if (isLeaving) {
			this.services.replicas.noteAnnouncement({start: replica.start, at: this.services.clock.monotonic(), source: 'answer'});
		}
	}

	private notePause(replica: Replica, pause: ReplicaStatement['pause']): void {
		if (pause === 'unreadable') {
			this.tellUnreadable(replica, 'pause');
		} else if (pause !== undefined) {
			this.services.log.write('replicaPaused', {
				replica: replica.entry.id, service: replica.entry.service, pause, source: 'answer',
			});
		}
	}

	private tellUnreadable({start, entry}: Replica, statement: string): void {
		const now = this.services.clock.monotonic();
		if (now - (this.loggedAt.get(start) ?? Number.NEGATIVE_INFINITY) >= lineInterval) {
			this.loggedAt.set(start, now);
			this.services.log.write('replicaStatementUnreadable', {replica: entry.id, service: entry.service, statement});
		}
	}
}
