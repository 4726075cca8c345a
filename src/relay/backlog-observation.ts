/**
 * Keeps the backlog of a replica up to date with one attempt of this box: its prompt is added, and taken off once it has been read or cancelled.
 */
import type {Replica} from '../replicas/replica.js';
import type {RelayServices} from './relay-services.js';

/** What the observation depends on. */
export type BacklogObservationServices = Pick<RelayServices, 'clock' | 'scheduling'>;

/** The prompt of one attempt, as part of the backlog of its replica. */
export class BacklogObservation {
	/**
	 * @param services - Dependencies.
	 * @param replica - The replica that has just been chosen.
	 * @param unreadTokens - Prompt tokens that it has to read; none for a request that generates no text.
	 * @returns An observation; `undefined` if the service is not placed by cost.
	 */
	static begin(services: BacklogObservationServices, replica: Replica, unreadTokens: number): BacklogObservation | undefined {
		const {scheduling} = services;
		return unreadTokens > 0 && scheduling.placesByCost(replica.entry.service) ? new BacklogObservation(services, replica, unreadTokens) : undefined;
	}

	private readonly sentAt: number;
	private readonly reading: number;
	private isOpen = true;

	private constructor(private readonly services: BacklogObservationServices, private readonly replica: Replica, unreadTokens: number) {
		const {clock, scheduling} = services;
		this.sentAt = clock.monotonic();
		this.reading = scheduling.readingTime(replica, unreadTokens);
		scheduling.backlogs.recordSent(this.owner, this.reading);
	}

	/** Records that the replica has read the prompt. */
	recordRead(): void {
		if (this.isOpen) {
			this.isOpen = false;
			this.services.scheduling.backlogs.recordRead(this.owner, this.sentAt);
		}
	}

	/** Records the end of the attempt; a prompt that has not been read will not be read any more. */
	close(): void {
		if (this.isOpen) {
			this.isOpen = false;
			this.services.scheduling.backlogs.recordCancelled(this.owner, this.reading);
		}
	}

	private get owner() {
		return {id: this.replica.entry.id, start: this.replica.start};
	}
}
