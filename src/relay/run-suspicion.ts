/**
 * What one request has to do with the ends of replicas: how it stands before each try, and what becomes of each.
 */
import type {Clock} from '../base/clock.js';
import {fingerprintOf, type Fingerprint, type RequestIdentity} from '../quarantine/fingerprint.js';
import type {Quarantine, Standing} from '../quarantine/quarantine.js';
import type {Replica} from '../replicas/replica.js';
import type {EndWatch} from './end-watch.js';

/**
 * Milliseconds of an answer after which a replica that ends is not put down to the request any more: it did not end as the request
 * began to run. 51 to 115 ms after it had begun were seen with those that did (six ends of a recorded day).
 */
const provenAfter = 2000;

/** What it needs. */
export type RunSuspicionServices = {
	readonly clock: Clock;
	readonly quarantine: Quarantine;
	readonly ends: EndWatch;
	/** @returns What tells the request from others. */
	readonly identity: () => RequestIdentity;
};

/** The suspicion of one request. */
export class RunSuspicion {
	/**
	 * @param services - What it needs.
	 * @returns The suspicion of a request that was not tried yet.
	 */
	static create(services: RunSuspicionServices): RunSuspicion {
		return new RunSuspicion(services);
	}

	/** How the request stood before its last try. */
	standing: Standing = 'sound';
	private wasCut = false;
	/** When this try began. */
	private begunAt = 0;
	private made: Fingerprint | undefined;
	/** When the replica of this try began to answer, in monotonic milliseconds. */
	private answeringSince: number | undefined;

	private constructor(private readonly services: RunSuspicionServices) {}

	/** Stands for the request; made when first asked for, since hashing each body would cost for nothing. */
	get fingerprint(): Fingerprint {
		this.made ??= fingerprintOf(this.services.identity());
		return this.made;
	}

	/** Stands for the request once it was cut or is suspected; `undefined` before. */
	get told(): Fingerprint | undefined {
		return this.wasCut || this.standing !== 'sound' ? this.fingerprint : undefined;
	}

	/** Milliseconds until a request that is kept away may run again. */
	get keptFor(): number {
		return this.services.quarantine.keptFor(this.fingerprint);
	}

	/** Whether it has to wait until it has ended at this box, and until it is known what it ended. */
	get mustWait(): boolean {
		const {quarantine, ends} = this.services;
		return this.standing === 'trial' && (quarantine.isRunning(this.fingerprint) || ends.isLookingFor(this.fingerprint));
	}

	/** @returns How the request stands now. */
	look(): Standing {
		const {quarantine} = this.services;
		this.standing = quarantine.isWatching ? quarantine.standingOf(this.fingerprint) : 'sound';
		return this.standing;
	}

	/**
	 * @param candidates - Replicas that may get the request.
	 * @returns Those that it may go to as it stands.
	 */
	bounded(candidates: readonly Replica[]): readonly Replica[] {
		return this.standing === 'sound' ? candidates : this.services.quarantine.bounded(this.fingerprint, this.standing, candidates);
	}

	/**
	 * Notes that a try begins.
	 *
	 * @param replica - Where.
	 * @returns Call it when the try has ended.
	 */
	begin({start}: Replica): () => void {
		this.answeringSince = undefined;
		this.begunAt = this.services.clock.monotonic();
		return this.standing === 'sound' ? ignore : this.services.quarantine.begin(this.fingerprint, start);
	}

	/** Notes that the replica begins to answer. */
	noteAnswering(): void {
		this.answeringSince = this.services.clock.monotonic();
	}

	/** @param replica - The replica at which the try was cut. */
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
	 * Notes that a replica ran the request without ending. Told only of what may be suspected: of all others it would fill the memory for
	 * nothing.
	 */
	noteCompletion(): void {
		const {quarantine} = this.services;
		if (this.wasCut || (quarantine.isWatching && quarantine.isSuspected(this.fingerprint))) {
			quarantine.noteCompletion(this.fingerprint);
		}
	}
}

const ignore = (): void => undefined;
