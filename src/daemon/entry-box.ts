/**
 * An entry box: creates its components, supervises its roles, and stops in an orderly way.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import type * as Scope from 'effect/Scope';
import {SystemClock, type Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {Metrics} from '../base/metrics.js';
import {BoxDirectory, type LeavingBox} from '../boxes/box-directory.js';
import {BoxWatch} from '../boxes/box-watch.js';
import {StoreClaimLedger} from '../claims/store-claim-ledger.js';
import type {DispatchServices} from '../dispatch/dispatch-services.js';
import {PoolGates} from '../dispatch/pool-gates.js';
import {RunRegistry} from '../dispatch/run-registry.js';
import type {UpstreamConnector} from '../dispatch/upstream-connector.js';
import {UpstreamLinks} from '../dispatch/upstream-links.js';
import {CallerListener} from '../door/caller-listener.js';
import {ChatHandler} from '../door/chat-handler.js';
import {openOperatorsListener, type Readiness} from '../door/operators-listener.js';
import {RequestStatusHandler} from '../door/request-status-handler.js';
import {ServiceHandler} from '../door/service-handler.js';
import {Lease} from '../lease/lease.js';
import {CeilingOwner, type CeilingFacts} from '../limits/ceiling-owner.js';
import {Ceilings} from '../limits/ceilings.js';
import {PeerLinks, leavingReportOf} from '../peers/peer-links.js';
import type {PeerState, StoredTable} from '../peers/peer-messages.js';
import {listenForPeers} from '../peers/peer-server.js';
import type {BoxList} from '../external/box-list.js';
import type {ObjectStore} from '../external/object-store.js';
import {RecordRegistry} from '../records/record-registry.js';
import {ProcessResources} from '../resources/process-resources.js';
import {ExpectedCostPolicy} from '../routing/routing-policy.js';
import type {Settings} from '../settings/settings.js';
import {StopSchedule} from '../stopping/stop-schedule.js';
import {SummaryDuty} from '../status/summary-duty.js';
import {TableView} from '../table/table-view.js';
import {TableWatch} from '../table/table-watch.js';
import {decodeVersionedTable} from '../table/versioned-table.js';
import {LocalPeer} from './local-peer.js';
import {PeerRecordFinder} from './peer-record-finder.js';
import {RecordHandOver} from './record-hand-over.js';
import {superviseRoles, type Role} from './role.js';

/** Interval between two removals of expired records, in milliseconds. */
const sweepInterval = 1000;
/** Share of the time left under a reclaim notice that is reserved for handing requests over to peers. */
const handOverShare = 0.3;
/** Minimum time reserved for the hand-over, in milliseconds. */
const minHandOver = 1500;

/** The external services that an entry box uses. */
export type EntryBoxPlatform = {
	readonly store: ObjectStore;
	readonly list: BoxList;
	readonly connector: UpstreamConnector;
};

/** The components of one entry box, created once at the start. */
type Components = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly resources: ProcessResources;
	readonly table: TableView;
	readonly directory: BoxDirectory;
	readonly dispatch: DispatchServices;
	readonly peers: PeerLinks;
	readonly owner: CeilingOwner;
	readonly handOver: RecordHandOver;
};

/** A running entry box. */
export class EntryBox {
	/**
	 * Starts an entry box, which runs until the scope closes.
	 *
	 * @param settings - Validated settings.
	 * @param platform - The external services that it uses.
	 * @param log - Receives the events of the box.
	 * @returns The box, once it listens on its ports.
	 */
	static start(settings: Settings, platform: EntryBoxPlatform, log: EventLog): Effect.Effect<EntryBox, never, Scope.Scope> {
		return Effect.gen(function * () {
			const box = new EntryBox(settings, platform, log);
			yield * box.open();
			return box;
		});
	}

	/** TCP ports that the box listens on. */
	readonly ports = {callers: 0, peers: 0, operators: 0};
	private readonly components: Components;
	private door: CallerListener | undefined;
	private isStopping = false;
	private readonly stopSchedule: StopSchedule;

	private constructor(
		private readonly settings: Settings,
		private readonly platform: EntryBoxPlatform,
		private readonly log: EventLog,
	) {
		this.components = this.createComponents();
		this.stopSchedule = StopSchedule.create(this.components.clock);
	}

	/** Whether the load balancer should send callers to this box. */
	get readiness(): Readiness {
		if (this.isStopping) {
			return {isReady: false, detail: 'stopping'};
		}

		return this.components.table.inForce
			? {isReady: true, detail: 'ready'}
			: {isReady: false, detail: 'no table yet'};
	}

	/** Number of requests in progress. */
	get inProgress(): number {
		return this.components.dispatch.runs.inProgress;
	}

	/**
	 * Stops without aborting a request: reports itself as not ready, waits for the balancer to notice, then waits for the requests
	 * in progress to end.
	 *
	 * @returns Ends when no request is in progress any more.
	 */
	stop(): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			this.beginStopping();
			yield * Effect.sleep(this.settings.stopping.balancerDelay);
			yield * this.drain();
		});
	}

	/** @returns Ends after the platform has announced that it reclaims this box, and the requests have been moved to peers. */
	untilReclaimed(): Effect.Effect<void> {
		const {directory} = this.components;
		const reclaimed = Effect.callback<LeavingBox & {readonly endsAt: number}>(resume => {
			const check = (leaving: LeavingBox | undefined) => {
				if (leaving?.box === this.settings.box && leaving.endsAt !== undefined) {
					resume(Effect.succeed({...leaving, endsAt: leaving.endsAt}));
				}
			};

			check(directory.leavingOf(this.settings.box));
			const stop = directory.onDidMarkLeaving(check);
			return Effect.sync(stop);
		});
		return reclaimed.pipe(Effect.flatMap(({endsAt}) => this.leaveBy(endsAt)));
	}

	/** Waits for short requests to end, then hands the remaining ones over to peers, and refuses those that cannot be moved, before the box is reclaimed. */
	private leaveBy(endsAt: number): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			const {clock, dispatch, handOver} = this.components;
			const remaining = endsAt - clock.monotonic();
			this.log.write('boxReclaimed', {remaining: Math.round(remaining)});
			this.beginStopping();
			this.stopSchedule.begin(Math.max(0, remaining));
			const idleTimeout = Math.max(0, remaining - Math.max(minHandOver, remaining * handOverShare));
			yield * Effect.raceFirst(dispatch.runs.whenIdle(), Effect.sleep(idleTimeout));
			this.door?.beginClosing();
			yield * handOver.moveActive();
			yield * Effect.raceFirst(this.drain(), Effect.sleep(Math.max(0, this.stopSchedule.untilExit)));
		});
	}

	private beginStopping(): void {
		if (!this.isStopping) {
			this.log.write('boxStopping', {inProgress: this.inProgress});
		}

		this.isStopping = true;
		this.door?.beginStopping();
	}

	private drain(): Effect.Effect<void> {
		return Effect.gen({self: this}, function * () {
			yield * this.door?.stopListening() ?? Effect.void;
			yield * this.components.dispatch.runs.whenIdle();
			yield * this.components.handOver.copyFinished();
			this.log.write('boxStopped');
		});
	}

	private createComponents(): Components {
		const {box, dataCentre, records: retention} = this.settings;
		const {log} = this;
		const clock = SystemClock.create();
		const metrics = Metrics.create();
		const resources = ProcessResources.create(clock, this.settings.limits, metrics.registry);
		const table = TableView.create(log);
		table.onDidApply(({version}) => {
			metrics.tableVersion.set(version);
		});
		const directory = BoxDirectory.create(box, clock, log);
		const facts = ceilingFacts(table, directory);
		const links = UpstreamLinks.create({
			self: box, directory, connector: this.platform.connector, clock, log,
		});
		const ceilings = Ceilings.create(box, facts, clock);
		const owner = CeilingOwner.create(facts, clock);
		const dispatch: DispatchServices = {
			clock,
			log,
			metrics,
			answers: resources.answers,
			directory,
			links,
			ceilings,
			gates: PoolGates.create(links, clock, metrics),
			ledger: StoreClaimLedger.create({
				store: this.platform.store, clock, log, metrics,
			}),
			policy: ExpectedCostPolicy.create(),
			records: RecordRegistry.create(retention, clock),
			runs: RunRegistry.create(metrics),
		};
		const peers = PeerLinks.create({
			self: box,
			directory,
			ceilings,
			owner,
			clock,
			log,
			metrics,
			state: () => this.state(),
			rowNames: () => table.rowNames,
			applyTable: stored => {
				this.applyPeerTable(stored);
			},
		});
		const handOver = RecordHandOver.create({
			dataCentre, directory, log, records: dispatch.records, runs: dispatch.runs, peers: () => peers.reachable,
		});
		return {
			clock, metrics, resources, table, directory, dispatch, peers, owner, handOver,
		};
	}

	private open(): Effect.Effect<void, never, Scope.Scope> {
		return Effect.gen({self: this}, function * () {
			const {settings, log} = this;
			const {table, dispatch, metrics, resources} = this.components;
			const finder = PeerRecordFinder.create(() => this.components.peers.reachable);
			this.ports.peers = yield * listenForPeers(this.localPeer(), resources, settings.peers.host, settings.peers.port);
			yield * superviseRoles(this.roles(), log);
			this.ports.operators = yield * openOperatorsListener({
				metrics, resources, readiness: () => this.readiness, status: () => this.state(),
			}, settings.operators.host, settings.operators.port);
			this.door = yield * CallerListener.open({
				settings: settings.callers,
				table,
				log,
				metrics,
				resources,
				chat: ChatHandler.create(dispatch, table, finder),
				plainServices: ServiceHandler.create(dispatch, table),
				requests: RequestStatusHandler.create(dispatch, finder),
				stop: this.stopSchedule,
			});
			this.ports.callers = this.door.port;
			log.write('boxStarted', {...this.ports});
		});
	}

	private localPeer(): LocalPeer {
		const {clock, directory, owner, table, dispatch} = this.components;
		return LocalPeer.create({
			clock, directory, owner, table, dispatch, state: () => this.state(),
		});
	}

	private roles(): readonly Role[] {
		const {store, list} = this.platform;
		const {clock, table, directory, dispatch, peers} = this.components;
		const {log, settings} = this;
		const boxWatch = BoxWatch.create(list, directory, clock, log);
		const summary = SummaryDuty.create({
			dataCentre: settings.dataCentre,
			store,
			log,
			own: () => this.state(),
			others: () => peers.reachable.map(({state}) => state).filter(({dataCentre}) => dataCentre === settings.dataCentre),
		});
		const lease = Lease.create(`summary-${settings.dataCentre}`, {
			self: settings.box, store, clock, log,
		});
		return [
			{name: 'table-watch', run: TableWatch.create(store, table, log).run()},
			{name: 'box-list', run: boxWatch.followList()},
			{name: 'reclaim-notices', run: boxWatch.followNotices()},
			{name: 'upstreams', run: dispatch.links.run()},
			{name: 'gates', run: dispatch.gates.run()},
			{name: 'peers', run: peers.run()},
			{name: 'summary', run: summary.run(lease)},
			{
				name: 'records', run: Effect.forever(Effect.sleep(sweepInterval).pipe(Effect.map(() => {
					dispatch.records.sweep();
				}))),
			},
		];
	}

	private state(): PeerState {
		const {table, directory, clock} = this.components;
		const now = clock.monotonic();
		return {
			box: this.settings.box,
			dataCentre: this.settings.dataCentre,
			tableVersion: table.version,
			inProgress: this.inProgress,
			isStopping: this.isStopping,
			leaving: directory.leavingBoxes.map(({box, endsAt}) => leavingReportOf(box, endsAt, now)),
		};
	}

	/** Applies a table that a peer sent. It is as valid as one read from the store: the same version has the same bytes. */
	private applyPeerTable({version, value}: StoredTable): void {
		const decoded = decodeVersionedTable(version, value);
		if (Result.isSuccess(decoded)) {
			this.components.table.apply(decoded.success);
		}
	}
}

function ceilingFacts(table: TableView, directory: BoxDirectory): CeilingFacts {
	return {
		ceiling: row => table.ceiling(row),
		rows: () => table.rowNames,
		entryBoxes: () => directory.entryBoxes,
	};
}

