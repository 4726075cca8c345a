/**
 * The permits of one process to send requests to a version on trial.
 */
import type {Clock} from '../base/clock.js';
import type {StepPermits} from './rollout-directive.js';

/** Milliseconds from the moment at which a process learns of a step to the end of its permits. */
export const permitWindow = 2000;

/** Use of the permits of one step, as reported to the owner of the rollout. */
export type PermitUse = {
	readonly step: number;
	/** Permits that were taken. */
	readonly used: number;
	/** Whether no more will be taken. Once reported, it stays so. */
	readonly isClosed: boolean;
};

/** The permits of the current step of one rollout. */
export class TrialPermits {
	/**
	 * @param clock - Measures the time since the step was learned.
	 * @returns Permits of no step.
	 */
	static create(clock: Clock): TrialPermits {
		return new TrialPermits(clock);
	}

	private step = -1;
	private count = 0;
	private used = 0;
	private learnedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock) {}

	/**
	 * @param step - A step.
	 * @returns Use of its permits. Those of a step that this process knows without its permits may still arrive, and are open.
	 */
	useOf(step: number): PermitUse {
		return step === this.step ? {step, used: this.used, isClosed: this.isClosed} : {step, used: 0, isClosed: false};
	}

	/** @param permits - The permits of a step; those of the current or an earlier one change nothing. */
	apply({step, count}: Omit<StepPermits, 'service'>): void {
		if (step > this.step) {
			this.step = step;
			this.count = count;
			this.used = 0;
			this.learnedAt = this.clock.monotonic();
		}
	}

	/** Forgets the current step: another order begins its steps anew. */
	reset(): void {
		this.step = -1;
		this.count = 0;
		this.used = 0;
	}

	/** @returns The step whose permit was taken; `undefined` if there is none. */
	take(): number | undefined {
		if (this.isClosed) {
			return undefined;
		}

		this.used++;
		return this.step;
	}

	/**
	 * @param step - Step of a permit that was taken.
	 * @returns Whether a request may still be sent with it.
	 */
	isValid(step: number): boolean {
		return step === this.step && !this.isExpired;
	}

	private get isClosed(): boolean {
		return this.used >= this.count || this.isExpired;
	}

	private get isExpired(): boolean {
		return this.clock.ageOf(this.learnedAt) >= permitWindow;
	}
}
