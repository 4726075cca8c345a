/**
 * Builds the gossip messages that this box sends, and applies the messages that it receives.
 */
import {unknownAgeMs, type Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {StoreAvailability} from '../follow/store-availability.js';
import type {ExchangeTopology} from '../gossip/exchange-topology.js';
import type {CommonUpdate, LocalState} from '../gossip/gossip.js';
import {
	processName, type FleetDigest, type GossipMessage, type ReplicaLoad,
} from '../gossip/gossip-message.js';
import type {SenderRelation, Peer, PeerTable} from '../gossip/peer-table.js';
import {maxCrashesSent} from '../quarantine/crash-ledger.js';
import {maxUpdates} from '../replica-load/load-update.js';
import type {DemandWeights} from '../replicas/demand-weights.js';
import {maxStatementsPerMessage, recentWindow, type StatementSource} from '../replicas/replica-statement.js';
import type {RelayServices} from '../relay/relay-services.js';
import type {FleetEvidence} from '../rollout/fleet-evidence.js';
import type {ConfigurationRole} from './configuration-role.js';
import type {SlotRanges} from './slot-ranges.js';
import type {ReplicaRole} from './replica-role.js';
import type {RolloutRole} from './rollout-role.js';

/** Milliseconds for which the sum of the work of all boxes is cached. */
const workCacheTime = 100;
/** The same for the pooled cost models, which change over seconds. */
const costCacheTime = 500;
/** Exchange intervals for which a report of work counts: one or two messages may be lost. */
const workLifetimeInIntervals = 4;
/** Minimum milliseconds for which a report of work counts. */
const minWorkLifetime = 1000;
/** Milliseconds since its start in which an aggregator still adopts quota levels from other aggregators, which know more. */
const quotaAdoptionTime = 4000;

/**
 * @param interval - Mean milliseconds between two rounds of the exchange.
 * @returns Milliseconds for which a report of work counts.
 */
export function workLifetimeFor(interval: number): number {
	return Math.max(minWorkLifetime, interval * workLifetimeInIntervals);
}

/** Dependencies of the state. */
export type ExchangeParts = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly services: RelayServices;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly availability: StoreAvailability;
	readonly configuration: ConfigurationRole;
	readonly replicaRole: ReplicaRole;
	readonly rolloutRole: RolloutRole;
	readonly fleetEvidence: FleetEvidence;
	readonly slotRanges: SlotRanges;
	readonly weights: DemandWeights;
	readonly isStopping: () => boolean;
};

/** @returns The name of the sending process. */
const processNameOf = ({sender, incarnation}: GossipMessage): string => processName(sender.name, incarnation);

/** The state of a box that is exchanged by gossip. */
export class ExchangeState {
	/**
	 * @param parts - Dependencies of the state.
	 * @returns The state.
	 */
	static create(parts: ExchangeParts): ExchangeState {
		return new ExchangeState(parts);
	}

	private workCache: {readonly loads: readonly ReplicaLoad[]; readonly at: number} = {loads: [], at: Number.NEGATIVE_INFINITY};
	private costCache: {readonly rows: readonly unknown[]; readonly at: number} = {rows: [], at: Number.NEGATIVE_INFINITY};
	private wasAggregator: boolean | undefined;

	private constructor(private readonly parts: ExchangeParts) {}

	/**
	 * @param isWhole - Whether to include everything that other boxes must know, not only recent changes.
	 * @param sources - Sources of the replica statements to include; a reply also passes on those received from other boxes.
	 * @returns The fields that every message of this box has.
	 */
	commonUpdate(isWhole: boolean, sources: readonly StatementSource[] = ['answer', 'box']): CommonUpdate {
		const {
			services: {table, replicas, quarantine, reach, statements: replicaStatements}, availability, replicaRole, rolloutRole, isStopping, topology,
		} = this.parts;
		const rollouts = rolloutRole.update;
		const ends = quarantine.collectUpdate(isWhole, topology.isLarge ? maxCrashesSent.large : maxCrashesSent.small);
		const statements = replicaStatements.updates(isWhole, sources, topology.isLarge ? maxStatementsPerMessage.large : maxStatementsPerMessage.small);
		return {
			version: table.version,
			...(Number.isFinite(table.proofAge) ? {proofAge: Math.ceil(table.proofAge)} : {}),
			isStopping: isStopping(),
			...(reach.unreachable.length > 0 ? {unreachable: reach.unreachable} : {}),
			storeAge: Math.min(unknownAgeMs, Math.round(availability.timeSinceOwnAnswer)),
			departed: replicas.departedWithin(topology.isLarge ? recentWindow : undefined),
			...(replicaRole.listState ? {replicas: replicaRole.listState} : {}),
			...(ends ? {ends} : {}),
			...(statements ? {statements} : {}),
			...(rollouts ? {rollouts} : {}),
		};
	}

	/**
	 * @param isWhole - Whether to include all counters, not only those that changed recently.
	 * @returns The state of this box itself.
	 */
	localState(isWhole: boolean): LocalState {
		const {
			replicas, quota, usage, demands, limits, brittle, evidence, loads, scheduling,
		} = this.parts.services;
		const {clock, topology} = this.parts;
		this.parts.weights.sample(demands.services);
		const weights = this.parts.weights.updates(brittle.services);
		limits.openDueSlots();
		const busy = replicas.all.filter(({ownWork}) => ownWork.requests > 0);
		this.logRoleChange();
		const {reports} = evidence;
		const costs = scheduling.costs.summaries;
		const loadUpdates = scheduling.isOn() ? loads.updates(clock.monotonic(), topology.isLarge ? maxUpdates.large : maxUpdates.small) : [];
		return {
			...this.commonUpdate(isWhole, ['answer']),
			quota: isWhole ? quota.counts : quota.recentCounts,
			isWhole,
			work: busy.map(({entry, ownWork}) => ({replica: entry.id, ...ownWork})),
			demand: demands.snapshots,
			...(weights.length > 0 ? {weights} : {}),
			reads: demands.readSamples,
			...(loadUpdates.length > 0 ? {loads: loadUpdates} : {}),
			...(costs.length > 0 ? {costs} : {}),
			usage: isWhole ? usage.ownUsage : usage.recentOwnUsage,
			...(reports.length > 0 ? {evidence: reports} : {}),
		};
	}

	/**
	 * @param peer - The box that requested the digest.
	 * @param isWhole - Whether it requested the quota levels and the work of all boxes too.
	 * @returns The state of the fleet as this box knows it, without the peer's own work.
	 */
	digestFor({last, address}: Peer, isWhole: boolean): FleetDigest {
		const {clock, services: {quota, limits, brittle, fleetRates, rollouts, loads, scheduling}, peers, topology, replicaRole, slotRanges} = this.parts;
		const changes = replicaRole.changesSince(last?.replicas?.at ?? Number.NEGATIVE_INFINITY);
		const limited = topology.isLarge && topology.isAggregator ? [...new Set([...limits.services, ...brittle.services])] : [];
		const permits = last ? rollouts.permitsFor(processNameOf(last)) : [];
		const update = {
			...(permits.length > 0 ? {permits} : {}),
			...(limited.length > 0 ? {stretches: slotRanges.rangesFor(address.name, limited)} : {}),
			boxes: topology.isAggregator ? peers.knownBoxes : peers.boxes,
			...(changes ? {changes} : {}),
		};
		if (!isWhole) {
			return update;
		}

		// The boxes of a small fleet receive the reports from each other.
		const loadUpdates = topology.isLarge && scheduling.isOn() ? loads.updates(clock.monotonic(), maxUpdates.digest, ['answer', 'box']) : [];
		const own = new Map((last?.work ?? []).map(entry => [entry.replica, entry]));
		return {
			...update,
			quota: last ? quota.levelsFor(processNameOf(last)) : [],
			rates: fleetRates.all,
			...(loadUpdates.length > 0 ? {loads: loadUpdates} : {}),
			...(topology.isLarge && this.pooledCosts().length > 0 ? {costs: this.pooledCosts()} : {}),
			work: this.totalWork().map(load => subtractWork(load, own.get(load.replica))).filter(({requests}) => requests > 0),
		};
	}

	/**
	 * Applies a message that a box sent about itself.
	 *
	 * @param message - The message.
	 * @param meeting - How the sender was known before; see `QuotaLedger.applyCounts`.
	 * @param madeAt - Monotonic milliseconds before which it cannot have been made; `undefined` if unknown.
	 */
	applyMessage(message: GossipMessage, meeting: SenderRelation, madeAt: number | undefined): void {
		const {services: {replicas, quota, usage, demands, loads, scheduling}, topology, peers} = this.parts;
		const {sender, work, reads = []} = message;
		const start = processNameOf(message);
		this.applyCommonUpdate(message, 'box', madeAt);
		this.parts.fleetEvidence.record(start, message.evidence ?? []);
		// A sender that is known from its digests alone counts as new to the quota, so that requests that it admitted earlier are not charged now.
		quota.applyCounts(start, message.quota, quota.knows(start) ? meeting : peers.classifyAsNew(message), message.isWhole);
		usage.merge(start, message.usage);
		loads.merge(message.loads ?? [], 'box');
		if (message.costs) {
			scheduling.costs.merge(start, message.costs);
		}

		for (const samples of reads) {
			demands.of(samples.service).mergeReads(start, samples);
		}

		if (!topology.isAggregator) {
			return;
		}

		const workByReplica = new Map(work.map(entry => [entry.replica, entry]));
		for (const replica of replicas.all) {
			const found = workByReplica.get(replica.entry.id);
			if (found) {
				replica.setPeerWork(sender.name, found, this.workLifetime);
			} else {
				replica.clearPeerWork(sender.name);
			}
		}
	}

	/**
	 * Applies a message in which an aggregator reports about all boxes.
	 *
	 * @param message - The message.
	 * @param digest - Its part about all boxes.
	 * @param madeAt - Monotonic milliseconds before which it cannot have been made; `undefined` if unknown.
	 */
	applyDigest(message: GossipMessage, digest: FleetDigest, madeAt: number | undefined): void {
		const {services: {replicas, quota, fleetRates, loads, scheduling}, topology, peers} = this.parts;
		this.applyCommonUpdate(message, 'digest', madeAt);
		if (!topology.isLarge) {
			return;
		}

		loads.merge(digest.loads ?? [], 'digest');
		this.parts.slotRanges.applyReceived(digest.stretches ?? []);
		const {isAggregator} = topology;
		if (!isAggregator || peers.uptime < quotaAdoptionTime) {
			quota.adopt(digest.quota ?? []);
		}

		if (isAggregator) {
			return;
		}

		fleetRates.adopt(digest.rates ?? []);
		if (digest.costs) {
			scheduling.costs.adopt(digest.costs);
		}

		if (!digest.work) {
			return;
		}

		const workByReplica = new Map(digest.work.map(entry => [entry.replica, entry]));
		for (const replica of replicas.all) {
			replica.setAggregateWork(workByReplica.get(replica.entry.id) ?? {requests: 0, unreadTokens: 0}, this.workLifetime);
		}
	}

	/** Applies the fields that every message has, such as the version of the configuration, the state of the replica list and departures of replicas. */
	private applyCommonUpdate(message: GossipMessage, source: StatementSource, madeAt: number | undefined): void {
		const {services: {table, replicas, quarantine, statements, rollouts}, availability, configuration, replicaRole} = this.parts;
		const messageAge = this.ageOfMessage(madeAt);
		availability.recordPeerAnswer(message.storeAge + messageAge);
		if (message.version > table.version) {
			configuration.fetchFrom(message.sender);
		}

		for (const departure of message.departed) {
			replicas.markLeaving(departure, 'peer');
		}

		if (message.ends) {
			quarantine.merge(message.ends);
		}

		if (message.statements) {
			statements.merge(message.sender.name, message.statements, source);
		}

		if (message.rollouts) {
			rollouts.applyUpdate(message.rollouts, message.digest?.permits ?? [], madeAt);
		}

		if (message.replicas) {
			const {at, age} = message.replicas;
			replicaRole.applyPeerUpdate(message.sender, {at, age: age + messageAge}, message.digest?.changes);
		}
	}

	/**
	 * A message may have waited in the socket of a box that was stopped, so the ages in it count from when it can have been made.
	 *
	 * @param madeAt - Monotonic milliseconds before which it cannot have been made; `undefined` if unknown.
	 * @returns Maximum milliseconds since it was made; infinite if unknown.
	 */
	private ageOfMessage(madeAt: number | undefined): number {
		return madeAt === undefined ? Number.POSITIVE_INFINITY : this.parts.clock.monotonic() - madeAt;
	}

	private get workLifetime(): number {
		return workLifetimeFor(this.parts.topology.interval);
	}

	private pooledCosts(): readonly unknown[] {
		const {clock, services: {scheduling}} = this.parts;
		const now = clock.monotonic();
		if (now - this.costCache.at > costCacheTime) {
			this.costCache = {rows: scheduling.costs.pooled, at: now};
		}

		return this.costCache.rows;
	}

	private totalWork(): readonly ReplicaLoad[] {
		const {clock, services: {replicas}} = this.parts;
		const now = clock.monotonic();
		if (now - this.workCache.at > workCacheTime) {
			this.workCache = {loads: replicas.all.map(replica => ({replica: replica.entry.id, ...replica.work})), at: now};
		}

		return this.workCache.loads;
	}

	private logRoleChange(): void {
		const {topology, log, peers} = this.parts;
		const isAggregator = topology.isLarge && topology.isAggregator;
		if (isAggregator !== (this.wasAggregator ?? false)) {
			log.write('aggregatorChanged', {isAggregator, boxes: peers.boxes});
		}

		this.wasAggregator = isAggregator;
	}
}

function subtractWork(load: ReplicaLoad, part: ReplicaLoad | undefined): ReplicaLoad {
	return part
		? {
			replica: load.replica, requests: Math.max(0, load.requests - part.requests), unreadTokens: Math.max(0, load.unreadTokens - part.unreadTokens),
		}
		: load;
}
