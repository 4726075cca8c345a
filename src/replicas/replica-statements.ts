/**
 * What replicas say of themselves in their answers: the one place that applies it and tells other boxes of it.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Replica} from './replica.js';
import type {ReplicaLimits} from './replica-limits.js';
import type {ReplicaStatement} from './replica-statement.js';

/** What the statements need. */
export type ReplicaStatementServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly limits: ReplicaLimits;
};

/** Milliseconds between two lines on a statement of one replica that cannot be read. */
const lineInterval = 1000;
/** Starts of replicas that are kept as leaving at most. */
const mostLeaving = 4096;

/** The statements of all replicas. */
export class ReplicaStatements {
	/**
	 * @param services - What they need.
	 * @returns Statements of which none is known.
	 */
	static create(services: ReplicaStatementServices): ReplicaStatements {
		return new ReplicaStatements(services);
	}

	/** Starts of replicas that said that they leave. */
	private readonly leaving = new Set<string>();
	/** When a statement that cannot be read was last logged, by start of the replica. */
	private readonly loggedAt = new Map<string, number>();

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

	private noteLeaving(replica: Replica, isLeaving: ReplicaStatement['isLeaving']): void {
		if (isLeaving === 'unreadable') {
			this.tellUnreadable(replica, 'leaving');
		} else if (isLeaving && !this.leaving.has(replica.start)) {
			const [oldest] = this.leaving;
			if (this.leaving.size >= mostLeaving && oldest !== undefined) {
				this.leaving.delete(oldest);
			}

			this.leaving.add(replica.start);
			this.services.log.write('replicaAnnouncedLeaving', {replica: replica.entry.id, service: replica.entry.service, source: 'answer'});
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
