/**
 * What one box expects each replica to have left to read, kept in step with the other boxes by messages about larger changes.
 */
import type {Clock} from '../base/clock.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {BacklogUpdate} from './backlog-update.js';
import {maxBacklog, ReplicaBacklog} from './replica-backlog.js';
import type {UpdateBudget} from './update-budget.js';

/** Difference of two paces that matters for the choice of a replica. */
const paceStep = 0.3;

/** A replica, as far as its backlog is concerned. */
export type BacklogOwner = {
	/** Its ID, by which boxes name it to each other. */
	readonly id: string;
	/** Its incarnation. */
	readonly start: string;
};

/** Dependencies of the backlogs. */
export type BacklogServices = {
	readonly clock: Clock;
	readonly budget: UpdateBudget;
	/** @returns Factor by which work at an incarnation of a replica takes longer now. */
	readonly pace: (start: string) => number;
	/** Sends an update to all other boxes; called only if it is worth a message. */
	readonly tell: (update: BacklogUpdate) => void;
};

/** The expected backlogs of all replicas. */
export class Backlogs {
	/**
	 * @param services - Dependencies.
	 * @returns Backlogs of replicas that have nothing to read.
	 */
	static create(services: BacklogServices): Backlogs {
		return new Backlogs(services);
	}

	private readonly backlogs = new Map<string, ReplicaBacklog>();

	private constructor(private readonly services: BacklogServices) {}

	/**
	 * @param start - Incarnation of a replica.
	 * @returns Expected milliseconds until it reads a prompt that is sent now.
	 */
	expectedStart(start: string): number {
		return this.backlogs.get(start)?.remaining ?? 0;
	}

	/**
	 * @param owner - Replica to which a prompt is sent now.
	 * @param reading - Milliseconds that it needs to read the prompt at its usual pace.
	 */
	recordSent(owner: BacklogOwner, reading: number): void {
		this.of(owner.start).recordSent(reading * this.services.pace(owner.start));
		this.discloseIfLarge(owner, true);
	}

	/**
	 * @param owner - Replica that has read a prompt of this box.
	 * @param sentAt - Monotonic milliseconds at which the prompt was sent.
	 */
	recordRead(owner: BacklogOwner, sentAt: number): void {
		this.of(owner.start).recordRead(sentAt);
		this.discloseIfLarge(owner, false);
	}

	/**
	 * @param owner - Replica that will not read a prompt of this box any more.
	 * @param reading - Milliseconds of reading that the prompt had left at most.
	 */
	recordCancelled(owner: BacklogOwner, reading: number): void {
		this.of(owner.start).recordCancelled(reading);
		this.discloseIfLarge(owner, false);
	}

	/**
	 * Records the pace that a replica states in an answer.
	 *
	 * @param owner - The replica.
	 * @param expected - Its pace as this box and the others expected it.
	 * @param stated - The pace that it states.
	 */
	recordPace(owner: BacklogOwner, expected: number, stated: number): void {
		if (Math.abs(stated - expected) >= paceStep) {
			this.disclose(owner, {isPrompt: false, pace: stated});
		}
	}

	/**
	 * Applies an update of another box.
	 *
	 * @param start - Incarnation of the replica that it names.
	 * @param update - The update.
	 */
	apply(start: string, {change, isPrompt}: Pick<BacklogUpdate, 'change' | 'isPrompt'>): void {
		this.services.budget.recordMessage();
		if (change !== 0 && Math.abs(change) <= maxBacklog) {
			this.of(start).applyChange(change, isPrompt);
		}
	}

	/** @param start - Incarnation of a replica that is gone. */
	forget(start: string): void {
		this.backlogs.delete(start);
	}

	private discloseIfLarge(owner: BacklogOwner, isPrompt: boolean): void {
		if (Math.abs(this.of(owner.start).undisclosed) >= this.services.budget.threshold) {
			this.disclose(owner, {isPrompt, pace: undefined});
		}
	}

	private disclose({id, start}: BacklogOwner, news: Pick<BacklogUpdate, 'isPrompt' | 'pace'>): void {
		const backlog = this.of(start);
		this.services.tell({replica: id, change: Math.round(backlog.undisclosed), ...news});
		backlog.recordDisclosed();
		this.services.budget.recordMessage();
	}

	private of(start: string): ReplicaBacklog {
		return getOrCreate(this.backlogs, start, () => ReplicaBacklog.create(this.services.clock));
	}
}
