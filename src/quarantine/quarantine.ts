/**
 * Quarantines requests that crash replicas (poison requests), at all boxes.
 *
 * @remarks Source: docs/DESIGN.md, "Requests that end replicas".
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import {rankOwners, hashFraction} from '../base/rendezvous.js';
import type {Replica} from '../replicas/replica.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import {
	attributeCrashes, provenPartAllowance, type Attribution, type Suspect,
} from './crash-attribution.js';
import {
	CrashLedger, type CrashLedgerUpdate, type CrashUpdate, type KnownCrash, crashLifetime,
} from './crash-ledger.js';
import {partFingerprintOf, Fingerprint} from './fingerprint.js';

/**
 * Status of a request.
 * - `sound`: no crash is attributed to it.
 * - `suspect`: one crash is attributed to it. It runs on other replicas than other suspects, so that the next crash distinguishes them.
 * - `trial`: two crashes are attributed to it, or it cannot be distinguished from another request. It runs once at a time, at a replica
 *   with few other requests.
 * - `quarantined`: it is not run.
 */
export type QuarantineStatus = 'sound' | 'suspect' | 'trial' | 'quarantined';

/** The status of a request, and what it is based on. */
export type Standing = {
	readonly status: QuarantineStatus;
	/** What the crashes are attributed to: the request itself, or a part of its prompt. */
	readonly cause: Fingerprint;
	/** Parts of its prompt that crash replicas; empty where the request itself does, or none is suspected. */
	readonly parts: readonly Fingerprint[];
};

/** What is quarantined: a request, or all requests with certain parts in their prompts. */
export type QuarantinedCause = {
	readonly cause: Fingerprint;
	/** The parts; empty for a single request. */
	readonly parts: readonly Fingerprint[];
	/** Starts of the replicas that crashed. */
	readonly starts: readonly string[];
	/** Milliseconds since the last of these crashes. */
	readonly lastCrashAge: number;
	/** Milliseconds until the next trial; infinite if there is none before the software is replaced. */
	readonly untilTrial: number;
};

/** Statuses in ascending order of severity. */
const statuses: readonly QuarantineStatus[] = ['sound', 'suspect', 'trial', 'quarantined'];
/** Max. parts whose completions are remembered, since clients may send any number of distinct parts. Past it the least recent is dropped. */
const maxCompletedParts = 4096;
/** Milliseconds of an answer after which a part that replicas have completed before did not crash the replica. */
export const survivalTime = 500;
/** Max. requests and parts whose crashes are saved; crashes saved of each, as many as are needed for the quarantine; requests saved of each crash. */
const maxSavedCauses = 32;
const maxSavedCrashes = 7;
const maxSavedSuspects = 2;
/** Min. client accounts at whose requests replicas crashed for a quarantine to apply to all client accounts. */
const minClientAccounts = 2;
/** Min. crashes attributed to a request for a trial. */
const minTrialCrashes = 2;
/** Min. crashes for the quarantine, where replicas crash for no other cause. */
const minQuarantineCrashes = 3;
/**
 * Min. crashes for the quarantine where replicas crash all the time, since an innocent request may then have been at three crashes by
 * chance, and where another request was at all of the crashes.
 */
const maxQuarantineThreshold = 5;
/**
 * Milliseconds after a crash within which the reports of all boxes on it arrive. A box that can reach no replica reports a crash only when
 * the entry of the replica is removed.
 */
const reportTime = 7000;
/** Milliseconds before the last crash of a request in which crashes without it count towards the probability of a coincidence. */
const coincidenceWindow = 10_000;
/**
 * Milliseconds until a quarantined request gets another trial, since it may be innocent. Spread by fingerprint up to twice the value, so
 * that requests that were quarantined together are not tried together.
 */
const firstTrialDelay = 20_000;
/** Milliseconds after the last crash from which a quarantined part is tried once, and after which another box may try it. */
const earlyTrialDelay = 1000;
const earlyTrialSlot = 1500;
/** Crashes attributed to a part from which it is not tried early. */
const maxCrashesForEarlyTrial = 5;
/** Milliseconds after a replacement of the software over which the boxes may try what crashed its replicas. */
const replacementTrialSpread = 10_000;
/** Trials after such a delay: each crashes a replica if the quarantine was right. */
const maxTrials = 2;
/** Factor by which the delay grows with each further trial. */
const trialDelayGrowth = 10;
/** Milliseconds after a reported crash from which bytes of the same start prove that the replica is alive: earlier bytes may have been buffered. */
const livenessMargin = 500;
/** Milliseconds for which an assessment is cached while the ledger does not change; answers of replicas change it too. */
const assessmentLifetime = 100;

/** Dependencies of the quarantine. */
export type QuarantineServices = {
	/** Name of this box; absent where there is only one. */
	readonly box?: string;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly replicas: ReplicaDirectory;
	/** @returns Whether this box is the one of all reachable boxes that runs the trial of a quarantined request. */
	readonly isOwner: (fingerprint: Fingerprint) => boolean;
	/** @returns Fingerprints that an operator has exempted from the quarantine. */
	readonly released: () => readonly string[];
};

type Assessment = {
	readonly attributions: ReadonlyMap<Fingerprint, Attribution>;
	readonly crashes: ReadonlyMap<string, KnownCrash>;
	readonly quarantined: ReadonlySet<Fingerprint>;
	/** Parts among these that crashes for other reasons cannot explain. */
	readonly certain: ReadonlySet<Fingerprint>;
	readonly changes: number;
	readonly at: number;
};

/** The quarantine of one box. */
export class Quarantine {
	/**
	 * @param services - Its dependencies.
	 * @returns A quarantine without any requests.
	 */
	static create(services: QuarantineServices): Quarantine {
		return new Quarantine(services);
	}

	private readonly ledger: CrashLedger;
	/** Starts of the replicas at which this box runs requests that are not sound, by request. */
	private readonly running = new Map<Fingerprint, string[]>();
	/** Requests and parts whose quarantine has been logged. */
	private logged: ReadonlySet<Fingerprint> = new Set();
	private assessment: Assessment | undefined;
	/** Parts on which replicas have completed answers of this box, with the monotonic milliseconds at which the last of these began. */
	private readonly completedParts = new Map<Fingerprint, number>();
	/** Called after the ledger has changed. */
	private readonly listeners = new Set<() => void>();
	/** Changes of the ledger that the listeners were called for. */
	private notifiedChanges = 0;
	/** Monotonic milliseconds at which this box first knew that all replicas run other software than those that crashed. */
	private readonly replacedAt = new Map<Fingerprint, number>();
	/** Fingerprints of parts, since most requests name the same ones. */
	private readonly partFingerprints = new Map<string, Fingerprint>();

	private constructor(private readonly services: QuarantineServices) {
		this.ledger = CrashLedger.create(services.clock);
	}

	/** Whether any request is suspected; otherwise callers can skip computing fingerprints. */
	get hasSuspects(): boolean {
		return !this.ledger.isEmpty;
	}

	/**
	 * @param fingerprint - A request.
	 * @returns Whether a replica crashed while it ran the request, and no replica has completed it since.
	 */
	isSuspected(fingerprint: Fingerprint): boolean {
		return this.ledger.isSuspected(fingerprint);
	}

	/** Fingerprints of the requests and parts that are quarantined now. */
	get quarantined(): readonly Fingerprint[] {
		return this.hasSuspects ? [...this.assess().attributions.keys()].filter(cause => this.statusOf(cause) === 'quarantined') : [];
	}

	/** Details of what is quarantined now, for operators. */
	get details(): readonly QuarantinedCause[] {
		return this.quarantined.map(cause => {
			const {starts, parts} = this.assess().attributions.get(cause)!;
			return {
				cause, parts, starts, lastCrashAge: this.sinceLastCrash(starts), untilTrial: this.timeUntilTrial(cause),
			};
		});
	}

	/** The crashes that what is quarantined now is attributed to, and the completions of their parts, as far as other boxes need them to decide the same. */
	get causes(): CrashLedgerUpdate {
		const crashes = this.causingCrashes();
		const parts = new Set(crashes.flatMap(({suspects}) => suspects.flatMap(suspect => suspect.parts ?? [])));
		const now = this.services.clock.monotonic();
		const completions = [...parts].flatMap(part => {
			const at = this.ledger.completedAt(part);
			return at === undefined ? [] : {fingerprint: part, age: now - at};
		});
		return {crashes, completions};
	}

	/**
	 * @param service - Name of a service.
	 * @param part - Part of a prompt.
	 * @returns Its fingerprint.
	 */
	partFingerprint(service: string, part: string): Fingerprint {
		const fingerprint = getOrCreate(this.partFingerprints, `${service} ${part}`, () => partFingerprintOf(service, part));
		evictOldest(this.partFingerprints, maxCompletedParts);
		return fingerprint;
	}

	/**
	 * @param request - A request.
	 * @returns The most severe status that itself or the parts of its prompt give it.
	 */
	standingOf({fingerprint, parts = [], clientAccount}: Omit<Suspect, 'ranFor'>): Standing {
		const own: Standing = {status: this.statusOf(fingerprint), cause: fingerprint, parts: []};
		if (parts.length === 0 || !this.hasSuspects) {
			return own;
		}

		const ofParts = [...this.assess().attributions]
			.filter(([, attribution]) => attribution.parts.length > 0 && attribution.parts.every(part => parts.includes(part)))
			.map(([cause, attribution]) => ({status: this.statusFor(cause, attribution, clientAccount), cause, parts: attribution.parts}));
		const [worst] = [own, ...ofParts].sort((left, right) => statuses.indexOf(right.status) - statuses.indexOf(left.status));
		return worst!;
	}

	/**
	 * @param cause - A request, or a part of prompts.
	 * @returns Its status.
	 */
	statusOf(cause: Fingerprint): QuarantineStatus {
		if (!this.isSuspectedCause(cause) || this.services.released().includes(cause)) {
			return 'sound';
		}

		const {attributions, crashes, quarantined} = this.assess();
		const attribution = attributions.get(cause);
		if (!attribution) {
			return 'sound';
		}

		if (attribution.starts.length < minTrialCrashes) {
			return 'suspect';
		}

		const isOutdated = attribution.starts.every(start => this.isSoftwareReplaced(crashes.get(start)!));
		if ((isOutdated && this.isReplacementTrialDue(cause)) || !quarantined.has(cause) || this.isTrialDue(cause, attribution)) {
			return 'trial';
		}

		this.logOnce(cause, attribution);
		return 'quarantined';
	}

	/**
	 * @param fingerprint - A quarantined request.
	 * @returns Milliseconds until its next trial; infinite if it gets none before its software is replaced.
	 */
	timeUntilTrial(fingerprint: Fingerprint): number {
		const {attributions, crashes} = this.assess();
		const crashTimes = (attributions.get(fingerprint)?.starts ?? []).map(start => crashes.get(start)!.crashedAt).sort((left, right) => right - left);
		const [last = 0, before = last] = crashTimes;
		const gap = last - before;
		// The first crashes were none of trials, however long they were apart.
		const trials = crashTimes.slice(0, -minQuarantineCrashes).filter((crashedAt, index) => crashedAt - crashTimes[index + 1]! >= firstTrialDelay).length;
		if (trials >= maxTrials) {
			return Number.POSITIVE_INFINITY;
		}

		// After a shorter gap the last crash was not that of a trial after quarantine.
		const delay = gap < firstTrialDelay ? firstTrialDelay : gap * trialDelayGrowth;
		return Math.max(0, last + Math.min(delay * (1 + hashFraction(fingerprint)), crashLifetime) - this.services.clock.monotonic());
	}

	/**
	 * @param fingerprint - A request.
	 * @returns Whether this box is running it now, with a status other than `sound`.
	 */
	isRunning(fingerprint: Fingerprint): boolean {
		return this.running.has(fingerprint);
	}

	/**
	 * @param fingerprint - A request.
	 * @param status - Its status.
	 * @param candidates - Replicas that could run it; at least one.
	 * @returns The replicas that its status permits: a single one for a trial, none where all are running other requests that are not sound.
	 * Boxes that run trials of different requests at once choose different replicas without communication, so that the next crash
	 * distinguishes them.
	 */
	eligibleReplicas(fingerprint: Fingerprint, status: QuarantineStatus, candidates: readonly Replica[]): readonly Replica[] {
		if (status === 'sound') {
			return candidates;
		}

		const withoutSuspects = this.withoutSuspects(candidates);
		if (status === 'suspect') {
			return withoutSuspects.length > 0 ? withoutSuspects : candidates;
		}

		return withoutSuspects.length > 0 ? [trialReplica(fingerprint, withoutSuspects)] : [];
	}

	/**
	 * Records that a request that is not sound begins to run at a replica.
	 *
	 * @param fingerprint - The request.
	 * @param start - Start of the replica.
	 * @returns A function to call when the run has ended.
	 */
	begin(fingerprint: Fingerprint, start: string): () => void {
		this.running.set(fingerprint, [...this.running.get(fingerprint) ?? [], start]);
		return () => {
			const starts = this.running.get(fingerprint) ?? [];
			const left = starts.filter((_, index) => index !== starts.indexOf(start));
			if (left.length > 0) {
				this.running.set(fingerprint, left);
			} else {
				this.running.delete(fingerprint);
			}
		};
	}

	/**
	 * Records a crash that this box observed.
	 *
	 * @param replica - The replica.
	 * @param suspects - Requests that the crash cut off.
	 * @param crashedAt - Time at which the first request was cut off, in monotonic milliseconds.
	 */
	recordCrash(replica: Replica, suspects: readonly Suspect[], crashedAt: number): void {
		const {start, entry: {service, software}} = replica;
		this.ledger.recordCrash({
			start, service, software, suspects,
		}, crashedAt);
		this.reportCompletedParts(suspects);
		this.notify();
	}

	/**
	 * Records that a replica ran a request without a crash.
	 *
	 * @param fingerprint - The request.
	 */
	recordCompletion(fingerprint: Fingerprint): void {
		this.ledger.recordCompletion(fingerprint);
	}

	/**
	 * Records that a replica completed an answer.
	 *
	 * @param parts - Parts of the prompt that other requests may share.
	 * @param beganAt - Monotonic milliseconds at which the answer began; the replica did not crash on the parts then.
	 */
	recordPartCompletion(parts: readonly Fingerprint[], beganAt: number): void {
		for (const part of parts) {
			// Inserted again, so that the most recent are last.
			this.completedParts.delete(part);
			this.completedParts.set(part, beganAt);
		}

		evictOldest(this.completedParts, maxCompletedParts);
		if (this.hasSuspects) {
			this.shareCompletedParts(parts);
		}
	}

	/**
	 * Records that a replica has been answering for {@link survivalTime}. That is evidence for parts that replicas have completed before; others
	 * may still crash it.
	 *
	 * @param parts - Parts of the prompt that other requests may share.
	 * @param beganAt - Monotonic milliseconds at which the answer began.
	 */
	recordPartSurvival(parts: readonly Fingerprint[], beganAt: number): void {
		const proven = parts.filter(part => this.ledger.completedAt(part) !== undefined);
		if (proven.length > 0) {
			this.recordPartCompletion(proven, beganAt);
		}
	}

	/** @param update - The update that another box sent. */
	merge(update: CrashLedgerUpdate): void {
		this.ledger.merge(update);
		this.reportCompletedParts(update.crashes.flatMap(({suspects}) => suspects));
		this.notify();
	}

	/**
	 * @param listener - Called after crashes or completions have changed what is known.
	 * @returns A function that removes the listener.
	 */
	onDidUpdate(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/**
	 * @param isWhole - Whether to include all that other boxes must know, not only recent crashes.
	 * @param maxPerSort - Max. crashes of either sort (own and needed).
	 * @returns The update to send to other boxes; `undefined` where there is nothing to send.
	 */
	collectUpdate(isWhole: boolean, maxPerSort: number): CrashLedgerUpdate | undefined {
		return this.ledger.collectUpdate(isWhole, maxPerSort);
	}

	/** A client account cannot get a part of another one quarantined: its requests have to crash replicas too. */
	private statusFor(cause: Fingerprint, {clientAccounts}: Attribution, clientAccount: Fingerprint | undefined): QuarantineStatus {
		const status = this.statusOf(cause);
		const isConcerned = clientAccounts.size >= minClientAccounts || clientAccount === undefined || clientAccounts.has(clientAccount);
		return status === 'quarantined' && !isConcerned ? 'trial' : status;
	}

	private isSuspectedCause(cause: Fingerprint): boolean {
		return this.ledger.isSuspected(cause) || this.ledger.isSuspectedPart(cause);
	}

	private notify(): void {
		if (this.ledger.changes === this.notifiedChanges) {
			return;
		}

		this.notifiedChanges = this.ledger.changes;
		for (const listener of this.listeners) {
			listener();
		}
	}

	/** Other boxes must know that replicas have completed answers on the parts of the requests at a crash. */
	private reportCompletedParts(suspects: readonly Suspect[]): void {
		this.shareCompletedParts(suspects.flatMap(({parts = []}) => parts));
	}

	/** Sends completions of suspected parts only, and only if they are new evidence: other parts have thousands a second. */
	private shareCompletedParts(parts: readonly Fingerprint[]): void {
		for (const part of new Set(parts)) {
			const beganAt = this.completedParts.get(part);
			if (beganAt !== undefined && this.ledger.isSuspectedPart(part) && this.ledger.isNews(part, beganAt)) {
				this.ledger.recordCompletion(part, beganAt);
			}
		}
	}

	private causingCrashes(): readonly CrashUpdate[] {
		const now = this.services.clock.monotonic();
		const {attributions, crashes, quarantined} = this.assess();
		const causing = [...quarantined].slice(0, maxSavedCauses).flatMap(cause => attributions.get(cause)!.starts.slice(-maxSavedCrashes).map(start => ({cause, crash: crashes.get(start)!})));
		return causing.map(({cause, crash: {crashedAt, suspects, ...crash}}) => ({
			...crash,
			age: now - crashedAt,
			suspects: suspects.filter(({fingerprint, parts}) => fingerprint === cause || parts?.includes(cause)).slice(0, maxSavedSuspects),
		}));
	}

	/** Only one box runs the trial, so that it crashes at most one replica. */
	private isTrialDue(cause: Fingerprint, attribution: Attribution): boolean {
		return (this.timeUntilTrial(cause) === 0 && this.services.isOwner(cause)) || this.isEarlyTrialDue(cause, attribution);
	}

	/**
	 * A part that many requests share is tried soon unless it is certain to be the cause, since all of them are refused meanwhile. The box
	 * changes with each time slot, since not each of them receives such requests.
	 */
	private isEarlyTrialDue(cause: Fingerprint, {parts, starts, isProven}: Attribution): boolean {
		const sinceLastCrash = this.sinceLastCrash(starts);
		const isEarly = parts.length > 0 && !this.assess().certain.has(cause) && starts.length < maxCrashesForEarlyTrial + (isProven ? provenPartAllowance : 0) && sinceLastCrash >= earlyTrialDelay;
		return isEarly && this.services.isOwner(Fingerprint(`${cause} ${Math.floor(sinceLastCrash / earlyTrialSlot)}`));
	}

	/** Boxes try a cause one after the other, since a trial is known to all boxes soon, and not each of them receives such requests. */
	private isReplacementTrialDue(cause: Fingerprint): boolean {
		const now = this.services.clock.monotonic();
		const replacedAt = getOrCreate(this.replacedAt, cause, () => now);
		evictOldest(this.replacedAt, maxSavedCauses);
		return this.services.isOwner(cause) || now - replacedAt >= replacementTrialSpread * hashFraction(`${this.services.box ?? ''} ${cause}`);
	}

	private sinceLastCrash(starts: readonly string[]): number {
		const {crashes} = this.assess();
		return this.services.clock.monotonic() - Math.max(...starts.map(start => crashes.get(start)!.crashedAt));
	}

	/** Filters out replicas at which this box runs a request that is not sound. */
	private withoutSuspects(candidates: readonly Replica[]): readonly Replica[] {
		const occupied = new Set([...this.running.values()].flat());
		return candidates.filter(({start}) => !occupied.has(start));
	}

	private assess(): Assessment {
		const now = this.services.clock.monotonic();
		const {changes} = this.ledger;
		if (this.assessment?.changes !== changes || now - this.assessment.at > assessmentLifetime) {
			const crashes = this.confirmedCrashes();
			const attributions = attributeCrashes(crashes, part => this.ledger.completedAt(part));
			this.assessment = {
				attributions, crashes: new Map(crashes.map(crash => [crash.start, crash])), ...this.judge(attributions, crashes), changes, at: now,
			};
		}

		return this.assessment;
	}

	/** Requests with the most crashes come first; the crashes of a quarantined request no longer raise the threshold of the next ones. */
	private judge(attributions: ReadonlyMap<Fingerprint, Attribution>, crashes: readonly KnownCrash[]): Pick<Assessment, 'quarantined' | 'certain'> {
		const quarantined = new Set<Fingerprint>();
		const certain = new Set<Fingerprint>();
		let unexplained = crashes;
		for (const [fingerprint, attribution] of attributions) {
			const {starts, isShared, isProven, isContrasted} = attribution;
			const others = this.otherCrashes(starts, unexplained);
			const threshold = isShared ? maxQuarantineThreshold : this.crashThreshold(others) + (this.mayHaveRival(attribution, crashes) ? 1 : 0);
			if (starts.length >= Math.min(maxQuarantineThreshold, threshold) + (isProven ? provenPartAllowance : 0)) {
				quarantined.add(fingerprint);
				if (isContrasted && others.length === 0) {
					certain.add(fingerprint);
				}

				unexplained = unexplained.filter(({start}) => !starts.includes(start));
			}
		}

		return {quarantined, certain};
	}

	/** Whether another request may be the cause, since a box that ran it may not have reported all of these crashes yet. */
	private mayHaveRival({starts, hasRival}: Attribution, crashes: readonly KnownCrash[]): boolean {
		const reportedFrom = this.services.clock.monotonic() - reportTime;
		return hasRival && crashes.some(({start, crashedAt}) => starts.includes(start) && crashedAt > reportedFrom);
	}

	/**
	 * More crashes than a request that is always running at one of the replicas would be at by chance. Crashes whose requests have all
	 * completed since count too. Crashes after the last one of the request do not count: otherwise a quarantined request would run again
	 * as soon as replicas crash for another reason.
	 */
	private crashThreshold(others: readonly KnownCrash[]): number {
		const replicas = Math.max(1, this.services.replicas.ready(others[0]?.service ?? '').length);
		return Math.min(maxQuarantineThreshold, minQuarantineCrashes + Math.round(others.length / replicas));
	}

	/** Crashes of the same service with none of the given starts, shortly before the last of these. */
	private otherCrashes(starts: readonly string[], crashes: readonly KnownCrash[]): readonly KnownCrash[] {
		const own = crashes.filter(({start}) => starts.includes(start));
		const last = Math.max(...own.map(({crashedAt}) => crashedAt));
		return crashes.filter(({start, service, crashedAt}) => !starts.includes(start) && service === own[0]?.service && crashedAt <= last && last - crashedAt < coincidenceWindow);
	}

	/** Drops crashes of replicas that have answered since: a box that is partitioned reports live replicas as crashed. */
	private confirmedCrashes(): readonly KnownCrash[] {
		const answeredAt = new Map(this.services.replicas.all.map(replica => [replica.start, replica.lastAnsweredAt]));
		return this.ledger.crashes.filter(({start, crashedAt}) => (answeredAt.get(start) ?? Number.NEGATIVE_INFINITY) <= crashedAt + livenessMargin);
	}

	/** Whether all ready replicas of the service run other software by now, which may handle the request without a crash. */
	private isSoftwareReplaced({service, software}: KnownCrash): boolean {
		const ready = this.services.replicas.ready(service);
		return ready.length > 0 && ready.every(({entry}) => entry.software !== software);
	}

	private logOnce(cause: Fingerprint, {starts, parts}: Attribution): void {
		if (!this.logged.has(cause)) {
			this.logged = new Set([...this.logged, cause].filter(known => this.isSuspectedCause(known)));
			this.services.log.write('requestQuarantined', {fingerprint: cause, parts: parts.join(' '), starts: starts.join(' ')});
		}
	}
}

/** Picks one of the half of the replicas with the fewest requests, so that a crash cuts off few. */
function trialReplica(fingerprint: Fingerprint, candidates: readonly Replica[]): Replica {
	const byWork = candidates
		.map(replica => ({replica, requests: replica.work.requests}))
		.sort((left, right) => left.requests - right.requests)
		.slice(0, Math.ceil(candidates.length / 2));
	const [best] = rankOwners(fingerprint, byWork.map(({replica}) => replica.start));
	return byWork.find(({replica}) => replica.start === best)!.replica;
}
