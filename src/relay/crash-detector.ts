/**
 * Distinguishes a crash of a replica from a lost connection, and reports which requests of this box the crash cut off.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Suspect} from '../quarantine/crash-attribution.js';
import type {Fingerprint} from '../quarantine/fingerprint.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {Replica} from '../replicas/replica.js';
import type {ProbeResult} from '../replicas/replica-connections.js';
import type {ConnectionRegistry} from './connection-registry.js';
import type {RelayMetrics} from './relay-metrics.js';
import type {ReplicaReach} from './replica-reach.js';

/**
 * Milliseconds between a cut connection and the probe of the replica. A process that exits closes its sockets one after the other, and
 * its listening socket may be the last.
 */
const probeDelay = 20;
/** Milliseconds between two probes while this box cannot tell a crash from its own partition. */
const repeatedProbeDelay = 300;
/** Milliseconds after a cut within which the removal of the replica's entry counts as a crash: more than three heartbeats. */
const entryRemovalWindow = 6000;

/** Dependencies of the detector. */
export type CrashDetectorServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
	readonly connections: ConnectionRegistry;
	readonly reach: Pick<ReplicaReach, 'reachesAny'>;
	/**
	 * @param service - Name of a service.
	 * @returns Whether all other boxes report that they can reach none of its replicas either, so that this box is not the only one partitioned.
	 */
	readonly isUnreachableElsewhere: (service: string) => boolean;
	readonly quarantine: Quarantine;
	/** Called after a crash was recorded, so that other boxes learn of it even if this process is killed. */
	readonly onCrash: () => void;
};

type Cut = {
	readonly at: number;
	readonly suspects: Map<Fingerprint, Suspect>;
	hasCrashed: boolean;
	/** Whether the result of a probe is due. */
	isProbing: boolean;
	/** Whether probes are repeated until the replica is known to have crashed or to listen. */
	isWatched: boolean;
	/** Called if the replica turns out to listen. */
	readonly onAlive: Array<() => void>;
};

/** Detects crashes of replicas that this box sends requests to. */
export class CrashDetector {
	/**
	 * @param services - Its dependencies.
	 * @returns A detector without recorded cuts.
	 */
	static create(services: CrashDetectorServices): CrashDetector {
		return new CrashDetector(services);
	}

	/** Cut connections, keyed by the start of the replica. */
	private readonly cuts = new Map<string, Cut>();

	private constructor(private readonly services: CrashDetectorServices) {}

	/**
	 * Records that the connection to a replica was cut during a request. A replica that is leaving exits as planned, so its requests are
	 * not suspected.
	 *
	 * @param replica - The replica.
	 * @param suspect - The request.
	 * @param onAlive - Called if the replica turns out to listen.
	 */
	recordCut(replica: Replica, suspect: Suspect, onAlive: () => void = ignore): void {
		const known = this.cuts.get(replica.start);
		if (replica.isLeaving && !known) {
			return;
		}

		const cut = getOrCreate(this.cuts, replica.start, () => ({
			at: this.services.clock.monotonic(), suspects: new Map<Fingerprint, Suspect>(), hasCrashed: false, isProbing: false, isWatched: false, onAlive: [],
		}));
		cut.suspects.set(suspect.fingerprint, suspect);
		cut.onAlive.push(onAlive);
		if (cut.hasCrashed) {
			this.reportCrash(replica, cut);
			return;
		}

		cut.isProbing = true;
		if (!cut.isWatched) {
			cut.isWatched = true;
			Effect.runFork(this.watch(replica, cut, probeDelay));
		}
	}

	/** @param replica - A replica whose entry was removed; after a recent cut this counts as a crash. */
	recordGone(replica: Replica): void {
		const cut = this.cuts.get(replica.start);
		this.cuts.delete(replica.start);
		if (cut && !cut.hasCrashed && this.services.clock.monotonic() - cut.at < entryRemovalWindow) {
			this.reportCrash(replica, cut);
		}
	}

	/**
	 * @param cause - A request whose connection was cut, or a part of its prompt.
	 * @returns Whether a probe is still to decide if the replica crashed.
	 */
	isProbePending(cause: Fingerprint): boolean {
		return [...this.cuts.values()].some(({isProbing, hasCrashed, suspects}) => isProbing && !hasCrashed
			&& [...suspects.values()].some(({fingerprint, parts}) => fingerprint === cause || parts?.includes(cause)));
	}

	/** Probes the replica until it is known whether it crashed, or until its entry would have been removed. */
	private watch(replica: Replica, cut: Cut, delay: number): Effect.Effect<void> {
		return Effect.sleep(delay).pipe(
			Effect.andThen(Effect.suspend(() => this.isPending(replica, cut) ? this.probe(replica, cut) : Effect.succeed<ProbeResult>('silent'))),
			Effect.flatMap(result => {
				cut.isProbing = false;
				if (!this.isPending(replica, cut)) {
					this.forget(replica, cut);
					return Effect.void;
				}

				if (result === 'silent') {
					return this.watch(replica, cut, repeatedProbeDelay);
				}

				if (result === 'refused') {
					this.reportCrash(replica, cut);
				} else {
					this.cuts.delete(replica.start);
					for (const listener of cut.onAlive) {
						listener();
					}
				}

				return Effect.void;
			}),
		);
	}

	/** Forgets an undecided cut, so that a later one of the same replica is probed anew. */
	private forget({start}: Replica, cut: Cut): void {
		if (this.cuts.get(start) === cut) {
			this.cuts.delete(start);
		}
	}

	private isPending({start}: Replica, cut: Cut): boolean {
		return this.cuts.get(start) === cut && this.services.clock.monotonic() - cut.at < entryRemovalWindow;
	}

	/**
	 * A refusal says nothing about the replica if this box is partitioned from the replicas. If it reaches another one, the replica is probed
	 * once more, since the partition may have ended after the first probe.
	 */
	private probe(replica: Replica, {at}: Cut): Effect.Effect<ProbeResult> {
		const {connections, reach, isUnreachableElsewhere} = this.services;
		const probe = Effect.suspend(() => connections.of(replica).probe());
		return probe.pipe(Effect.flatMap(result => {
			if (result !== 'refused' || isUnreachableElsewhere(replica.entry.service)) {
				return Effect.succeed(result);
			}

			return reach.reachesAny(at).pipe(Effect.flatMap(isReachable => isReachable ? probe : Effect.succeed<ProbeResult>('silent')));
		}));
	}

	private reportCrash(replica: Replica, cut: Cut): void {
		const {log, metrics, quarantine, onCrash} = this.services;
		const {entry, start} = replica;
		if (!cut.hasCrashed) {
			metrics.replicaCrashes.inc({service: entry.service});
		}

		cut.hasCrashed = true;
		const suspects = [...cut.suspects.values()];
		log.write('replicaEnded', {
			replica: entry.id, start, service: entry.service, software: entry.software, suspects: [...cut.suspects.keys()].join(' '),
			parts: suspects.map(({parts}) => parts?.join(',') ?? '').join(' '),
		});
		quarantine.recordCrash(replica, suspects, cut.at);
		onCrash();
	}
}

const ignore = (): void => undefined;
