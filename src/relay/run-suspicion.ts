/**
 * Tracks whether one request is suspected of crashing replicas: its status before each attempt, and the outcome of each.
 */
import type {Clock} from '../base/clock.js';
import {fingerprintOf, type Fingerprint, type RequestIdentity} from '../quarantine/fingerprint.js';
import type {Quarantine, Standing} from '../quarantine/quarantine.js';
import type {Replica} from '../replicas/replica.js';
import type {EndWatch} from './end-watch.js';

/**
 * Milliseconds after the start of an answer from which a crash of the replica is no longer attributed to the request. Requests that
 * crash a replica do so when they start to run: in six recorded crashes, 51 to 115 ms after the start.
 */
const provenAfter = 2000;

/** Dependencies of the suspicion. */
export type RunSuspicionServices = {
	readonly clock: Clock;
	readonly quarantine: Quarantine;
	readonly ends: EndWatch;
	/** @returns What identifies the request. */
	readonly identity: () => RequestIdentity;
};

/** The suspicion of one request. */
export class RunSuspicion {
	/**
	 * @param services - Its dependencies.
	 * @returns The suspicion of a request without attempts.
	 */
	static create(services: RunSuspicionServices): RunSuspicion {
		return new RunSuspicion(services);
	}

	/** Status of the request when it was last looked up. */
	standing: Standing = 'sound';
	private wasCut = false;
	/** Start of the current attempt in monotonic milliseconds. */
	private begunAt = 0;
	private made: Fingerprint | undefined;
	/** Monotonic milliseconds at which the replica of the current attempt began to answer; `undefined` before. */
	private answeringSince: number | undefined;

	private constructor(private readonly services: RunSuspicionServices) {}

	/** Identifies the request; computed on first use to avoid hashing the body of every request. */
	get fingerprint(): Fingerprint {
		this.made ??= fingerprintOf(this.services.identity());
		return this.made;
	}

	/** The fingerprint if the request was cut or is suspected; otherwise `undefined`. */
	get told(): Fingerprint | undefined {
		return this.wasCut || this.standing !== 'sound' ? this.fingerprint : undefined;
	}

	/** Milliseconds until a quarantined request may run again. */
	get keptFor(): number {
		return this.services.quarantine.keptFor(this.fingerprint);
	}

	/** Whether a request on trial must wait: it is already running on this box, or a probe after its last cut is still pending. */
	get mustWait(): boolean {
		const {quarantine, ends} = this.services;
		return this.standing === 'trial' && (quarantine.isRunning(this.fingerprint) || ends.isLookingFor(this.fingerprint));
	}

	/** @returns The current status of the request. */
	look(): Standing {
		const {quarantine} = this.services;
		this.standing = quarantine.isWatching ? quarantine.standingOf(this.fingerprint) : 'sound';
		return this.standing;
	}

	/**
	 * @param candidates - Replicas that could get the request.
	 * @returns Those that are eligible for a request of this status.
	 */
	bounded(candidates: readonly Replica[]): readonly Replica[] {
		return this.standing === 'sound' ? candidates : this.services.quarantine.bounded(this.fingerprint, this.standing, candidates);
	}

	/**
	 * Records that an attempt begins.
	 *
	 * @param replica - The replica of the attempt.
	 * @returns A function to call when the attempt has ended.
	 */
	begin({start}: Replica): () => void {
		this.answeringSince = undefined;
		this.begunAt = this.services.clock.monotonic();
		return this.standing === 'sound' ? ignore : this.services.quarantine.begin(this.fingerprint, start);
	}

	/** Records that the replica begins to answer. */
	noteAnswering(): void {
		this.answeringSince = this.services.clock.monotonic();
	}

	/** @param replica - The replica whose connection was cut during the attempt. */
	noteCut(replica: Replica): void {
		const {clock, ends} = this.services;
		if (this.answeringSince !== undefined && clock.monotonic() - this.answeringSince > provenAfter) {
			this.noteCompletion();
			return;
		}

		this.wasCut = true;
		ends.noteCut(replica, {fingerprint: this.fingerprint, ranFor: clock.monotonic() - this.begunAt});
	}

	/**
	 * Records that a replica ran the request without crashing. Only requests that may be suspected are recorded, to save memory.
	 */
	noteCompletion(): void {
		const {quarantine} = this.services;
		if (this.wasCut || (quarantine.isWatching && quarantine.isSuspected(this.fingerprint))) {
			quarantine.noteCompletion(this.fingerprint);
		}
	}
}

const ignore = (): void => undefined;
