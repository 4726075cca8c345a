/**
 * Invariant: each caller receives the complete answer to its own request. Runs the real request runs and records of two boxes, with engines
 * that fail and leave, callers that disconnect and resume, and requests that are handed over.
 */
import assert from 'node:assert/strict';
import * as Effect from 'effect/Effect';
import fc from 'fast-check';
import {SilentEventLog} from '../../src/base/event-log.js';
import type {
	BoxId, ClientAccountName, DataCentre, PoolName, RequestKey,
} from '../../src/base/identifiers.js';
import {Metrics} from '../../src/base/metrics.js';
import {BoxDirectory} from '../../src/boxes/box-directory.js';
import {StoreClaimLedger} from '../../src/claims/store-claim-ledger.js';
import {LocalPeer} from '../../src/daemon/local-peer.js';
import {RecordHandOver} from '../../src/daemon/record-hand-over.js';
import {ChatRun, type ChatPlan} from '../../src/dispatch/chat-run.js';
import type {DispatchServices} from '../../src/dispatch/dispatch-services.js';
import {PoolGates} from '../../src/dispatch/pool-gates.js';
import {RunRegistry} from '../../src/dispatch/run-registry.js';
import {UpstreamConnector} from '../../src/dispatch/upstream-connector.js';
import {UpstreamLinks} from '../../src/dispatch/upstream-links.js';
import {CeilingOwner, type CeilingFacts} from '../../src/limits/ceiling-owner.js';
import {Ceilings} from '../../src/limits/ceilings.js';
import type {PeerState} from '../../src/peers/peer-messages.js';
import type {Box} from '../../src/external/box-list.js';
import {AnswerBodies} from '../../src/resources/answer-bodies.js';
import {RecordRegistry} from '../../src/records/record-registry.js';
import {RequestRecord} from '../../src/records/request-record.js';
import {describePrompt} from '../../src/routing/prefix-cache-estimate.js';
import {ExpectedCostPolicy} from '../../src/routing/routing-policy.js';
import {rowName, type Row, type Service} from '../../src/table/table.js';
import {TableView} from '../../src/table/table-view.js';
import type {PlainService} from '../../src/upstream/plain-service.js';
import {FakeEngine, tokenEvent} from './fake-engine.js';
import {FakeObjectStore, FakeObjects} from './fake-object-store.js';
import {step, type Suite} from './suite.js';
import {VirtualClock, type VirtualTime} from './virtual-time.js';

const engineCount = 4;
const boxCount = 2;
const pool = 'engines' as PoolName;
const account = 'acme' as ClientAccountName;
const service: Service = {
	name: 'assistant' as Service['name'], type: 'model', pool, deadline: 600, latencyWeight: 1,
};
const row: Row = {
	account, kind: 'write' as Row['kind'], service: service.name, share: 1, ceiling: 1e6, priority: 1, repeatable: true,
};

class FakeConnector extends UpstreamConnector {
	constructor(private readonly engines: ReadonlyMap<string, FakeEngine>) {
		super();
	}

	override engine(box: Box): FakeEngine {
		return this.engines.get(box.id)!;
	}

	override service(): PlainService {
		throw new Error('no plain service in this suite');
	}
}

type EntryBox = {
	readonly id: BoxId;
	readonly directory: BoxDirectory;
	readonly dispatch: DispatchServices;
	readonly peer: LocalPeer;
	readonly handOver: RecordHandOver;
};

/** A caller and the events that it received. */
type Caller = {
	readonly key: RequestKey;
	readonly tokens: number;
	/** Index of the box that the caller last connected to. */
	box: number;
	/** Events received so far. */
	readonly received: string[];
	isConnected: boolean;
	isSlow: boolean;
	/** Reason for the end of the request, `finished` for a complete answer; `undefined` while it runs. */
	outcome: string | undefined;
	disconnect: () => void;
};

class StreamWorld {
	readonly engines = new Map(Array.from({length: engineCount}, (_, index) => [`engine-${index}`, new FakeEngine()]));
	readonly boxes: readonly EntryBox[];
	readonly callers: Caller[] = [];
	faults = 0;
	private readonly objects: FakeObjects;

	constructor(readonly time: VirtualTime) {
		this.objects = new FakeObjects(() => time.now);
		this.boxes = Array.from({length: boxCount}, (_, index) => this.startBox(index));
	}

	startRequest(box: number, tokens: number): void {
		const key = `request-${this.callers.length}` as RequestKey;
		const caller: Caller = {
			key, tokens, box, received: [], isConnected: false, isSlow: false, outcome: undefined, disconnect: () => undefined,
		};
		this.callers.push(caller);
		const record = RequestRecord.create({
			account, key, fingerprint: 'same', service: service.name, kind: row.kind, requestId: key, isNamed: true,
			body: {max_tokens: tokens, messages: [{role: 'user', content: key}]},
		});
		this.boxes[box]!.dispatch.records.add(record);
		this.connect(caller, record);
		this.run(box, record, tokens, 'new');
	}

	/** Does what the HTTP handler for callers does when a connection closes. */
	disconnect(caller: Caller): void {
		if (!caller.isConnected) {
			return;
		}

		caller.disconnect();
		const {records, runs} = this.boxes[caller.box]!.dispatch;
		const record = records.lookUp({account, key: caller.key});
		if (record && !record.hasListeners && record.state === 'running') {
			Effect.runFork(runs.stop(record));
		}
	}

	/** Does what the HTTP handler for callers does when a caller resumes, at the same box or at the other one. */
	async resume(caller: Caller, box: number): Promise<void> {
		if (caller.isConnected || caller.outcome !== undefined) {
			return;
		}

		const record = this.boxes[box]!.dispatch.records.lookUp({account, key: caller.key}) ?? await this.takeOver(caller, box);
		if (!record || record.position < caller.received.length) {
			caller.outcome = 'record-lost';
			return;
		}

		caller.box = box;
		if (record.state === 'paused') {
			record.restart();
			this.run(box, record, caller.tokens, 'caller-resumed');
		}

		this.connect(caller, record);
	}

	/** Reclaims a box: its requests in progress are handed over to the other box. */
	reclaimBox(box: number): void {
		this.faults++;
		Effect.runFork(this.boxes[box]!.handOver.moveActive());
	}

	private async takeOver(caller: Caller, box: number): Promise<RequestRecord | undefined> {
		const asked = Effect.runPromise(this.boxes[1 - box]!.peer.fetchRecord({account, key: caller.key, isTakingOver: true}));
		await this.time.settle();
		const snapshot = await asked;
		if (!snapshot || snapshot.state === 'refused') {
			return undefined;
		}

		const record = RequestRecord.create(snapshot.origin, snapshot.events);
		this.boxes[box]!.dispatch.records.add(record);
		if (snapshot.state === 'finished') {
			record.finish();
		} else {
			record.pause();
		}

		return record;
	}

	private connect(caller: Caller, record: RequestRecord): void {
		caller.isConnected = true;
		const receive = (events: readonly string[], firstIndex: number) => {
			assert.equal(firstIndex, caller.received.length, `${caller.key} got event ${firstIndex} after ${caller.received.length}`);
			caller.received.push(...events);
		};

		const end = () => {
			caller.isConnected = false;
			if (record.refusal?.reason !== 'moved-to-peer') {
				caller.outcome = record.refusal?.reason ?? 'finished';
			}
		};

		receive(record.events.slice(caller.received.length), caller.received.length);
		if (record.state === 'finished' || record.state === 'refused') {
			end();
			return;
		}

		const stop = record.listen({
			onEvents(events, firstIndex) {
				receive(events, firstIndex);
				return !caller.isSlow;
			},
			onEnd: end,
		});
		caller.disconnect = () => {
			caller.isConnected = false;
			stop();
		};
	}

	private run(box: number, record: RequestRecord, tokens: number, origin: ChatPlan['origin']): void {
		const {dispatch} = this.boxes[box]!;
		dispatch.runs.start(record, ChatRun.create(dispatch, record, {
			row, service, origin, prompt: describePrompt(record.origin.key), maximumTokens: tokens, deadlineAt: this.time.now + 600_000,
		}).run());
	}

	private startBox(index: number): EntryBox {
		const id = `box-${index}` as BoxId;
		const log = SilentEventLog.create();
		const clock = VirtualClock.create(this.time);
		const metrics = Metrics.create();
		const directory = BoxDirectory.create(id, clock, log);
		const table = TableView.create(log);
		table.apply({
			version: 1,
			edit: {
				id: 'e', author: '', comment: '', at: 0, base: 0, previous: '',
			},
			table: {services: [service], accounts: [], rows: [row]},
		});
		directory.applyListing({version: 1, boxes: [...this.engines.keys()].map(name => engineBox(name))});
		const facts: CeilingFacts = {ceiling: name => table.ceiling(name), rows: () => [rowName(row)], entryBoxes: () => [id]};
		const links = UpstreamLinks.create({
			self: id, directory, clock, log, connector: new FakeConnector(this.engines),
		});
		Effect.runFork(links.run());
		const owner = CeilingOwner.create(facts, clock);
		const dispatch: DispatchServices = {
			clock,
			log,
			metrics,
			answers: AnswerBodies.create(clock),
			directory,
			links,
			gates: PoolGates.create(links, clock, metrics),
			ceilings: Ceilings.create(id, facts, clock),
			ledger: StoreClaimLedger.create({
				store: FakeObjectStore.create(this.objects), clock, log, metrics,
			}),
			policy: ExpectedCostPolicy.create(() => 0.5),
			records: RecordRegistry.create({retention: 600_000, maximumBytes: 1e9}, clock),
			runs: RunRegistry.create(metrics),
		};
		const state = (): PeerState => ({
			box: id, dataCentre: 'dc' as DataCentre, tableVersion: 1, inProgress: 0, isStopping: false, leaving: [],
		});
		const peer = LocalPeer.create({
			clock, directory, owner, table, dispatch, state,
		});
		const handOver = RecordHandOver.create({
			dataCentre: 'dc' as DataCentre, directory, log, records: dispatch.records, runs: dispatch.runs,
			peers: () => this.boxes.filter(other => other.id !== id).map(other => ({box: entryBox(other.id), peer: other.peer, state: state()})),
		});
		return {
			id, directory, dispatch, peer, handOver,
		};
	}
}

const common = {
	dataCentre: 'dc' as DataCentre, host: '127.0.0.1', port: 1, machineClass: 'm', reclaimable: true, price: 1, state: 'live' as const,
};

const engineBox = (name: string): Box => ({
	...common, id: name as BoxId, role: 'model-engine', pool,
});

const entryBox = (id: BoxId): Box => ({...common, id, role: 'entry'});

const anyEngine = fc.integer({min: 0, max: engineCount - 2});
const anyBox = fc.integer({min: 0, max: boxCount - 1});
const anyCaller = fc.nat(20);

const withCaller = (index: number, use: (world: StreamWorld, caller: Caller) => Promise<void> | void) => async (world: StreamWorld): Promise<void> => {
	const caller = world.callers[index % Math.max(1, world.callers.length)];
	if (caller) {
		await use(world, caller);
	}
};

const atEngine = (index: number, use: (engine: FakeEngine, world: StreamWorld) => void) => (world: StreamWorld): void => {
	world.faults++;
	use(world.engines.get(`engine-${index}`)!, world);
};

const steps = fc.oneof(
	{
		weight: 4, arbitrary: fc.tuple(anyBox, fc.integer({min: 1, max: 120})).map(([box, tokens]) => step<StreamWorld>(`request ${tokens} tokens at box ${box}`, world => {
			world.startRequest(box, tokens);
		})),
	},
	{
		weight: 4, arbitrary: fc.constantFrom(20, 200, 1000, 4000).map(milliseconds => step<StreamWorld>(`wait ${milliseconds}`, async world => {
			await world.time.advance(milliseconds);
		})),
	},
	{
		weight: 2, arbitrary: anyCaller.map(index => step<StreamWorld>(`caller ${index} disconnects`, withCaller(index, (world, caller) => {
			world.disconnect(caller);
		}))),
	},
	{
		weight: 3, arbitrary: fc.tuple(anyCaller, anyBox).map(([index, box]) => step<StreamWorld>(`caller ${index} resumes at box ${box}`, withCaller(index, async (world, caller) => {
			await world.resume(caller, box);
		}))),
	},
	{
		weight: 1, arbitrary: fc.tuple(anyCaller, fc.boolean()).map(([index, isSlow]) => step<StreamWorld>(`caller ${index} slow: ${String(isSlow)}`, withCaller(index, (world, caller) => {
			caller.isSlow = isSlow;
			if (!isSlow) {
				world.boxes[caller.box]!.dispatch.records.lookUp({account, key: caller.key})?.notifyDrained();
			}
		}))),
	},
	{
		weight: 2, arbitrary: anyEngine.map(index => step<StreamWorld>(`engine ${index} cuts its answers`, atEngine(index, engine => {
			engine.cutAll();
		}))),
	},
	{
		weight: 1, arbitrary: anyEngine.map(index => step<StreamWorld>(`engine ${index} stalls its answers`, atEngine(index, engine => {
			engine.stallAll();
		}))),
	},
	{
		weight: 1, arbitrary: fc.tuple(anyEngine, fc.constantFrom<FakeEngine['mode']>('serves', 'refuses', 'unreachable')).map(([index, mode]) =>
			step<StreamWorld>(`engine ${index} ${mode}`, atEngine(index, engine => {
				engine.mode = mode;
			}))),
	},
	{
		weight: 1, arbitrary: fc.tuple(anyEngine, fc.constantFrom(500, 3000)).map(([index, notice]) => step<StreamWorld>(`engine ${index} leaves in ${notice} ms`, atEngine(index, (engine, world) => {
			engine.mode = 'leaving';
			for (const {directory} of world.boxes) {
				directory.markLeaving(`engine-${index}` as BoxId, 'reclaim-notice', world.time.now + notice);
			}

			setTimeout(() => {
				engine.cutAll();
			}, notice);
		}))),
	},
	{
		weight: 1, arbitrary: anyBox.map(box => step<StreamWorld>(`box ${box} hands over its requests`, world => {
			world.reclaimBox(box);
		})),
	},
);

/** Two boxes, four engines, and callers that disconnect and resume. */
export const streamSuite: Suite<StreamWorld> = {
	name: 'streams',
	steps,
	create: time => new StreamWorld(time),
	async check(world, time) {
		for (const engine of world.engines.values()) {
			engine.mode = engine.mode === 'leaving' ? 'leaving' : 'serves';
		}

		for (const caller of world.callers) {
			caller.isSlow = false;
			world.boxes[caller.box]!.dispatch.records.lookUp({account, key: caller.key})?.notifyDrained();
		}

		for (let round = 0; round < 4; round++) {
			await time.advance(30_000);
			for (const caller of world.callers) {
				await world.resume(caller, caller.box);
			}
		}

		await time.advance(30_000);
		for (const {key, tokens, received, outcome} of world.callers) {
			assert.deepEqual(received, Array.from({length: received.length}, (_, index) => tokenEvent(key, index)), `${key} received tokens of another request, or in the wrong order`);
			assert.ok(outcome !== undefined, `${key} did not end; it received ${received.length} of ${tokens} tokens`);
			assert.ok(outcome !== 'finished' || received.length === tokens, `${key} ended as finished with ${received.length} of ${tokens} tokens`);
			// A request that has started must complete, since the last engine never fails in this suite.
			assert.ok(received.length === 0 || outcome === 'finished', `${key} was abandoned after ${received.length} of ${tokens} tokens: ${outcome}`);
		}
	},
	faults: world => world.faults,
};
