/**
 * A relay: creates its services, supervises its roles, and starts and stops them.
 */
import {randomUUID} from 'node:crypto';
import {gzipSync} from 'node:zlib';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import {SystemClock, type Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {hashFraction} from '../base/rendezvous.js';
import {sampleOf} from '../base/sample.js';
import {sumOf} from '../base/sum.js';
import {SuspensionMeter, type Suspension} from '../base/suspension-meter.js';
import {superviseRoles, type Role} from '../daemon/role.js';
import {UsageCounts} from '../duties/usage-counts.js';
import {StoreAvailability} from '../follow/store-availability.js';
import {aggregatorCapacity} from '../gossip/aggregator-capacity.js';
import {ExchangeTopology, maxUnanswered} from '../gossip/exchange-topology.js';
import {ExchangeTraffic} from '../gossip/exchange-traffic.js';
import {FleetRates} from '../gossip/fleet-rates.js';
import {FleetShare} from '../gossip/fleet-share.js';
import {Gossip, type DatagramAddress} from '../gossip/gossip.js';
import {processName, type MemberAddress} from '../gossip/gossip-message.js';
import {PeerTable} from '../gossip/peer-table.js';
import {ChoiceByService} from '../placement/choice-by-service.js';
import {CostChoice} from '../placement/cost-choice.js';
import {Quarantine} from '../quarantine/quarantine.js';
import {QuarantineRecord, recordName} from '../quarantine/quarantine-record.js';
import {QuotaLedger} from '../quota/quota-ledger.js';
import {RetryLoans} from '../quota/retry-loans.js';
import {loanLifetime} from '../quota/service-retry-budget.js';
import {ConnectionRegistry} from '../relay/connection-registry.js';
import {ConnectionShedding} from '../relay/connection-shedding.js';
import {CrashDetector} from '../relay/crash-detector.js';
import {ForwardingBoxes, type BoxAddress} from '../relay/forwarding-boxes.js';
import {FreshnessGuard} from '../relay/freshness-guard.js';
import {FrontEnd} from '../relay/front-end.js';
import {LimitQueue} from '../relay/limit-queue.js';
import type {RelayMetrics} from '../relay/relay-metrics.js';
import type {RelayServices} from '../relay/relay-services.js';
import {ReplicaReach} from '../relay/replica-reach.js';
import {RetryBudgets} from '../relay/retry-budgets.js';
import {StreamOrigins} from '../relay/stream-origins.js';
import {historyName, VersionHistory} from '../stream-versions/version-history.js';
import {OriginRecord, originKind, originWriters} from '../stream-versions/origin-record.js';
import {LoadReports} from '../replica-load/load-reports.js';
import {BrittleReplicas} from '../replicas/brittle-replicas.js';
import {DemandWeights} from '../replicas/demand-weights.js';
import {LeastWaitChoice} from '../replicas/replica-choice.js';
import {connectSocket, type SocketConnector} from '../replicas/replica-connections.js';
import {ReplicaDirectory} from '../replicas/replica-directory.js';
import {ReplicaLimits} from '../replicas/replica-limits.js';
import {ReplicaStatements} from '../replicas/replica-statements.js';
import {StatementRecord, statementName} from '../replicas/statement-record.js';
import {ServiceDemands} from '../replicas/service-demand.js';
import {ServiceVersions} from '../replicas/service-versions.js';
import {FleetEvidence} from '../rollout/fleet-evidence.js';
import {RolloutView} from '../rollout/rollout-view.js';
import {VersionEvidence} from '../rollout/version-evidence.js';
import {ProcessResources} from '../resources/process-resources.js';
import {RouteTableView} from '../routes/route-table-view.js';
import type {RelaySettings} from '../settings/relay-settings.js';
import {StopSchedule} from '../stopping/stop-schedule.js';
import {BacklogExchange} from './backlog-exchange.js';
import {ConfigurationRole, configurationPath} from './configuration-role.js';
import {listen, openControlListener, type ControlResponse} from './control-listeners.js';
import {createDutyRoles} from './duty-roles.js';
import {ExchangeState} from './exchange-state.js';
import {SlotRanges} from './slot-ranges.js';
import {LoanExchange} from './loan-exchange.js';
import {MemberRole} from './member-role.js';
import {OriginExchange} from './origin-exchange.js';
import type {PlatformLink} from './platform-link.js';
import {lapseTime, ReplicaRole, replicasPath} from './replica-role.js';
import {rolloutFallbackDelay, RolloutRole} from './rollout-role.js';
import {createRolloutRoles} from './rollout-roles.js';
import {createScheduling} from './create-scheduling.js';

/** Milliseconds in which the load balancer notices that this box is no longer ready. */
const balancerDelay = 3000;
/** Path at which operators read what is quarantined. */
const quarantinePath = '/quarantine';
/** Path at which operators read which requests wait in this box. */
const waitingPath = '/waiting';
/** Milliseconds between two checks for the end of all requests. */
const stopCheckInterval = 50;
/** Milliseconds between two samples of the metrics. */
const sampleInterval = 1000;
/**
 * Milliseconds without an update from the boxes that follow the store after which another box accesses it itself. The delay depends on the box's name, so
 * that not all boxes do so at once.
 */
const configurationFallbackDelay = {least: 2500, spread: 1300} as const;
/** The same for the list of replicas. */
const replicaFallbackDelay = {least: 4500, spread: 4000} as const;
/**
 * Milliseconds without proof of the newest configuration, from the store or another box, after which this box does not know what other boxes may have
 * written; at least this many intervals of the exchange.
 */
const maxProofAge = 2000;
const proofIntervals = 4;
/** Milliseconds within which the boxes of a new fleet start. */
const maxStartSpread = 5000;
/** Number of boxes that one without the history of versions asks for it at a time. */
const maxAsked = 3;
/** Minimum milliseconds between two additional rounds of the exchange that are requested for a rollout. */
const minRequestInterval = 100;
/** Part of the burst that a large fleet may spend: all boxes know of a rush only after some gossip rounds. */
const largeFleetBurst = 0.9;
const millisecondsPerSecond = 1000;

/** Dependencies of a relay. */
export type RelayParts = {
	readonly settings: () => RelaySettings;
	readonly link: PlatformLink;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
	/** Opens the connections to replicas; absent for plain TCP connections. */
	readonly connector?: SocketConnector;
};

/** A running relay. */
export class RelayNode {
	/**
	 * Starts a relay. It runs until the scope closes.
	 *
	 * @param parts - Dependencies of the relay.
	 * @returns The relay, listening.
	 */
	static start(parts: RelayParts): Effect.Effect<RelayNode, never, Scope.Scope> {
		return Effect.gen(function * () {
			const node = new RelayNode(parts);
			yield * node.open();
			return node;
		});
	}

	private readonly clock: Clock = SystemClock.create();
	private readonly incarnation = randomUUID().slice(0, 8);
	private readonly self: MemberAddress;
	private readonly peers: PeerTable;
	private readonly topology: ExchangeTopology;
	private readonly fleetShare: FleetShare;
	private readonly services: RelayServices;
	private readonly availability: StoreAvailability;
	private readonly slotRanges: SlotRanges;
	private readonly configuration: ConfigurationRole;
	private readonly replicaRole: ReplicaRole;
	private readonly rolloutRole: RolloutRole;
	private readonly fleetEvidence = FleetEvidence.create();
	private readonly quarantineRecord: QuarantineRecord;
	private readonly statementRecord: StatementRecord;
	private readonly exchange: ExchangeState;
	private readonly gossip: Gossip;
	private readonly loanExchange: LoanExchange;
	private readonly originExchange: OriginExchange;
	private readonly originRecord: OriginRecord;
	private readonly backlogExchange: BacklogExchange;
	private readonly frontEnd: FrontEnd;
	private readonly stopSchedule: StopSchedule;
	/** Monotonic milliseconds of the last additional round of the exchange for a rollout. */
	private exchangeRequestedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly parts: RelayParts) {
		const {link, log, settings} = parts;
		const {node, control, limits} = settings();
		this.self = {name: node, ...control, capacity: aggregatorCapacity(limits)};
		this.peers = PeerTable.create(node, this.clock, log);
		this.topology = ExchangeTopology.create(this.self, this.peers);
		this.fleetShare = FleetShare.create({
			clock: this.clock,
			size: () => this.peers.boxes,
			isConnected: () => this.isConnected,
			memory: () => settings().bounds.retryWindow + loanLifetime,
			isNewFleet: () => settings().isFirstStart && this.peers.all.every(({last}) => (last?.uptime ?? 0) < settings().bounds.retryWindow),
		});
		this.stopSchedule = StopSchedule.create(this.clock);
		this.services = this.createServices();
		const {brittle, demands, fleetRates} = this.services;
		const weights = DemandWeights.create({
			clock: this.clock,
			ownRate: service => demands.of(service).clientRate,
			meanRate: service => (fleetRates.staleLoad(service)?.rates.requests ?? 0) / this.peers.boxes,
		});
		this.slotRanges = SlotRanges.create({
			self: node, clock: this.clock, peers: this.peers, topology: this.topology, demands, weights, brittle: () => brittle.services, recordedBoxes: () => this.statementRecord.recordedBoxes,
		});
		const {table, replicas} = this.services;
		this.availability = StoreAvailability.create(this.clock, () => lapseTime(settings().bounds.heartbeat));
		const {availability} = this;
		const followerServices = {
			link, log, clock: this.clock, availability, followsStore: () => this.topology.isAggregator,
		};
		this.configuration = ConfigurationRole.create({...followerServices, table, fallbackDelay: fallbackDelayOf(node, configurationFallbackDelay)});
		this.replicaRole = ReplicaRole.create({
			...followerServices,
			replicas,
			fallbackDelay: fallbackDelayOf(node, replicaFallbackDelay),
			drain: () => settings().bounds.drain,
			countUnreadable(kind) {
				parts.metrics.entriesUnreadable.inc({kind});
			},
		});
		this.rolloutRole = RolloutRole.create({...followerServices, view: this.services.rollouts, fallbackDelay: fallbackDelayOf(node, rolloutFallbackDelay)});
		this.exchange = ExchangeState.create({
			clock: this.clock,
			log,
			services: this.services,
			peers: this.peers,
			topology: this.topology,
			availability,
			configuration: this.configuration,
			replicaRole: this.replicaRole,
			rolloutRole: this.rolloutRole,
			fleetEvidence: this.fleetEvidence,
			slotRanges: this.slotRanges,
			weights,
			isStopping: () => this.stopSchedule.isStopping,
		});
		this.quarantineRecord = QuarantineRecord.create({
			clock: this.clock, log, store: link.store, quarantine: this.services.quarantine, isOwner: () => this.topology.owns(recordName),
		});
		this.statementRecord = StatementRecord.create({
			clock: this.clock, log, store: link.store, statements: this.services.statements, boxes: () => this.peers.boxes, isOwner: () => this.topology.owns(statementName),
		});
		this.gossip = this.createGossip();
		const {peers, topology, services: {loans, origins}} = this;
		const send = (data: Uint8Array, to: DatagramAddress) => {
			this.gossip.sendOther(data, to);
		};

		this.loanExchange = LoanExchange.create({
			peers, topology, send, loans,
		});
		this.originExchange = OriginExchange.create({
			incarnation: this.incarnation, clock: this.clock, suspensions: this.services.suspensions, isStoreSilent: () => this.isStoreSilent, peers, topology, send, origins,
		});
		this.originRecord = OriginRecord.create({
			clock: this.clock,
			log,
			store: link.store,
			incarnation: this.incarnation,
			commonTime: () => peers.commonTime,
			isWriter: () => topology.isAmongOwners(originKind, originWriters),
			origins,
			onRecorded(streams) {
				parts.metrics.streamOriginsRecorded.inc(streams);
			},
		});
		this.backlogExchange = BacklogExchange.create({
			process: this.processName, peers, topology, send, replicas, loads: this.services.loads, backlogs: () => this.services.scheduling.backlogs,
		});
		this.frontEnd = FrontEnd.create(this.services, () => !this.isRestored);
		ConnectionShedding.create({
			clock: this.clock, suspensions: this.services.suspensions, log, metrics: parts.metrics, server: this.frontEnd.server,
		});
		replicas.onDidAdd(({entry}) => {
			this.rolloutRole.checkAddition(entry);
		});
		replicas.onDidRemove(replica => {
			this.services.crashDetector.recordGone(replica);
			this.services.connections.forget(replica);
			this.services.statements.forget(replica);
			this.services.loads.forget(replica.start);
			this.services.scheduling.backlogs.forget(replica.start);
		});
	}

	/** Whether the load balancer should send clients to this box. */
	get isReady(): boolean {
		const {table, replicas, guard} = this.services;
		return !this.stopSchedule.isStopping && table.inForce !== undefined && replicas.isKnown && this.isRestored && guard.allowsKeys;
	}

	/** Whether this process has read from the store what boxes that ran before it knew. */
	private get isRestored(): boolean {
		const {rollouts, versions} = this.services;
		return this.quarantineRecord.isRestored && this.statementRecord.isRestored && this.originRecord.isRestored && versions.isRestored && rollouts.isKnown;
	}

	/** Whether this box has not known the state of the store for some time. */
	private get isStoreSilent(): boolean {
		return this.services.table.proofAge > Math.max(maxProofAge, this.topology.interval * proofIntervals);
	}

	/** Whether this box suspects requests of having crashed replicas. */
	get suspectsRequests(): boolean {
		return this.services.quarantine.hasSuspects;
	}

	/** Resets the connections of unfinished responses. To be called when the process exits without {@link stop}, for example after an uncaught exception. */
	abort(): void {
		this.frontEnd.responses.reset();
	}

	/**
	 * Stops the relay: clients move to other boxes, as the load balancer sees that this box is not ready and as responses close their connections, and requests
	 * in progress are completed. Those that are not complete shortly before the end of the grace period get a refusal.
	 *
	 * @param elapsed - Milliseconds since the stop signal: the box may still have been starting when it came.
	 * @returns An effect that completes within the grace period.
	 */
	stop(elapsed = 0): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			const {stopSchedule} = this;
			stopSchedule.begin(this.parts.settings().bounds.grace, elapsed);
			this.parts.log.write('relayStopping', {inProgress: this.frontEnd.inProgress});
			let isListening = true;
			for (;;) {
				yield * Effect.sleep(stopCheckInterval);
				if (stopSchedule.isClosing) {
					this.services.scheduling.queue.stop(stopSchedule.timeLeft);
				}

				const connections = yield * this.openConnections();
				const isDone = stopSchedule.elapsed > balancerDelay && this.frontEnd.inProgress === 0 && connections === 0;
				if (isListening && (isDone || stopSchedule.timeLeft <= 0)) {
					isListening = false;
					yield * this.frontEnd.stopListening();
				} else if (isDone || stopSchedule.isOver(this.frontEnd.unanswered)) {
					this.parts.log.write('relayStopped', {inProgress: this.frontEnd.inProgress, unanswered: this.frontEnd.unanswered, connections});
					return;
				}
			}
		});
	}

	private openConnections(): Effect.Effect<number> {
		return Effect.callback<number>(resume => {
			this.frontEnd.server.getConnections((_, count) => {
				resume(Effect.succeed(count));
			});
		});
	}

	private createServices(): RelayServices {
		const {link, log, metrics, settings} = this.parts;
		const {clock, peers, topology} = this;
		const table = RouteTableView.create(clock, log);
		const resources = ProcessResources.create(clock, settings().limits, metrics.registry);
		const connections = ConnectionRegistry.create(clock, {
			maximumConnections: service => table.inForce?.service(service)?.maximumConnections ?? Number.POSITIVE_INFINITY, boxes: () => peers.boxes,
		}, resources.outgoing.counting(this.parts.connector ?? connectSocket));
		resources.outgoing.onShortage(() => {
			connections.closeIdle();
		});
		const replicas = ReplicaDirectory.create(clock, log);
		const reach = ReplicaReach.create({
			clock, log, metrics, replicas, connections,
		});
		const quarantine = Quarantine.create({
			clock, log, replicas, box: settings().node, isOwner: fingerprint => topology.owns(fingerprint), released: () => settings().released,
		});
		table.onDidApply(({version}) => {
			metrics.configurationVersion.set(version);
		});
		const limits = ReplicaLimits.create({
			clock, log, commonTime: () => peers.commonTime, slotRange: service => this.slotRanges.of(service), listed: start => replicas.byStart(start),
		});
		const bounds = () => settings().bounds;
		const demands = ServiceDemands.create(clock);
		const brittle = BrittleReplicas.create({
			clock,
			log,
			slotRange: service => this.slotRanges.of(service),
			listed: start => replicas.byStart(start),
			ready: service => replicas.ready(service),
			duration: service => demands.of(service).duration,
		});
		const seenVersions = ServiceVersions.create(replicas, clock);
		const isStoreSilent = () => this.isStoreSilent;
		const versions = VersionHistory.create({
			clock,
			log,
			store: link.store,
			replicas,
			versions: seenVersions,
			commonTime: () => peers.commonTime,
			isOwner: () => topology.owns(historyName),
			isNewFleet: () => this.isNewFleet,
			announce: data => {
				for (const {address} of peers.all) {
					this.gossip.sendOther(data, address);
				}
			},
			isStoreSilent,
			ask: data => {
				for (const {address} of sampleOf(peers.heard, maxAsked)) {
					this.gossip.sendOther(data, address);
				}
			},
		});
		table.onWillProve(() => {
			versions.recordSilence();
		});
		const budgets = RetryBudgets.create({
			clock,
			bound: () => ({ratio: bounds().retryRatio, slack: bounds().retrySlack, window: bounds().retryWindow}),
			share: () => this.fleetShare.fraction,
		});
		const rollouts = RolloutView.create({
			clock, log, process: this.processName, rollback: () => settings().rollout?.rollback, versions: seenVersions, onlyRecorded: service => versions.onlyRecorded(service), onStep: () => {
				this.requestExchange();
			},
		});
		const evidence = VersionEvidence.create({
			clock,
			view: rollouts,
			inProgress: (service, isSelected) => sumOf(replicas.all.filter(({entry}) => entry.service === service && isSelected(entry.software)).map(({ownWork}) => ownWork.requests)),
			onEvidence: () => {
				this.requestExchange();
			},
		});
		const loads = LoadReports.create(clock);
		const fleetRates = FleetRates.create({
			clock, peers, topology, demands,
		});
		const scheduling = createScheduling({
			clock, metrics, loads, replicas, demands, fleetRates, settings, boxes: () => peers.boxes, tell: update => {
				this.backlogExchange.tell(update);
			},
		});
		return {
			clock,
			suspensions: SuspensionMeter.create({
				clock, onSuspension: suspension => {
					this.logSuspension(suspension);
				},
			}),
			stop: this.stopSchedule,
			box: settings().node,
			boxes: () => peers.boxes,
			log,
			metrics,
			table,
			format: link.format,
			resources,
			guard: FreshnessGuard.create(table, () => ({isStrict: bounds().isRevocationStrict, revoke: bounds().revoke})),
			replicas,
			choice: ChoiceByService.create({
				byLoad: LeastWaitChoice.create({dataCentre: settings().dataCentre, now: () => clock.monotonic(), isWorkStale: () => topology.isLarge}),
				byCost: CostChoice.create({
					dataCentre: settings().dataCentre,
					now: () => clock.monotonic(),
					expectedStart: ({start}) => scheduling.backlogs.expectedStart(start),
					paces: scheduling.paces,
					reading: scheduling.readingTime,
					duration: service => demands.of(service).duration,
					workAge: service => fleetRates.staleLoad(service)?.age ?? 0,
				}),
				usesCost: scheduling.placesByCost,
			}),
			scheduling,
			limits,
			brittle,
			statements: ReplicaStatements.create({
				clock, log, limits, brittle, replicas,
			}),
			loads,
			limitQueue: LimitQueue.create(clock),
			demands,
			fleetRates,
			connections,
			reach,
			forwarding: ForwardingBoxes.create({clock, candidates: service => this.boxesReaching(service)}),
			quarantine,
			crashDetector: CrashDetector.create({
				clock, log, metrics, connections, reach, quarantine, isUnreachableElsewhere: service => this.isUnreachableElsewhere(service),
				onCrash: () => {
					this.gossip.sendNow();
				},
			}),
			quota: QuotaLedger.create({
				bound: name => table.inForce?.content.clientAccounts.find(clientAccount => clientAccount.name === name),
				reachableFraction: () => topology.isAggregator ? peers.heardPart : 1 / peers.boxes,
				burstFraction: () => topology.isLarge ? largeFleetBurst : 1,
				exchangeInterval: () => topology.interval,
			}, clock, settings().isFirstStart),
			budgets,
			versions,
			origins: StreamOrigins.create({
				clock,
				versions,
				isStoreSilent,
				tell: origins => {
					this.originExchange.tell(origins);
				},
				lookUp: asked => this.originExchange.lookUp(asked),
				readRecord: () => this.originRecord.refresh(),
				onSize(size) {
					metrics.streamOrigins.set(size);
				},
			}),
			loans: RetryLoans.create({
				clock,
				incarnation: this.incarnation,
				budgetOf: service => budgets.of(service),
				ask: create => this.loanExchange.ask(create),
				onBorrowed(service, amount) {
					metrics.retriesBorrowed.inc({service}, amount);
				},
			}),
			usage: UsageCounts.create(() => peers.commonTime, () => bounds().reportWindow),
			rollouts,
			evidence,
		};
	}

	/** In a large fleet this box receives messages from few others, so that boxes that are only listed are tried too. */
	private boxesReaching(service: string): readonly BoxAddress[] {
		const {peers, topology} = this;
		return (topology.isLarge ? peers.all : peers.heard)
			.filter(({last, unanswered}) => last?.isStopping !== true && unanswered < maxUnanswered && last?.unreachable?.includes(service) !== true)
			.map(({address}) => address);
	}

	private isUnreachableElsewhere(service: string): boolean {
		const {heard} = this.peers;
		return heard.length > 0 && heard.every(({last}) => last?.unreachable?.includes(service) === true);
	}

	private open(): Effect.Effect<void, never, Scope.Scope> {
		return Effect.gen({self: this}, function * () {
			const {settings, link, metrics, log} = this.parts;
			const {front, ready, control, metrics: metricsAddress} = settings();
			const services = {log, resources: this.services.resources};
			yield * openControlListener(services, {
				name: 'ready',
				address: ready,
				handler: path => path === link.format.readyPath
					? {status: this.isReady ? 200 : 503, contentType: 'text/plain', body: this.isReady ? 'ready\n' : 'not ready\n'}
					: undefined,
			});
			yield * openControlListener(services, {
				name: 'peers',
				address: control,
				handler: path => compressed(this.documentAt(path)),
				forwardHandler: (incoming, response, open) => this.frontEnd.handleForwarded(incoming, response, open),
			});
			yield * openControlListener(services, {
				name: 'operators',
				address: metricsAddress,
				handler: async () => ({status: 200, contentType: metrics.registry.contentType, body: await metrics.registry.metrics()}),
			});
			yield * listen(this.frontEnd.server, front, this.frontEnd.responses);
			yield * superviseRoles(this.roles(), log, role => {
				metrics.roleFailures.inc({role});
			});
			log.write('relayStarted', {incarnation: this.incarnation, front: `${front.host}:${front.port}`});
		});
	}

	private createGossip(): Gossip {
		const {settings, log, metrics} = this.parts;
		const {
			exchange, peers, topology, self,
		} = this;
		return Gossip.create({
			self,
			incarnation: this.incarnation,
			clock: this.clock,
			log,
			peers,
			topology,
			traffic: ExchangeTraffic.create(this.clock, log, (direction, bytes) => {
				metrics.exchangeMessages.inc({direction});
				metrics.exchangeBytes.inc({direction}, bytes);
			}),
			commonUpdate: isWhole => exchange.commonUpdate(isWhole),
			localState: isWhole => exchange.localState(isWhole),
			digestFor: (peer, isWhole) => exchange.digestFor(peer, isWhole),
			applyMessage(message, meeting, madeAt) {
				exchange.applyMessage(message, meeting, madeAt);
			},
			applyDigest(message, digest, madeAt) {
				exchange.applyDigest(message, digest, madeAt);
			},
			recordProof: (version, at) => {
				this.services.table.prove(version, at);
			},
			applyUrgent: data => this.backlogExchange.receive(data),
			applyOther: (data, from) => {
				const answer = (reply: Uint8Array) => {
					this.gossip.sendOther(reply, from);
				};

				if (!this.services.versions.receive(data, answer) && !this.originExchange.receive(data, from)) {
					this.loanExchange.receive(data, from);
				}
			},
			seeds: () => settings().seeds,
		});
	}

	/** Whether all boxes start for the first time; `undefined` before they have told since when they run. */
	private get isNewFleet(): boolean | undefined {
		const {peers, parts: {settings}} = this;
		if (!settings().isFirstStart || peers.all.some(({last}) => (last?.uptime ?? 0) > peers.uptime + maxStartSpread)) {
			return false;
		}

		return this.isConnected ? true : undefined;
	}

	/** Whether this box and the others receive each other's messages: all of a small fleet, aggregators of a large one. */
	private get isConnected(): boolean {
		const {peers, topology, incarnation, self} = this;
		const hasSeeds = this.parts.settings().seeds.some(({host, port}) => host !== self.host || port !== self.port);
		if (peers.knownBoxes === 1 && hasSeeds) {
			return false;
		}

		const answering = peers.heard.filter(({last}) => last?.echo?.incarnation === incarnation).length;
		return topology.isLarge ? answering > 0 : answering + 1 >= peers.boxes;
	}

	private roles(): readonly Role[] {
		const {settings, link, log, metrics} = this.parts;
		const {
			gossip, peers, topology, self,
		} = this;
		const members = MemberRole.create({
			store: link.store, self, peers, log, isNeeded: () => topology.isAggregator || peers.heard.length === 0,
		});
		return [
			{name: 'gossip', run: gossip.run()},
			{name: 'stream-origins', run: this.originExchange.run()},
			{name: 'stream-origin-record', run: this.originRecord.run()},
			{name: 'version-history', run: this.services.versions.run()},
			{name: 'configuration', run: this.configuration.follow()},
			{name: 'configuration-proof', run: this.configuration.prove()},
			{name: 'replicas', run: this.replicaRole.follow()},
			{name: 'lapsed-replicas', run: this.replicaRole.sweep()},
			{name: 'members', run: members.run()},
			{name: 'quarantine-record', run: this.quarantineRecord.run()},
			{name: 'statement-record', run: this.statementRecord.run()},
			...createRolloutRoles({
				link,
				log,
				settings,
				clock: this.clock,
				peers,
				topology,
				services: this.services,
				role: this.rolloutRole,
				evidence: this.fleetEvidence,
				process: this.processName,
				onStep() {
					gossip.push();
				},
			}),
			{name: 'replica-reach', run: this.services.reach.watch()},
			{name: 'metrics', run: this.sampleMetrics()},
			{name: 'suspensions', run: this.services.suspensions.run()},
			...createDutyRoles({
				link, log, settings, clock: this.clock, peers, topology, services: this.services, self: self.name, metrics,
				incarnation: this.incarnation,
				availability: this.availability,
				isStopping: () => this.stopSchedule.isStopping,
			}),
		];
	}

	/** Name of this process, which another process of this box does not have. */
	private get processName(): string {
		return processName(this.self.name, this.incarnation);
	}

	/** Sends a confirmed step or new evidence to the owner of a rollout without waiting for the next round. */
	private requestExchange(): void {
		const now = this.clock.monotonic();
		if (now - this.exchangeRequestedAt >= minRequestInterval) {
			this.exchangeRequestedAt = now;
			this.gossip.sendNow();
		}
	}

	/** @returns The document that peers fetch at a path. */
	private documentAt(path: string): unknown {
		const documents: Readonly<Record<string, () => unknown>> = {
			[configurationPath]: () => this.configuration.spec,
			[replicasPath]: () => this.replicaRole.listing,
			[quarantinePath]: () => this.services.quarantine.details,
			[waitingPath]: () => this.services.scheduling.queue.snapshot(),
		};
		return documents[path]?.();
	}

	/** Logs a suspension: what this box knew before it says little about the time after it. */
	private logSuspension({steady, wall, endedAt}: Suspension): void {
		const isSuspension = this.clock.lastResumedAt() > endedAt - steady;
		this.parts.log.write('boxStoodStill', {steady: Math.round(steady), wall: Math.round(wall), isSuspension});
	}

	private sampleQueue(): void {
		const {metrics} = this.parts;
		const {waiting, refusals} = this.services.scheduling.queue.metrics();
		metrics.queued.reset();
		for (const {service, urgency, requests} of waiting) {
			metrics.queued.set({service, urgency: String(urgency)}, requests);
		}

		for (const {service, reason, refusals: count} of refusals) {
			metrics.queueRefusals.set({service, reason}, count);
		}
	}

	private sampleMetrics(): Effect.Effect<never> {
		return Effect.forever(Effect.sync(() => {
			const {metrics} = this.parts;
			const {table, replicas, limits, statements} = this.services;
			this.fleetShare.update();
			metrics.retryShare.set(this.fleetShare.fraction);
			metrics.proofAge.set(table.proofAge / millisecondsPerSecond);
			metrics.quarantined.set(this.services.quarantine.quarantined.length);
			metrics.membersHeard.set(this.peers.heard.length);
			metrics.replicaLimit.reset();
			metrics.replicaLimitPart.reset();
			for (const replica of limits.limited) {
				metrics.replicaLimit.set({replica: replica.entry.id}, limits.limitOf(replica) ?? 0);
				metrics.replicaLimitPart.set({replica: replica.entry.id}, limits.ownLimit(replica));
			}

			this.sampleQueue();
			metrics.replicas.reset();
			metrics.replicaPause.reset();
			for (const replica of replicas.all.filter(one => statements.remainingPause(one) > 0)) {
				metrics.replicaPause.set({replica: replica.entry.id}, statements.remainingPause(replica) / millisecondsPerSecond);
			}

			for (const {entry, isLeaving, isMissing} of replicas.all) {
				const stateInUse = isMissing ? 'missing' : 'ready';
				metrics.replicas.inc({service: entry.service, state: isLeaving ? 'leaving' : stateInUse});
			}
		}).pipe(Effect.andThen(Effect.sleep(sampleInterval))));
	}
}

function fallbackDelayOf(box: string, {least, spread}: {readonly least: number; readonly spread: number}): number {
	return least + (spread * hashFraction(box));
}

function compressed(document: unknown): ControlResponse | undefined {
	return document === undefined
		? undefined
		: {status: 200, contentType: 'application/json', body: gzipSync(JSON.stringify(document))};
}
