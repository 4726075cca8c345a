/**
 * Tracks whether one request is suspected of crashing replicas: its status before each attempt, and the outcome of each.
 */
import type {Clock} from '../base/clock.js';
import type {Suspect} from '../quarantine/crash-attribution.js';
import {
	clientAccountFingerprintOf, fingerprintOf, type Fingerprint, type RequestIdentity,
} from '../quarantine/fingerprint.js';
import {
	survivalTime, type Quarantine, type QuarantineStatus, type Standing,
} from '../quarantine/quarantine.js';
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

	/** Whether this box ended the current attempt because the request was quarantined meanwhile. */
	wasCancelled = false;
	/** Status of the request when it was last looked up, with its cause; `undefined` if nothing was suspected then. */
	private standing: Standing | undefined;
	private wasCut = false;
	/** Whether the current attempt has been answering for long enough to be evidence for the parts of the prompt. */
	private hasSurvived = false;
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
		const {quarantine, prompt} = this.services;
		const {service, sharedParts} = prompt();
		return sharedParts.map(part => quarantine.partFingerprint(service, part));
	}

	/** Status of the request when it was last looked up. */
	get status(): QuarantineStatus {
		return this.standing?.status ?? 'sound';
	}

	/** Positions, from 1, of the parts of the prompt that crash replicas; empty if the request itself does. */
	get suspectedPositions(): readonly number[] {
		const {parts} = this;
		return this.standing?.parts.map(part => parts.indexOf(part) + 1) ?? [];
	}

	/** The fingerprint if the request was cut or is suspected; otherwise `undefined`. */
	get reportedFingerprint(): Fingerprint | undefined {
		return this.wasCut || this.status !== 'sound' ? this.fingerprint : undefined;
	}

	/** Milliseconds until a quarantined request may run again. */
	get quarantinedFor(): number {
		return this.services.quarantine.timeUntilTrial(this.cause);
	}

	/** Whether a request on trial must wait: one with the same cause is running on this box, or a probe after the last cut is still pending. */
	get mustWait(): boolean {
		const {quarantine, crashDetector} = this.services;
		return this.status === 'trial' && (quarantine.isRunning(this.cause) || crashDetector.isProbePending(this.cause));
	}

	/** What the crashes are attributed to: the request, or a part of its prompt. */
	private get cause(): Fingerprint {
		return this.standing?.cause ?? this.fingerprint;
	}

	/** @returns The current status of the request. */
	refreshStatus(): QuarantineStatus {
		const {quarantine} = this.services;
		this.standing = quarantine.hasSuspects ? quarantine.standingOf({fingerprint: this.fingerprint, parts: this.parts, ...this.sender}) : undefined;
		return this.status;
	}

	/**
	 * @param candidates - Replicas that could get the request.
	 * @returns Those that are eligible for a request of this status.
	 */
	eligible(candidates: readonly Replica[]): readonly Replica[] {
		return this.status === 'sound' ? candidates : this.services.quarantine.eligibleReplicas(this.cause, this.status, candidates);
	}

	/**
	 * Records that an attempt begins.
	 *
	 * @param replica - The replica of the attempt.
	 * @returns A function to call when the attempt has ended.
	 */
	beginAttempt({start}: Replica): () => void {
		this.answeringSince = undefined;
		this.wasCancelled = false;
		this.hasSurvived = false;
		this.attemptStartedAt = this.services.clock.monotonic();
		return this.status === 'sound' ? ignore : this.services.quarantine.begin(this.cause, start);
	}

	/**
	 * Cancels the attempt once the request is quarantined, unless its answer has begun: otherwise each request that was sent before the
	 * quarantine would still crash a replica.
	 *
	 * @param cancel - Closes the connection to the replica.
	 * @returns A function to call when the attempt has ended.
	 */
	cancelWhenQuarantined(cancel: () => void): () => void {
		return this.services.quarantine.onDidUpdate(() => {
			if (this.answeringSince === undefined && !this.wasCancelled && this.refreshStatus() === 'quarantined') {
				this.wasCancelled = true;
				cancel();
			}
		});
	}

	/** Records that the replica begins to answer. */
	recordAnswerStart(): void {
		this.answeringSince = this.services.clock.monotonic();
	}

	/** @param replica - The replica whose connection was cut during the attempt. */
	recordCut(replica: Replica): void {
		const {clock, crashDetector} = this.services;
		if (this.wasCancelled) {
			return;
		}

		if (this.answeringSince !== undefined && clock.monotonic() - this.answeringSince > crashAttributionTime) {
			this.recordCompletion();
			this.recordPartCompletion();
			return;
		}

		this.wasCut = true;
		crashDetector.recordCut(replica, this.suspect);
	}

	/**
	 * Records that an answer ended that only the end of its connection delimits: the end of a crashed replica looks the same, so that it counts
	 * as a completion once the replica is known to listen.
	 *
	 * @param replica - The replica that answered.
	 */
	recordUndelimitedEnd(replica: Replica): void {
		const {quarantine, crashDetector} = this.services;
		if (quarantine.hasSuspects) {
			const {answeringSince} = this;
			crashDetector.recordCut(replica, this.suspect, () => {
				quarantine.recordCompletion(this.fingerprint);
				quarantine.recordPartCompletion(this.parts, answeringSince ?? this.attemptStartedAt);
			});
		}
	}

	/** Records that the replica goes on answering. */
	recordProgress(): void {
		const {clock, quarantine} = this.services;
		if (quarantine.hasSuspects && !this.hasSurvived && this.answeringSince !== undefined && clock.monotonic() - this.answeringSince >= survivalTime) {
			this.hasSurvived = true;
			quarantine.recordPartSurvival(this.parts, this.answeringSince);
		}
	}

	/** Records that a replica answered on the parts of the prompt without crashing. */
	recordPartCompletion(): void {
		if (this.answeringSince !== undefined) {
			this.services.quarantine.recordPartCompletion(this.parts, this.answeringSince);
		}
	}

	private get suspect(): Suspect {
		return {
			fingerprint: this.fingerprint, ranFor: this.services.clock.monotonic() - this.attemptStartedAt, parts: this.parts, ...this.sender,
		};
	}

	private get sender(): Pick<Suspect, 'clientAccount'> {
		const {clientAccount} = this.services.identity();
		return clientAccount === undefined ? {} : {clientAccount: clientAccountFingerprintOf(clientAccount)};
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
