/**
 * A relay: the supervisor tree of its roles, and how it starts and stops.
 */
import {randomUUID} from 'node:crypto';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import {SystemClock, type Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {superviseRoles, type Role} from '../daemon/role.js';
import {UsageCounts} from '../duties/usage-counts.js';
import {KindFollower} from '../follow/kind-follower.js';
import {Gossip, type LocalState} from '../gossip/gossip.js';
import type {GossipMessage} from '../gossip/gossip-message.js';
import {PeerTable, type Meeting} from '../gossip/peer-table.js';
import {QuotaLedger} from '../quota/quota-ledger.js';
import {ConnectionBook} from '../relay/connection-book.js';
import {FreshnessGuard} from '../relay/freshness-guard.js';
import {FrontDoor} from '../relay/front-door.js';
import type {RelayMetrics} from '../relay/relay-metrics.js';
import type {RelayServices} from '../relay/relay-services.js';
import {RepeatBudgets} from '../relay/repeat-budgets.js';
import {LeastWaitChoice} from '../replicas/replica-choice.js';
import {ReplicaDirectory} from '../replicas/replica-directory.js';
import {RouteTableView} from '../routes/route-table-view.js';
import type {RelaySettings} from '../settings/relay-settings.js';
import {ConfigurationRole, configurationPath} from './configuration-role.js';
import {listen, openSmallListener} from './control-listeners.js';
import {openDuties} from './duty-roles.js';
import {MemberRole} from './member-role.js';
import type {PlatformLink} from './platform-link.js';

/** Milliseconds for the balancer to notice that this box takes no new clients. */
const balancerDelay = 3000;
/** Milliseconds after a stop was asked for from which requests are refused: what is taken later may not end in time. */
const closingDelay = 2800;
/** Milliseconds before the end of the grace by which this process has ended by itself. */
const endMargin = 900;
const stopCheckInterval = 50;
const sampleInterval = 1000;
/** Milliseconds told where the store has never answered. */
const unknownAge = 1_000_000;
const millisecondsPerSecond = 1000;

/** What a relay is made of. */
export type RelayParts = {
	readonly settings: () => RelaySettings;
	readonly link: PlatformLink;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
};

/** A relay that serves. */
export class RelayNode {
	/**
	 * Starts a relay. It runs until the scope closes.
	 *
	 * @param parts - What it is made of.
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
	private readonly peers: PeerTable;
	private readonly services: RelayServices;
	private readonly configuration: ConfigurationRole;
	private readonly door: FrontDoor;
	private stoppingSince: number | undefined;

	private constructor(private readonly parts: RelayParts) {
		const {link, log, settings} = parts;
		this.peers = PeerTable.create(settings().node, this.clock, log);
		this.services = this.wire();
		this.configuration = ConfigurationRole.create({
			link, log, clock: this.clock, table: this.services.table,
		});
		this.door = FrontDoor.create(this.services, {
			isStopping: () => this.stoppingSince !== undefined,
			isClosing: () => this.stoppingFor > closingDelay,
		});
		this.services.replicas.onDidGo(replica => {
			this.services.connections.forget(replica);
		});
	}

	/** Whether the balancer should send clients here. */
	get isReady(): boolean {
		const {table, replicas, guard} = this.services;
		return this.stoppingSince === undefined && table.inForce !== undefined && replicas.isKnown && guard.allowsKeys;
	}

	/** Milliseconds since a stop was asked for; zero before. */
	private get stoppingFor(): number {
		return this.stoppingSince === undefined ? 0 : this.clock.monotonic() - this.stoppingSince;
	}

	/**
	 * Stops: clients go elsewhere as the balancer notices and as answers tell them, and what is in progress ends.
	 *
	 * @returns Ends inside the grace.
	 */
	stop(): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			this.stoppingSince = this.clock.monotonic();
			this.parts.log.write('relayStopping', {inProgress: this.door.inProgress});
			const longest = this.parts.settings().bounds.grace - endMargin;
			for (;;) {
				yield * Effect.sleep(stopCheckInterval);
				const connections = yield * this.openConnections();
				const isDone = this.stoppingFor > balancerDelay && this.door.inProgress === 0 && connections === 0;
				if (isDone || this.stoppingFor > longest) {
					this.parts.log.write('relayStopped', {inProgress: this.door.inProgress, connections});
					return;
				}
			}
		});
	}

	private openConnections(): Effect.Effect<number> {
		return Effect.callback<number>(resume => {
			this.door.server.getConnections((_, count) => {
				resume(Effect.succeed(count));
			});
		});
	}

	private wire(): RelayServices {
		const {link, log, metrics, settings} = this.parts;
		const {clock, peers} = this;
		const table = RouteTableView.create(clock, log);
		table.onDidApply(({version}) => {
			metrics.configurationVersion.set(version);
		});
		const bounds = () => settings().bounds;
		return {
			clock,
			log,
			metrics,
			table,
			format: link.format,
			guard: FreshnessGuard.create(table, () => ({isStrict: bounds().isRevocationStrict, revoke: bounds().revoke})),
			replicas: ReplicaDirectory.create(clock, log),
			choice: LeastWaitChoice.create(settings().dataCentre, () => clock.monotonic()),
			connections: ConnectionBook.create(clock),
			quota: QuotaLedger.create({
				bound: name => table.inForce?.content.clientAccounts.find(clientAccount => clientAccount.name === name),
				heardPart: () => peers.heardPart,
			}, clock, settings().isFirstStart),
			budgets: RepeatBudgets.create(
				() => ({ratio: bounds().retryRatio, slack: bounds().retrySlack, window: bounds().retryWindow}),
				() => peers.boxes,
				clock,
			),
			usage: UsageCounts.create(() => clock.monotonic() + peers.wallOffset, () => bounds().reportWindow),
		};
	}

	private open(): Effect.Effect<void, never, Scope.Scope> {
		return Effect.gen({self: this}, function * () {
			const {settings, link, metrics, log} = this.parts;
			const {front, ready, control, metrics: metricsAddress} = settings();
			yield * openSmallListener(ready, path => path === link.format.readyPath
				? {status: this.isReady ? 200 : 503, contentType: 'text/plain', body: this.isReady ? 'ready\n' : 'not ready\n'}
				: undefined);
			yield * openSmallListener(control, path => path === configurationPath && this.configuration.spec !== undefined
				? {status: 200, contentType: 'application/json', body: JSON.stringify(this.configuration.spec)}
				: undefined);
			yield * openSmallListener(metricsAddress, async () => ({
				status: 200, contentType: metrics.registry.contentType, body: await metrics.registry.metrics(),
			}));
			yield * listen(this.door.server, front);
			yield * superviseRoles(this.roles(), log);
			log.write('relayStarted', {incarnation: this.incarnation, front: `${front.host}:${front.port}`});
		});
	}

	private roles(): readonly Role[] {
		const {settings, link, log, metrics} = this.parts;
		const {control, node} = settings();
		const self = {name: node, ...control};
		const gossip = Gossip.create({
			self,
			incarnation: this.incarnation,
			clock: this.clock,
			peers: this.peers,
			state: () => this.localState(),
			take: (message, meeting) => {
				this.takeMessage(message, meeting);
			},
			prove: (version, at) => {
				this.services.table.prove(version, at);
			},
			seeds: () => settings().seeds,
		});
		const members = MemberRole.create({
			store: link.store, self, peers: this.peers, log,
		});
		return [
			{name: 'gossip', run: gossip.run()},
			{name: 'configuration', run: this.configuration.follow()},
			{name: 'configuration-proof', run: this.configuration.prove()},
			{name: 'replicas', run: this.followReplicas()},
			{name: 'members', run: members.run()},
			{name: 'metrics', run: this.sampleMetrics()},
			...openDuties({
				link, log, settings, clock: this.clock, peers: this.peers, services: this.services, self: node, metrics,
				incarnation: this.incarnation,
				storeSilence: () => this.configuration.storeSilence,
				isStopping: () => this.stoppingSince !== undefined,
			}),
		];
	}

	private followReplicas(): Effect.Effect<never> {
		const {link: {store, names}, log} = this.parts;
		const {replicas} = this.services;
		return KindFollower.create(names.replicaKind, {store, clock: this.clock, log}, {
			list({objects, at}) {
				replicas.replaceAll(objects.map(object => names.decodeReplica(object)), at);
			},
			change({object, isGone}) {
				if (isGone) {
					replicas.remove(object.name, object.revision);
				} else {
					replicas.put(names.decodeReplica(object));
				}
			},
		}).run();
	}

	private localState(): LocalState {
		const {table, replicas, quota, usage} = this.services;
		const busy = replicas.all.filter(({ownWork}) => ownWork.requests > 0);
		return {
			version: table.version,
			...(Number.isFinite(table.proofAge) ? {proofAge: Math.ceil(table.proofAge)} : {}),
			isStopping: this.stoppingSince !== undefined,
			storeAge: Math.min(unknownAge, Math.round(this.configuration.storeSilence)),
			quota: quota.counts,
			work: busy.map(({entry, ownWork}) => ({replica: entry.id, ...ownWork})),
			departed: replicas.departed,
			usage: usage.told,
		};
	}

	private takeMessage(message: GossipMessage, meeting: Meeting): void {
		const {table, replicas, quota, usage} = this.services;
		const {sender, incarnation, work} = message;
		const start = `${sender.name}/${incarnation}`;
		if (message.version > table.version) {
			this.configuration.fetchFrom(sender);
		}

		quota.takeCounts(start, message.quota, meeting);
		usage.take(start, message.usage);
		for (const departure of message.departed) {
			replicas.noteLeaving(departure, 'peer');
		}

		const worked = new Map(work.map(entry => [entry.replica, entry]));
		for (const replica of replicas.all) {
			const found = worked.get(replica.entry.id);
			if (found) {
				replica.notePeerWork(sender.name, found);
			} else {
				replica.clearPeerWork(sender.name);
			}
		}
	}

	private sampleMetrics(): Effect.Effect<never> {
		return Effect.forever(Effect.sync(() => {
			const {metrics} = this.parts;
			const {table, replicas} = this.services;
			metrics.proofAge.set(table.proofAge / millisecondsPerSecond);
			metrics.membersHeard.set(this.peers.heard.length);
			metrics.replicas.reset();
			for (const {entry, isLeaving} of replicas.all) {
				metrics.replicas.inc({service: entry.service, state: isLeaving ? 'leaving' : 'ready'});
			}
		}).pipe(Effect.andThen(Effect.sleep(sampleInterval))));
	}
}
