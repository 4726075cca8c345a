/**
 * Whether this box can open connections to the replicas of a service. A network partition between one box and all replicas is told from
 * failures of single replicas by connecting to several of them at once.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {getOrCreate} from '../base/get-or-create.js';
import {sampleOf} from '../base/sample.js';
import type {Replica} from '../replicas/replica.js';
import type {ConnectionOutcome, ProbeResult} from '../replicas/replica-connections.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {ConnectionRegistry} from './connection-registry.js';
import type {RelayMetrics} from './relay-metrics.js';

/** Replicas that are probed at once to find out whether any can be reached. */
const maxProbed = 12;
/** Replicas that are probed at once while none could be reached before. */
const maxProbedAgain = 3;
/** Milliseconds between two probes while no replica can be reached. */
const probeInterval = 200;
/** Consecutive successful probes after which the replicas count as reachable again: with packet loss, single ones succeed. */
const successesUntilReachable = 2;
/** Minimum milliseconds for which a service counts as unreachable, so that packet loss does not change the state many times a second. */
const minUnreachableTime = 1000;
/** Milliseconds after a probe that reached a replica in which failures do not start another. */
const probePause = 1000;
/** Milliseconds between two probes for silent requests of a service. */
const silenceProbeInterval = 500;
/** Replicas of a service that refuse connections, without one that accepts, before several are probed: a single one has usually crashed. */
const refusalsBeforeProbe = 2;

/** Dependencies of the reach. */
export type ReplicaReachServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
	readonly replicas: ReplicaDirectory;
	readonly connections: ConnectionRegistry;
};

/** What is known of one service. */
type ServiceReach = {
	/** Monotonic milliseconds of the last new connection; minus infinity before the first. */
	lastStandingAt: number;
	/** Starts of the replicas that refused connections since. */
	readonly refusing: Set<string>;
	isProbing: boolean;
	/** Monotonic milliseconds of the last probe for a silent request. */
	silenceProbedAt: number;
	/** Monotonic milliseconds from which on failures start a probe. */
	probesFrom: number;
	/** Monotonic milliseconds since when no replica can be reached; `undefined` if one can. */
	unreachableSince: number | undefined;
	successes: number;
};

/** Tells which services this box can reach. */
export class ReplicaReach {
	/**
	 * @param services - Its dependencies.
	 * @returns A reach that assumes that all replicas can be reached.
	 */
	static create(services: ReplicaReachServices): ReplicaReach {
		return new ReplicaReach(services);
	}

	private readonly byService = new Map<string, ServiceReach>();
	/** Resumes {@link watch} when a service becomes unreachable. */
	private wake: (() => void) | undefined;

	private constructor(private readonly services: ReplicaReachServices) {
		services.connections.onDidConnect((replica, outcome) => {
			this.record(replica, outcome);
		});
	}

	/** Services of which this box can reach no replica. */
	get unreachable(): readonly string[] {
		return [...this.byService].filter(([, {unreachableSince}]) => unreachableSince !== undefined).map(([service]) => service);
	}

	/**
	 * @param service - Name of a service.
	 * @returns Whether this box can open no connection to any of its replicas.
	 */
	isUnreachable(service: string): boolean {
		return this.byService.get(service)?.unreachableSince !== undefined;
	}

	/**
	 * @param since - Monotonic milliseconds.
	 * @returns Whether a replica of any service has accepted a connection since then, or accepts one now.
	 */
	reachesAny(since: number): Effect.Effect<boolean> {
		return Effect.suspend(() => {
			const hasReached = [...this.byService.values()].some(({lastStandingAt}) => lastStandingAt > since);
			const listed = this.services.replicas.all.filter(({isLeaving}) => !isLeaving);
			return hasReached ? Effect.succeed(true) : this.probeSome(listed, maxProbed).pipe(Effect.map(results => results.includes('standing')));
		});
	}

	/** @returns An effect that probes the services that are unreachable, until they are reachable again. */
	watch(): Effect.Effect<never> {
		return Effect.forever(this.waitUntilUnreachable().pipe(
			Effect.andThen(Effect.sleep(probeInterval)),
			Effect.andThen(Effect.suspend(() => Effect.all(this.unreachable.map(service => this.probeAgain(service)), {concurrency: 'unbounded'}))),
		));
	}

	/**
	 * Records that a request has got no answer for long. An open connection does not show whether it still delivers data, so that a new one is
	 * opened, unless another replica of the service has answered meanwhile.
	 *
	 * @param replica - The replica of the request.
	 * @param sentAt - Monotonic milliseconds at which the request was sent.
	 */
	recordSilence(replica: Replica, sentAt: number): void {
		const {clock, replicas, connections} = this.services;
		const {service} = replica.entry;
		const reach = this.of(service);
		const hasAnswered = replicas.ready(service).some(({lastAnsweredAt}) => lastAnsweredAt > sentAt);
		const now = clock.monotonic();
		const isDue = now - reach.silenceProbedAt >= silenceProbeInterval && reach.lastStandingAt < sentAt;
		if (!hasAnswered && isDue && !reach.isProbing && reach.unreachableSince === undefined) {
			reach.silenceProbedAt = now;
			Effect.runFork(connections.of(replica).probe());
		}
	}

	private waitUntilUnreachable(): Effect.Effect<void> {
		return Effect.callback<void>(resume => {
			if (this.unreachable.length > 0) {
				resume(Effect.void);
				return;
			}

			this.wake = () => {
				resume(Effect.void);
			};
		});
	}

	private record({entry: {service}, start}: Replica, outcome: ConnectionOutcome): void {
		const now = this.services.clock.monotonic();
		const reach = this.of(service);
		if (outcome === 'standing') {
			reach.lastStandingAt = now;
			reach.refusing.clear();
			return;
		}

		if (outcome === 'refused') {
			reach.refusing.add(start);
		}

		const isSuspicious = outcome !== 'refused' || reach.refusing.size >= Math.min(refusalsBeforeProbe, this.services.replicas.ready(service).length);
		if (isSuspicious && !reach.isProbing && now >= reach.probesFrom && reach.unreachableSince === undefined) {
			Effect.runFork(this.probe(service, reach));
		}
	}

	/** Probes several replicas at once. If none can be reached, the service counts as unreachable. */
	private probe(service: string, reach: ServiceReach): Effect.Effect<void> {
		return Effect.suspend(() => {
			reach.isProbing = true;
			const {lastStandingAt} = reach;
			return this.probeSome(this.services.replicas.ready(service), maxProbed).pipe(Effect.map(results => {
				reach.isProbing = false;
				if (results.length > 0 && reach.lastStandingAt === lastStandingAt) {
					this.markUnreachable(service, reach, results);
				} else {
					reach.probesFrom = this.services.clock.monotonic() + probePause;
				}
			}));
		});
	}

	private probeAgain(service: string): Effect.Effect<void> {
		return this.probeSome(this.services.replicas.ready(service), maxProbedAgain).pipe(Effect.map(results => {
			const reach = this.of(service);
			reach.successes = results.includes('standing') ? reach.successes + 1 : 0;
			const isLongEnough = this.services.clock.monotonic() - (reach.unreachableSince ?? 0) >= minUnreachableTime;
			if (results.length === 0 || (reach.successes >= successesUntilReachable && isLongEnough)) {
				this.markReachable(service, reach);
			}
		}));
	}

	private probeSome(replicas: readonly Replica[], count: number): Effect.Effect<readonly ProbeResult[]> {
		const {connections} = this.services;
		return Effect.all(sampleOf(replicas, count).map(replica => connections.of(replica).probe()), {concurrency: 'unbounded'});
	}

	private markUnreachable(service: string, reach: ServiceReach, results: readonly ProbeResult[]): void {
		const {clock, log, metrics, replicas, connections} = this.services;
		const now = clock.monotonic();
		reach.unreachableSince = now;
		reach.successes = 0;
		// Requests that cannot be retried would be lost on a connection that no longer delivers data.
		for (const replica of replicas.ready(service)) {
			connections.of(replica).closeIdle();
		}

		metrics.unreachableServices.set({service}, 1);
		log.write('replicasUnreachable', {
			service,
			probed: results.length,
			refused: results.filter(result => result === 'refused').length,
			sinceConnection: Number.isFinite(reach.lastStandingAt) ? Math.round(now - reach.lastStandingAt) : undefined,
		});
		this.wake?.();
		this.wake = undefined;
	}

	private markReachable(service: string, reach: ServiceReach): void {
		const {clock, log, metrics} = this.services;
		const duration = clock.monotonic() - (reach.unreachableSince ?? 0);
		reach.unreachableSince = undefined;
		reach.refusing.clear();
		metrics.unreachableServices.set({service}, 0);
		log.write('replicasReachable', {service, after: Math.round(duration)});
	}

	private of(service: string): ServiceReach {
		return getOrCreate(this.byService, service, () => ({
			lastStandingAt: Number.NEGATIVE_INFINITY,
			refusing: new Set<string>(),
			isProbing: false,
			silenceProbedAt: Number.NEGATIVE_INFINITY,
			probesFrom: 0,
			unreachableSince: undefined,
			successes: 0,
		}));
	}
}
