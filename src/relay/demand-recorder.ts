/**
 * Records one request in the demand statistics of its service: its arrival, the prompt tokens that a replica read and the time for
 * them, its duration, and once whether its answer began in time.
 */
import type {Clock} from '../base/clock.js';
import type {RefusalReason} from '../base/refusal-reason.js';
import type {Refusal} from '../base/verdict.js';
import type {ServiceDemand} from '../replicas/service-demand.js';

/** Refusal reasons that indicate too few replicas. */
const shortageReasons: ReadonlySet<RefusalReason> = new Set(['capacity-short', 'replica-limit', 'no-upstream', 'upstream-refused', 'deadline-passed']);

/** Dependencies of the recorder. */
export type DemandRecorderServices = {
	readonly clock: Clock;
	/** @returns The demand for the request's current service, which may change when the configuration does. */
	readonly demand: () => ServiceDemand;
	/** @returns Milliseconds within which its answer should begin. */
	readonly goal: () => number;
};

/** Records the demand of one request. */
export class DemandRecorder {
	/**
	 * @param services - Its dependencies.
	 * @returns A recorder for a request that arrives now.
	 */
	static create(services: DemandRecorderServices): DemandRecorder {
		return new DemandRecorder(services);
	}

	private readonly arrivedAt: number;
	private hasRecordedArrival = false;
	private hasRecordedOutcome = false;

	private constructor(private readonly services: DemandRecorderServices) {
		this.arrivedAt = services.clock.monotonic();
	}

	/**
	 * Records the arrival when a replica is chosen for the first time; later choices are ignored.
	 *
	 * @param tokens - Tokens of the prompt that the chosen replica has to read.
	 */
	recordChoice(tokens: number): void {
		if (!this.hasRecordedArrival) {
			this.hasRecordedArrival = true;
			this.services.demand().recordArrival(tokens, this.services.goal());
		}
	}

	/** Records that the answer begins. */
	recordAnswerStart(): void {
		this.recordOutcome(!this.isLate);
	}

	/**
	 * Records how long a replica took to read the prompt. A duration above the goal is ignored, since it is mostly time spent queued at
	 * the replica.
	 *
	 * @param tokens - Tokens of the prompt that the replica had not cached.
	 * @param duration - Milliseconds from sending the request to its first event.
	 */
	recordPromptRead(tokens: number, duration: number): void {
		if (duration <= this.services.goal()) {
			this.services.demand().recordRead(tokens, duration);
		}
	}

	/**
	 * Records the duration of an attempt that ends now, if its answer began within the goal.
	 *
	 * @param beganAt - Monotonic milliseconds at which the attempt began.
	 * @param firstByteAt - Monotonic milliseconds of the first byte of the answer; `undefined` if none came.
	 */
	recordAttemptEnd(beganAt: number, firstByteAt: number | undefined): void {
		if (firstByteAt !== undefined && firstByteAt >= beganAt && firstByteAt - beganAt <= this.services.goal()) {
			this.services.demand().recordDuration(this.services.clock.monotonic() - beganAt);
		}
	}

	/** Counts a request that was refused for lack of replicas as demand too. */
	recordRefusal({reason}: Refusal): void {
		if (!shortageReasons.has(reason)) {
			return;
		}

		if (this.hasRecordedArrival) {
			this.recordOutcome(false);
		} else {
			this.services.demand().recordRejected();
		}
	}

	/** Records that the client left. A client that waited for longer than the goal counts as missed. */
	recordClientLeft(): void {
		if (this.isLate) {
			this.recordOutcome(false);
		}
	}

	private get isLate(): boolean {
		return this.services.clock.monotonic() - this.arrivedAt > this.services.goal();
	}

	private recordOutcome(isInTime: boolean): void {
		if (!this.hasRecordedOutcome) {
			this.hasRecordedOutcome = true;
			this.services.demand().recordOutcome(isInTime);
		}
	}
}
