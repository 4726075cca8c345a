/**
 * Simulates the gossip exchange of a large fleet without sockets: one aggregator receives the state of all other boxes. Development only.
 */
import {type EventLog, SilentEventLog} from '../../src/base/event-log.js';
import type {Clock} from '../../src/base/clock.js';
import {sumOf} from '../../src/base/sum.js';
import {FleetEvidence} from '../../src/rollout/fleet-evidence.js';
import {UsageCounts} from '../../src/duties/usage-counts.js';
import {aggregatorCount, ExchangeTopology} from '../../src/gossip/exchange-topology.js';
import {FleetRates} from '../../src/gossip/fleet-rates.js';
import {membersAcknowledged, membersNamed, roundsBetweenWholeStates} from '../../src/gossip/gossip.js';
import {decodeGossip, encodeGossip} from '../../src/gossip/gossip-codec.js';
import type {GossipMessage, MemberAddress} from '../../src/gossip/gossip-message.js';
import {PeerTable} from '../../src/gossip/peer-table.js';
import {ExchangeState, type ExchangeParts} from '../../src/node/exchange-state.js';
import {SlotRanges} from '../../src/node/slot-ranges.js';
import {Fingerprint, fingerprintLength} from '../../src/quarantine/fingerprint.js';
import {Quarantine} from '../../src/quarantine/quarantine.js';
import {QuotaLedger} from '../../src/quota/quota-ledger.js';
import {LoadReports} from '../../src/replica-load/load-reports.js';
import {DemandWeights} from '../../src/replicas/demand-weights.js';
import {BrittleReplicas} from '../../src/replicas/brittle-replicas.js';
import {ReplicaDirectory} from '../../src/replicas/replica-directory.js';
import {ReplicaLimits} from '../../src/replicas/replica-limits.js';
import {ReplicaStatements} from '../../src/replicas/replica-statements.js';
import {ServiceDemands} from '../../src/replicas/service-demand.js';
import {idleScheduling} from './idle-scheduling.js';

/** Parameters of the simulated fleet. */
export type FleetShape = {
	readonly boxes: number;
	readonly replicas: number;
	readonly clientAccounts: number;
	/** Requests in progress per box, each at a different replica. */
	readonly inProgress: number;
};

/** Traffic of the aggregator in one gossip round; sizes in bytes. */
export type RoundTraffic = {
	readonly messages: number;
	readonly received: number;
	readonly sent: number;
};

type Box = {
	readonly address: MemberAddress;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly state: ExchangeState;
	readonly replicas: ReplicaDirectory;
	readonly quarantine: Quarantine;
	readonly limits: ReplicaLimits;
	readonly demands: ServiceDemands;
	readonly loads: LoadReports;
};

/** A simulated large fleet. */
export class ExchangeFleet {
	/**
	 * @param shape - Parameters of the fleet.
	 * @param clock - Clock that all boxes share.
	 * @returns A fleet whose boxes have all served each client account.
	 */
	static create(shape: FleetShape, clock: Clock): ExchangeFleet {
		return new ExchangeFleet(shape, clock);
	}

	/** Total milliseconds that the aggregator took to process messages and create responses. */
	processingTime = 0;
	private readonly boxes: readonly Box[];
	private sequence = 0;
	private rounds = 0;

	private constructor(private readonly shape: FleetShape, private readonly clock: Clock) {
		const addresses = Array.from({length: shape.boxes}, (_, index) => ({name: `edge-zone-b-${index}`, host: `10.2.64.${index}`, port: 7600}));
		this.boxes = addresses.map(address => this.createBox(address, addresses));
	}

	/** Milliseconds between two gossip rounds. */
	get interval(): number {
		return this.aggregator.topology.interval;
	}

	/** @returns Traffic of one round in which every other box sends its state to the aggregator and receives a response. */
	round(): RoundTraffic {
		const {aggregator} = this;
		this.rounds++;
		const senders = this.boxes.filter(box => box !== aggregator);
		const requests = senders.map(box => encodeGossip({...this.headerOf(box, membersNamed, false), ...box.state.localState(this.rounds % roundsBetweenWholeStates === 0), asksDigest: true}));
		const beganAt = performance.now();
		const responses = requests.map((data, index) => this.respondTo(data, (index + this.rounds) % aggregatorCount === 0));
		this.processingTime += performance.now() - beganAt;
		for (const [index, data] of responses.entries()) {
			const message = decodeGossip(data)!;
			senders[index]!.state.applyDigest(message, message.digest!, undefined);
		}

		const bytesOf = (datagrams: readonly Uint8Array[]) => sumOf(datagrams.map(({length}) => length));
		return {messages: senders.length, received: bytesOf(requests), sent: bytesOf(responses)};
	}

	/** Crashes all replicas; on each box, each crash has two suspects: one request that only this box sent to this replica, and one common to all. */
	crashReplicas(): void {
		for (const {address, quarantine, replicas} of this.boxes) {
			for (const replica of replicas.all) {
				const suspects = ['common-to-all', `${address.name}${replica.start}`].map(text => ({fingerprint: Fingerprint(text.slice(-fingerprintLength)), ranFor: 60}));
				quarantine.recordCrash(replica, suspects, this.clock.monotonic());
			}
		}
	}

	/** Makes every replica announce a rate limit in a response to every box. */
	announceLimits(): void {
		for (const {limits, replicas} of this.boxes) {
			for (const replica of replicas.all) {
				limits.recordResponse(replica, 12.5, this.clock.monotonic());
			}
		}
	}

	/**
	 * Makes every replica report its load in a response. Half of the replicas are always slow, so that their paces hold.
	 *
	 * @param isReceiver - Tells which boxes receive the responses; all by default.
	 */
	reportLoads(isReceiver: (box: number) => boolean = () => true): void {
		for (const {loads, replicas} of this.boxes.filter((_, index) => isReceiver(index))) {
			for (const [index, {entry, start}] of replicas.all.entries()) {
				loads.record(entry.service, start, {
					running: index, waiting: 0, slots: entry.slots, pace: index % 2 === 0 ? 1 : 2.5,
				});
			}
		}
	}

	/**
	 * @param box - Number of a box.
	 * @returns Ages of the load reports that it knows, in milliseconds.
	 */
	reportAgesAt(box: number): readonly number[] {
		const {loads, replicas} = this.boxes[box]!;
		return replicas.all.flatMap(({start}) => loads.latest(start)?.age ?? []);
	}

	/** Number of boxes that have load reports for others. */
	get boxesWithLoads(): number {
		return this.boxes.filter(({state}) => state.localState(true).loads !== undefined).length;
	}

	/** Requests that the aggregator counts at all replicas. */
	get requestsCounted(): number {
		return sumOf(this.aggregator.replicas.all.map(({work}) => work.requests));
	}

	/** Requests in progress of all boxes. */
	get requestsInProgress(): number {
		return sumOf(this.boxes.flatMap(({replicas}) => replicas.all.map(({ownWork}) => ownWork.requests)));
	}

	/** Demand of the aggregator and of the boxes that send to it; the other aggregators receive nothing in this simulation. */
	get demands(): readonly ServiceDemands[] {
		return this.boxes.filter(box => box === this.aggregator || !box.topology.isAggregator).map(({demands}) => demands);
	}

	private get aggregator(): Box {
		return this.boxes.find(({topology}) => topology.isAggregator)!;
	}

	private respondTo(data: Uint8Array, isWhole: boolean): Uint8Array {
		const {aggregator} = this;
		const {peers, state} = aggregator;
		const message = decodeGossip(data)!;
		peers.addMembers(message.members);
		const meeting = peers.recordMessage(message);
		if (meeting !== undefined) {
			state.applyMessage(message, meeting, undefined);
		}

		return encodeGossip({
			...this.headerOf(aggregator, isWhole ? membersNamed : membersAcknowledged, isWhole),
			...state.commonUpdate(isWhole),
			quota: [], isWhole: false, work: [], usage: [],
			digest: state.digestFor(peers.named(message.sender.name)!, isWhole),
		});
	}

	private headerOf({address, topology}: Box, memberCount: number, isSuccession: boolean): Pick<GossipMessage, 'sender' | 'incarnation' | 'sequence' | 'uptime' | 'wall' | 'members' | 'echo'> {
		this.sequence++;
		return {
			sender: address, incarnation: 'c3b40934', sequence: this.sequence, uptime: 50_000, wall: this.clock.wall(),
			echo: {incarnation: 'c3b40934', sequence: this.sequence, age: 100},
			members: topology.membersToName(memberCount, this.sequence, isSuccession).map(peer => peer.address),
		};
	}

	private createBox(address: MemberAddress, addresses: readonly MemberAddress[]): Box {
		const {clock, shape} = this;
		const log: EventLog = SilentEventLog.create();
		const peers = PeerTable.create(address.name, clock, log);
		peers.addMembers(addresses);
		const topology = ExchangeTopology.create(address, peers);
		peers.isLarge = topology.isLarge;
		peers.heardWithin = topology.heardWithin;
		const replicas = ReplicaDirectory.create(clock, log);
		for (let index = 0; index < shape.replicas; index++) {
			replicas.put({
				id: `i-9cef2861${String(index).padStart(2, '0')}`, bornAt: 1_764_700_000_000, software: '1', revision: 1, service: 's', host: '10.1.0.1', port: 1, dataCentre: 'zone-b',
				slots: 32, isDraining: false, isReclaimable: true, leavesIn: undefined,
			});
		}

		const quarantine = Quarantine.create({
			clock, log, replicas, isOwner: () => true, released: () => [],
		});
		const quota = QuotaLedger.create({
			bound: () => ({rate: 100_000, burst: 200_000}), reachableFraction: () => topology.isAggregator ? peers.heardPart : 1 / peers.boxes, burstFraction: () => 0.9,
		}, clock, true);
		const demands = ServiceDemands.create(clock);
		const weights = DemandWeights.create({clock, ownRate: () => 1, meanRate: () => 1});
		const slotRanges = SlotRanges.create({
			self: address.name, clock, peers, topology, demands, weights, brittle: () => brittle.services,
		});
		const limits = ReplicaLimits.create({
			clock, log, commonTime: () => peers.commonTime, slotRange: service => slotRanges.of(service), listed: start => replicas.byStart(start),
		});
		const brittle = BrittleReplicas.create({
			clock, log, slotRange: () => ({from: 0, length: 1}), listed: start => replicas.byStart(start), ready: service => replicas.ready(service), duration: () => 0,
		});
		const statements = ReplicaStatements.create({
			clock, log, limits, brittle, replicas,
		});
		const usage = UsageCounts.create(() => clock.wall(), () => 5000);
		for (let index = 0; index < shape.clientAccounts; index++) {
			quota.take(`acct${index}`, 5000);
			usage.recordRequest(`acct${index}`);
		}

		const loads = LoadReports.create(clock);
		const first = addresses.indexOf(address) * shape.inProgress;
		for (let index = 0; index < shape.inProgress; index++) {
			replicas.all[(first + index) % shape.replicas]!.begin(3000);
			demands.of(`service-${index % 2}`).recordArrival(3000, 1000);
		}

		const table = {version: 33, proofAge: 420};
		const configuration = {fetchFrom: () => undefined};
		const availability = {timeSinceOwnAnswer: 120, recordPeerAnswer: () => undefined};
		const replicaRole = {listState: {at: 812, age: 95}, applyPeerUpdate: () => undefined, changesSince: () => ({at: 812, changes: []})};
		const parts = {
			clock, log, peers, topology, services: {
				replicas, quota, demands, usage, table, quarantine, limits, brittle, statements, loads, scheduling: {...idleScheduling(clock), isOn: () => true}, reach: {unreachable: []}, fleetRates: FleetRates.create({
					clock, peers, topology, demands,
				}), evidence: {reports: []}, rollouts: {permitsFor: () => []},
			}, availability, configuration, replicaRole, rolloutRole: {update: undefined}, fleetEvidence: FleetEvidence.create(), slotRanges, weights, isStopping: () => false,
		};
		// Contains only the members that the exchange uses.
		return {
			address, peers, topology, replicas, quarantine, limits, demands, loads, state: ExchangeState.create(parts as unknown as ExchangeParts),
		};
	}
}
