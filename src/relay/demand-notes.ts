/**
 * Records one request in the demand statistics of its service: its arrival, the prompt tokens that a replica read and the time for
 * them, its duration, and once whether its answer began in time.
 */
import type {Clock} from '../base/clock.js';
import type {RefusalReason} from '../base/refusal-reason.js';
import type {Refusal} from '../base/verdict.js';
import type {ServiceDemand} from '../replicas/service-demand.js';

/** Refusal reasons that indicate too few replicas. */
const reasonsOfShortage: ReadonlySet<RefusalReason> = new Set(['capacity-short', 'replica-limit', 'no-upstream', 'upstream-refused', 'deadline-passed']);

/** Dependencies of the recorder. */
export type DemandNotesServices = {
	readonly clock: Clock;
	/** @returns The demand for the request's current service, which may change when the configuration does. */
	readonly demand: () => ServiceDemand;
	/** @returns Milliseconds within which its answer should begin. */
	readonly goal: () => number;
};

/** Records the demand of one request. */
export class DemandNotes {
	/**
	 * @param services - Its dependencies.
	 * @returns A recorder for a request that arrives now.
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

	/**
	 * Records the arrival when a replica is chosen for the first time; later choices are ignored.
	 *
	 * @param tokens - Tokens of the prompt that the chosen replica has to read.
	 */
	noteChoice(tokens: number): void {
		if (!this.hasArrived) {
			this.hasArrived = true;
			this.services.demand().noteArrival(tokens, this.services.goal());
		}
	}

	/** Records that the answer begins. */
	noteBeginning(): void {
		this.settle(!this.isLate);
	}

	/**
	 * Records how long a replica took to read the prompt. A duration above the goal is ignored, since it is mostly time spent queued at
	 * the replica.
	 *
	 * @param tokens - Tokens of the prompt that the replica had not cached.
	 * @param duration - Milliseconds from sending the request to its first event.
	 */
	noteRead(tokens: number, duration: number): void {
		if (duration <= this.services.goal()) {
			this.services.demand().noteRead(tokens, duration);
		}
	}

	/**
	 * Records the duration of an attempt that ends now, if its answer began within the goal.
	 *
	 * @param beganAt - Monotonic milliseconds at which the attempt began.
	 * @param firstByteAt - Monotonic milliseconds of the first byte of the answer; `undefined` if none came.
	 */
	noteEnd(beganAt: number, firstByteAt: number | undefined): void {
		if (firstByteAt !== undefined && firstByteAt >= beganAt && firstByteAt - beganAt <= this.services.goal()) {
			this.services.demand().noteEnd(this.services.clock.monotonic() - beganAt);
		}
	}

	/** Counts a request that was refused for lack of replicas as demand too. */
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

	/** Records that the client left. A client that waited for longer than the goal counts as missed. */
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
