/**
 * Tracks whether one request is suspected of crashing replicas: its status before each attempt, and the outcome of each.
 */
import type {Clock} from '../base/clock.js';
import {
	fingerprintOf, partFingerprintOf, type Fingerprint, type RequestIdentity,
} from '../quarantine/fingerprint.js';
import type {Quarantine, QuarantineStatus} from '../quarantine/quarantine.js';
import type {Replica} from '../replicas/replica.js';
import type {CrashDetector} from './crash-detector.js';

/**
 * Milliseconds after the start of an answer from which a crash of the replica is no longer attributed to the request. Requests that
 * crash a replica do so soon after they start to run.
 */
const crashAttributionTime = 2000;

/** Dependencies of the suspicion. */
export type CrashSuspicionServices = {
	readonly clock: Clock;
	readonly quarantine: Quarantine;
	readonly crashDetector: CrashDetector;
	/** @returns What identifies the request. */
	readonly identity: () => RequestIdentity;
	/** @returns Service of the request, and the parts of its prompt that other requests may share. */
	readonly prompt: () => {readonly service: string; readonly sharedParts: readonly string[]};
};

/** The suspicion of one request. */
export class CrashSuspicion {
	/**
	 * @param services - Its dependencies.
	 * @returns The suspicion of a request without attempts.
	 */
	static create(services: CrashSuspicionServices): CrashSuspicion {
		return new CrashSuspicion(services);
	}

	/** Status of the request when it was last looked up. */
	status: QuarantineStatus = 'sound';
	private wasCut = false;
	/** Start of the current attempt in monotonic milliseconds. */
	private attemptStartedAt = 0;
	private cachedFingerprint: Fingerprint | undefined;
	/** Monotonic milliseconds at which the replica of the current attempt began to answer; `undefined` before. */
	private answeringSince: number | undefined;

	private constructor(private readonly services: CrashSuspicionServices) {}

	/** Identifies the request; computed on first use to avoid hashing the body of every request. */
	get fingerprint(): Fingerprint {
		this.cachedFingerprint ??= fingerprintOf(this.services.identity());
		return this.cachedFingerprint;
	}

	/** Fingerprints of the shared parts of the prompt. */
	get parts(): readonly Fingerprint[] {
		const {service, sharedParts} = this.services.prompt();
		return sharedParts.map(part => partFingerprintOf(service, part));
	}

	/** The fingerprint if the request was cut or is suspected; otherwise `undefined`. */
	get reportedFingerprint(): Fingerprint | undefined {
		return this.wasCut || this.status !== 'sound' ? this.fingerprint : undefined;
	}

	/** Milliseconds until a quarantined request may run again. */
	get quarantinedFor(): number {
		return this.services.quarantine.timeUntilTrial(this.fingerprint);
	}

	/** Whether a request on trial must wait: it is already running on this box, or a probe after its last cut is still pending. */
	get mustWait(): boolean {
		const {quarantine, crashDetector} = this.services;
		return this.status === 'trial' && (quarantine.isRunning(this.fingerprint) || crashDetector.isProbePending(this.fingerprint));
	}

	/** @returns The current status of the request. */
	refreshStatus(): QuarantineStatus {
		const {quarantine} = this.services;
		this.status = quarantine.hasSuspects ? quarantine.statusOf(this.fingerprint) : 'sound';
		return this.status;
	}

	/**
	 * @param candidates - Replicas that could get the request.
	 * @returns Those that are eligible for a request of this status.
	 */
	eligible(candidates: readonly Replica[]): readonly Replica[] {
		return this.status === 'sound' ? candidates : this.services.quarantine.eligibleReplicas(this.fingerprint, this.status, candidates);
	}

	/**
	 * Records that an attempt begins.
	 *
	 * @param replica - The replica of the attempt.
	 * @returns A function to call when the attempt has ended.
	 */
	beginAttempt({start}: Replica): () => void {
		this.answeringSince = undefined;
		this.attemptStartedAt = this.services.clock.monotonic();
		return this.status === 'sound' ? ignore : this.services.quarantine.begin(this.fingerprint, start);
	}

	/** Records that the replica begins to answer. */
	recordAnswerStart(): void {
		this.answeringSince = this.services.clock.monotonic();
	}

	/** @param replica - The replica whose connection was cut during the attempt. */
	recordCut(replica: Replica): void {
		const {clock, crashDetector} = this.services;
		if (this.answeringSince !== undefined && clock.monotonic() - this.answeringSince > crashAttributionTime) {
			this.recordCompletion();
			return;
		}

		this.wasCut = true;
		crashDetector.recordCut(replica, {fingerprint: this.fingerprint, ranFor: clock.monotonic() - this.attemptStartedAt, parts: this.parts});
	}

	/**
	 * Records that a replica ran the request without crashing. Only requests that may be suspected are recorded, to save memory.
	 */
	recordCompletion(): void {
		const {quarantine} = this.services;
		if (this.wasCut || (quarantine.hasSuspects && quarantine.isSuspected(this.fingerprint))) {
			quarantine.recordCompletion(this.fingerprint);
		}
	}
}

const ignore = (): void => undefined;
