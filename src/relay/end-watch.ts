/**
 * Distinguishes a crash of a replica from a lost connection, and reports which requests of this box the crash cut off.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {getOrCreate} from '../base/get-or-create.js';
import type {Suspect} from '../quarantine/blame.js';
import type {Fingerprint} from '../quarantine/fingerprint.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {Replica} from '../replicas/replica.js';
import type {ProbeResult} from '../replicas/replica-connections.js';
import type {ConnectionBook} from './connection-book.js';
import type {RelayMetrics} from './relay-metrics.js';

/**
 * Milliseconds between a cut connection and the probe of the replica. A process that exits closes its sockets one after the other, and
 * its listening socket may be the last.
 */
const probeDelay = 20;
/** Milliseconds after a cut within which the removal of the replica's entry counts as a crash: more than three heartbeats. */
const explainedWithin = 6000;

/** Dependencies of the detector. */
export type EndWatchServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
	readonly connections: ConnectionBook;
	readonly quarantine: Quarantine;
};

type Cut = {
	readonly at: number;
	readonly suspects: Map<Fingerprint, Suspect>;
	hasEnded: boolean;
	isProbed: boolean;
};

/** Detects crashes of replicas that this box sends requests to. */
export class EndWatch {
	/**
	 * @param services - Its dependencies.
	 * @returns A detector without recorded cuts.
	 */
	static create(services: EndWatchServices): EndWatch {
		return new EndWatch(services);
	}

	/** Cut connections, keyed by the start of the replica. */
	private readonly cuts = new Map<string, Cut>();

	private constructor(private readonly services: EndWatchServices) {}

	/**
	 * Records that the connection to a replica was cut during a request. A replica that is leaving exits as planned, so its requests are
	 * not suspected.
	 *
	 * @param replica - The replica.
	 * @param suspect - The request.
	 */
	noteCut(replica: Replica, suspect: Suspect): void {
		const known = this.cuts.get(replica.start);
		if (replica.isLeaving && !known) {
			return;
		}

		const cut = getOrCreate(this.cuts, replica.start, () => ({
			at: this.services.clock.monotonic(), suspects: new Map<Fingerprint, Suspect>(), hasEnded: false, isProbed: false,
		}));
		cut.suspects.set(suspect.fingerprint, suspect);
		if (cut.hasEnded) {
			this.tell(replica, cut);
		} else if (!cut.isProbed) {
			cut.isProbed = true;
			Effect.runFork(this.probe(replica, cut));
		}
	}

	/** @param replica - A replica whose entry was removed; after a recent cut this counts as a crash. */
	noteGone(replica: Replica): void {
		const cut = this.cuts.get(replica.start);
		this.cuts.delete(replica.start);
		if (cut && !cut.hasEnded && this.services.clock.monotonic() - cut.at < explainedWithin) {
			this.tell(replica, cut);
		}
	}

	/**
	 * @param fingerprint - A request whose connection was cut.
	 * @returns Whether a probe is still to decide if the replica crashed.
	 */
	isLookingFor(fingerprint: Fingerprint): boolean {
		return [...this.cuts.values()].some(({isProbed, hasEnded, suspects}) => isProbed && !hasEnded && suspects.has(fingerprint));
	}

	private probe(replica: Replica, cut: Cut): Effect.Effect<void> {
		const {connections} = this.services;
		return Effect.sleep(probeDelay).pipe(
			Effect.andThen(Effect.suspend(() => this.cuts.get(replica.start) === cut ? connections.of(replica).probe() : Effect.succeed<ProbeResult>('silent'))),
			Effect.map(result => {
				cut.isProbed = false;
				if (this.cuts.get(replica.start) !== cut) {
					return;
				}

				if (result === 'refused') {
					this.tell(replica, cut);
				} else if (result === 'standing') {
					this.cuts.delete(replica.start);
				}
			}),
		);
	}

	private tell(replica: Replica, cut: Cut): void {
		const {log, metrics, quarantine} = this.services;
		const {entry, start} = replica;
		if (!cut.hasEnded) {
			metrics.replicaEnds.inc({service: entry.service});
		}

		cut.hasEnded = true;
		log.write('replicaEnded', {
			replica: entry.id, start, service: entry.service, software: entry.software, suspects: [...cut.suspects.keys()].join(' '),
		});
		quarantine.noteEnd(replica, [...cut.suspects.values()], cut.at);
	}
}
