/**
 * The duties of the fleet: usage reports and replica orders, done by one box at a time, which holds a lease.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Role} from '../daemon/role.js';
import {
	isCandidate, isHolderActive, mustCheckHolder, type CampaignFacts,
} from '../duties/duty-campaign.js';
import type {DutyCalls} from '../duties/duty-calls.js';
import {DutyLease} from '../duties/duty-lease.js';
import {FleetDuty} from '../duties/fleet-duty.js';
import {MeasuredLoadPolicy} from '../duties/fleet-plan.js';
import {HolderLiveness} from '../duties/holder-liveness.js';
import {UsageDraft} from '../duties/usage-draft.js';
import {UsageDuty} from '../duties/usage-duty.js';
import type {StoreAvailability} from '../follow/store-availability.js';
import type {ExchangeTopology} from '../gossip/exchange-topology.js';
import {processName} from '../gossip/gossip-message.js';
import type {PeerTable} from '../gossip/peer-table.js';
import type {RelayMetrics} from '../relay/relay-metrics.js';
import type {RelayServices} from '../relay/relay-services.js';
import {pooledDemand, type FleetDemand} from '../replicas/fleet-demand.js';
import type {RelaySettings} from '../settings/relay-settings.js';
import type {PlatformLink} from './platform-link.js';

/** Milliseconds between two steps of the duties. */
const stepInterval = 300;
/** The same for a box that is no aggregator and so cannot become the holder; also between two observations of the load by an aggregator that is not the holder. */
const idleInterval = 1000;
/** Milliseconds from the start to the first step: the first gossip messages of the other boxes arrive in this time. */
const firstStepDelay = 900;
/** Milliseconds before the next step after a failed one. */
const failurePause = 700;
/** Milliseconds for which a holder may be no aggregator before it releases the lease. */
const maxTimeWithoutAggregatorRole = 2000;

/** Dependencies of the duties. */
export type DutyParts = {
	readonly self: string;
	readonly incarnation: string;
	readonly link: PlatformLink;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
	readonly settings: () => RelaySettings;
	readonly clock: Clock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly services: RelayServices;
	readonly availability: StoreAvailability;
	readonly isStopping: () => boolean;
};

/**
 * @param parts - Dependencies of the duties.
 * @returns The roles to run; none if the deployment has no duties.
 */
export function createDutyRoles(parts: DutyParts): readonly Role[] {
	const {duties} = parts.link;
	return duties ? [{name: 'duties', run: DutyRole.create(parts, duties).run()}] : [];
}

/** Acquires the lease of the duties when no other box does them, and does them while it holds the lease. */
class DutyRole {
	static create(parts: DutyParts, calls: DutyCalls): DutyRole {
		return new DutyRole(parts, calls);
	}

	private readonly lease: DutyLease;
	private readonly usage: UsageDuty;
	private readonly fleet: FleetDuty;
	private readonly draft: UsageDraft;
	private readonly life: HolderLiveness;
	/** Monotonic milliseconds at which this box was last an aggregator. */
	private lastAggregatorAt = Number.NEGATIVE_INFINITY;
	/** Monotonic milliseconds at which the load was last observed. */
	private observedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly parts: DutyParts, calls: DutyCalls) {
		const {self, incarnation, link: {store}, clock, log, settings, services, peers} = parts;
		this.lease = DutyLease.create({
			self, incarnation, store, clock, log, wait: () => settings().bounds.lease, isFenced: () => settings().bounds.isFenceRequired,
			amendRestored: record => this.usage.afterRestore(record),
		});
		this.usage = UsageDuty.create({
			lease: this.lease,
			calls,
			counts: services.usage,
			clock,
			log,
			trueTime: () => peers.commonTime,
			windowLength: () => settings().bounds.reportWindow,
			delay: () => settings().bounds.reportDelay,
			hasGossipFromAll: within => peers.hasHeardAllWithin(within),
		});
		this.life = HolderLiveness.create(store, clock);
		this.draft = UsageDraft.create({
			start: processName(self, incarnation), store, counts: services.usage, clock, onAnswer() {
				parts.availability.recordOwnAnswer();
			},
		});
		this.fleet = FleetDuty.create({
			lease: this.lease, calls, clock, log, table: services.table, replicas: services.replicas, policy: MeasuredLoadPolicy.create(),
			demand: service => services.fleetRates.demandFor(service),
			limitOf: replica => services.limits.limitOf(replica),
			mayServe: ({entry}) => services.rollouts.mayServe(entry),
			pausedPart: replica => Math.min(1, services.statements.pausedBoxCount(replica) / peers.boxes),
		});
	}

	run(): Effect.Effect<never> {
		const {topology} = this.parts;
		const step = Effect.suspend(() => this.step()).pipe(
			Effect.andThen(Effect.suspend(() => Effect.sleep(topology.isAggregator ? stepInterval : idleInterval))),
			Effect.catch(() => Effect.sleep(failurePause)),
		);
		return Effect.sleep(firstStepDelay).pipe(Effect.andThen(Effect.forever(step)));
	}

	/**
	 * Records the load of the fleet. A box that does not hold the lease does so less often, since it only prepares to take over. A box that is
	 * no aggregator does not receive the load of most boxes and records nothing.
	 */
	private observe(): void {
		const {topology, clock} = this.parts;
		const now = clock.monotonic();
		if (topology.isAggregator && (this.lease.isHeld || now - this.observedAt >= idleInterval)) {
			this.observedAt = now;
			this.fleet.observe();
		}
	}

	private step() {
		return Effect.gen({self: this}, function * () {
			const {lease} = this;
			this.observe();
			this.parts.metrics.leaseHeld.set(lease.isHeld ? 1 : 0);
			if (lease.isHeld && (this.parts.isStopping() || this.hasLostAggregatorRole())) {
				yield * lease.release();
				return;
			}

			if (!lease.isHeld && this.parts.topology.isAggregator) {
				yield * this.campaign();
			}

			// Saves the usage counts from the start of the lease, also while the previous holder's calls may still be in progress.
			if (lease.isHeld) {
				yield * this.draft.step();
			}

			if (lease.mayAct) {
				yield * this.fleet.step();
				yield * this.usage.step();
			}
		});
	}

	/** Only an aggregator receives the usage counts of all boxes; the choice of aggregators may change back within moments, so a short loss is ignored. */
	private hasLostAggregatorRole(): boolean {
		const {topology, clock} = this.parts;
		const now = clock.monotonic();
		this.lastAggregatorAt = topology.isAggregator ? now : this.lastAggregatorAt;
		return now - this.lastAggregatorAt > maxTimeWithoutAggregatorRole;
	}

	private campaign() {
		return Effect.gen({self: this}, function * () {
			if (!this.lease.known) {
				yield * this.lease.read();
			}

			if (isHolderActive(this.facts()) || !isCandidate(this.facts())) {
				return;
			}

			yield * this.lease.read();
			if (isHolderActive(this.facts()) || (mustCheckHolder(this.facts()) && (yield * this.life.mayBeAlive()))) {
				return;
			}

			yield * this.lease.acquire();
		});
	}

	private facts(): CampaignFacts {
		const {self, incarnation, peers, topology, availability, isStopping} = this.parts;
		const {aggregators} = topology;
		return {
			self,
			incarnation,
			record: this.lease.known,
			outdatedFor: this.lease.outdatedFor,
			heard: peers.heard,
			rivals: peers.heard.filter(peer => aggregators.some(({address}) => address.name === peer.address.name)),
			heardPart: peers.heardPart,
			storeSilence: availability.timeSinceOwnAnswer,
			isStopping: isStopping(),
			isAggregator: topology.isAggregator,
		};
	}
}
