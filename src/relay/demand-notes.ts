/**
 * What one request tells of the demand for its service: that it came, what of its prompt a replica read and how fast, how
 * long it took, and once whether its answer began in time.
 */
import type {Clock} from '../base/clock.js';
import type {RefusalReason} from '../base/refusal-reason.js';
import type {Refusal} from '../base/verdict.js';
import type {ServiceDemand} from '../replicas/service-demand.js';

/** Reasons that say that more replicas would have served. */
const reasonsOfShortage: ReadonlySet<RefusalReason> = new Set(['capacity-short', 'replica-limit', 'no-upstream', 'upstream-refused', 'deadline-passed']);

/** What the notes need. */
export type DemandNotesServices = {
	readonly clock: Clock;
	/** @returns The demand for the service that the request goes to now. */
	readonly demand: () => ServiceDemand;
	/** @returns Milliseconds within which its answer is to begin. */
	readonly goal: () => number;
};

/** The notes of one request. */
export class DemandNotes {
	/**
	 * @param services - What they need.
	 * @returns Notes of a request that comes now.
	 */
	static create(services: DemandNotesServices): DemandNotes {
		return new DemandNotes(services);
	}

	private readonly cameAt: number;
	private hasArrived = false;
	private hasOutcome = false;

	private constructor(private readonly services: DemandNotesServices) {
		this.cameAt = services.clock.monotonic();
	}

	/** @param tokens - Tokens of the prompt that the replica which was chosen has to read; its first choice counts. */
	noteChoice(tokens: number): void {
		if (!this.hasArrived) {
			this.hasArrived = true;
			this.services.demand().noteArrival(tokens, this.services.goal());
		}
	}

	/** Notes that its answer begins. */
	noteBeginning(): void {
		this.settle(!this.isLate);
	}

	/**
	 * What waited at a replica says little of how long the work takes.
	 *
	 * @param tokens - Tokens of the prompt that its replica did not keep.
	 * @param duration - Milliseconds from the sending to the first event.
	 */
	noteRead(tokens: number, duration: number): void {
		if (duration <= this.services.goal()) {
			this.services.demand().noteRead(tokens, duration);
		}
	}

	/**
	 * @param beganAt - Monotonic milliseconds at which it was given to the replica where it ends now.
	 * @param firstByteAt - The same of the first byte of its answer; `undefined` where none came.
	 */
	noteEnd(beganAt: number, firstByteAt: number | undefined): void {
		if (firstByteAt !== undefined && firstByteAt >= beganAt && firstByteAt - beganAt <= this.services.goal()) {
			this.services.demand().noteEnd(this.services.clock.monotonic() - beganAt);
		}
	}

	/** What replicas are too short for is asked for all the same. */
	noteRefusal({reason}: Refusal): void {
		if (!reasonsOfShortage.has(reason)) {
			return;
		}

		if (this.hasArrived) {
			this.settle(false);
		} else {
			this.services.demand().noteTurnedAway();
		}
	}

	/** Notes that its client left; one that waited for longer than the goal has missed it. */
	noteLeaving(): void {
		if (this.isLate) {
			this.settle(false);
		}
	}

	private get isLate(): boolean {
		return this.services.clock.monotonic() - this.cameAt > this.services.goal();
	}

	private settle(isInTime: boolean): void {
		if (!this.hasOutcome) {
			this.hasOutcome = true;
			this.services.demand().noteOutcome(isInTime);
		}
	}
}
