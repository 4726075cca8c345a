/**
 * Simulates in virtual time boxes that watch the replica list, exchange gossip, and lose datagrams and responses of the store. Each box continuously
 * sends to every replica that its directory lists as ready. Development only.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as Result from 'effect/Result';
import {type EventLog, SilentEventLog} from '../../src/base/event-log.js';
import type {StoredObject} from '../../src/follow/metadata-store.js';
import {StoreAvailability} from '../../src/follow/store-availability.js';
import {ExchangeTopology} from '../../src/gossip/exchange-topology.js';
import {decodeGossip, encodeGossip} from '../../src/gossip/gossip-codec.js';
import type {GossipMessage, MemberAddress} from '../../src/gossip/gossip-message.js';
import {PeerTable} from '../../src/gossip/peer-table.js';
import {ConfigurationRole} from '../../src/node/configuration-role.js';
import {ExchangeState, type ExchangeParts} from '../../src/node/exchange-state.js';
import type {PlatformLink} from '../../src/node/platform-link.js';
import {lapseTime, ReplicaRole} from '../../src/node/replica-role.js';
import {ReplicaDirectory} from '../../src/replicas/replica-directory.js';
import type {RouteTableView} from '../../src/routes/route-table-view.js';
import {VirtualClock, type VirtualTime} from '../fuzz/virtual-time.js';
import {
	heartbeatInterval, modelReplicaKind, ModelStore, ModelStoreClient, type ModelReplica,
} from './model-metadata-store.js';
import {createRandom} from './seeded-random.js';

/** Parameters of the simulated fleet. */
export type DepartureFleetShape = {
	readonly boxes: number;
	readonly replicas: number;
	/** Milliseconds after the store acknowledges a replica's departure, after which the replica must receive no request. */
	readonly departureBound: number;
	/** Share of datagrams that are lost, from 0 to 1. */
	readonly loss: number;
	readonly seed: number;
};

/** A request that was sent to a replica later than the bound allows. */
export type LateRequest = {
	readonly box: string;
	readonly replica: string;
	/** Milliseconds since the store acknowledged the replica's departure. */
	readonly after: number;
};

type Box = {
	readonly address: MemberAddress;
	readonly clock: VirtualClock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly replicas: ReplicaDirectory;
	readonly role: ReplicaRole;
	readonly state: ExchangeState;
	readonly storeClient: ModelStoreClient;
	readonly fibers: ReadonlyArray<Fiber.Fiber<unknown>>;
	sequence: number;
	/** Monotonic milliseconds at which each message was sent, by sequence. */
	readonly sentAt: Map<number, number>;
	round: number;
};

const service = 's';
/** Milliseconds of virtual time per simulation step. */
const stepTime = 20;
/** One-way delay of a datagram in milliseconds. */
const datagramDelay = 2;
/** Milliseconds between the monotonic clocks of two consecutive boxes. */
const clockSpread = 100_000;
/** Start of the simulation, in milliseconds since the Unix epoch. */
const epoch = 1_764_700_000_000;

/** A simulated fleet whose replicas depart. */
export class DepartureFleet {
	/**
	 * @param shape - Parameters of the fleet.
	 * @param time - Virtual time, already started.
	 * @param log - Event log of all boxes.
	 * @returns A fleet that has just started.
	 */
	static create(shape: DepartureFleetShape, time: VirtualTime, log: EventLog = SilentEventLog.create()): DepartureFleet {
		return new DepartureFleet(shape, time, log);
	}

	readonly store: ModelStore;
	readonly boxes: readonly Box[];
	/** Requests that were sent later than the bound allows. */
	readonly late: LateRequest[] = [];
	readonly random: () => number;
	private readonly addresses: readonly MemberAddress[];
	private isClosed = false;

	private constructor(private readonly shape: DepartureFleetShape, private readonly time: VirtualTime, private readonly log: EventLog) {
		this.random = createRandom(shape.seed);
		this.store = ModelStore.create(() => time.now, this.random);
		for (let index = 0; index < shape.replicas; index++) {
			this.store.add(`i-${index}`);
		}

		this.addresses = Array.from({length: shape.boxes}, (_, index) => ({name: `edge-${index}`, host: '10.0.0.1', port: 1 + index}));
		this.boxes = this.addresses.map((address, index) => this.createBox(address, index));
		for (const box of this.boxes) {
			this.schedule(box);
		}
	}

	/** @param duration - Milliseconds of virtual time to advance; in each step, every box sends to all replicas that it lists as ready. */
	async advance(duration: number): Promise<void> {
		const end = this.time.now + duration;
		while (this.time.now < end) {
			await this.time.advance(stepTime);
			this.store.advance();
			await nextTurn();
			for (const box of this.boxes) {
				this.sendFrom(box);
			}
		}
	}

	/**
	 * @param replica - A replica.
	 * @returns Number of boxes that list it as ready.
	 */
	countSenders({id}: ModelReplica): number {
		return this.boxes.filter(({replicas}) => replicas.ready(service).some(({entry}) => entry.id === id)).length;
	}

	/** Stops all boxes. */
	async close(): Promise<void> {
		this.isClosed = true;
		await Promise.all(this.boxes.flatMap(({fibers}) => fibers.map(async fiber => Effect.runPromise(Fiber.interrupt(fiber)))));
	}

	private createBox(address: MemberAddress, index: number): Box {
		const {log} = this;
		const clock = VirtualClock.create(this.time, index * clockSpread);
		clock.wallStep = epoch;
		const peers = PeerTable.create(address.name, clock, log);
		peers.addMembers(this.addresses);
		const topology = ExchangeTopology.create(address, peers);
		const replicas = ReplicaDirectory.create(clock, log);
		const storeClient = ModelStoreClient.create(this.store);
		const table = createTable(clock);
		const availability = StoreAvailability.create(clock, () => lapseTime(heartbeatInterval));
		const followed = {
			link: {store: storeClient, names: storeNames} as unknown as PlatformLink, clock, log, availability, followsStore: () => topology.isAggregator,
		};
		const configuration = ConfigurationRole.create({...followed, table, fallbackDelay: 3000 + (100 * index)});
		const role = ReplicaRole.create({
			...followed, replicas, drain: () => this.shape.departureBound, fallbackDelay: 4500 + (100 * index), openFetch: (_, take) => this.fetchFor(take),
		});
		// Contains only the parts that replica list updates use.
		const parts = {
			clock, log, peers, topology, availability, configuration, replicaRole: role, rolloutRole: {update: undefined}, fleetEvidence: {record: () => undefined}, isStopping: () => false,
			slotRanges: {applyReceived: () => undefined}, weights: {sample: () => undefined, updates: () => []}, services: {replicas, table, ...stubServices},
		} as unknown as ExchangeParts;
		const fibers = [role.follow(), role.sweep(), configuration.follow(), configuration.prove()].map(effect => Effect.runFork(effect));
		return {
			address, clock, peers, topology, replicas, role, state: ExchangeState.create(parts), storeClient, fibers, sequence: 0, sentAt: new Map(), round: index,
		};
	}

	private fetchFor(receive: (content: unknown) => void) {
		return {
			from: ({name}: MemberAddress) => {
				const box = this.boxes.find(({address}) => address.name === name)!;
				this.deliver(() => {
					const content: unknown = structuredClone(box.role.listing);
					this.deliver(() => {
						receive(content);
					});
				});
			},
		};
	}

	private sendFrom(box: Box): void {
		for (const {entry: {id}} of box.replicas.ready(service)) {
			const {leftAt} = this.store.replicas.find(replica => replica.id === id)!;
			const after = leftAt === undefined ? 0 : this.time.now - leftAt;
			if (after > this.shape.departureBound) {
				this.late.push({box: box.address.name, replica: id, after});
			}
		}
	}

	private schedule(box: Box): void {
		setTimeout(() => {
			if (!this.isClosed) {
				this.sendGossip(box);
				this.schedule(box);
			}
		}, box.topology.pause(this.random()));
	}

	private sendGossip(box: Box): void {
		const {peers, topology, state} = box;
		peers.sweep();
		peers.isLarge = topology.isLarge;
		peers.heardWithin = topology.heardWithin;
		box.round++;
		const message = this.messageOf(box, state.localState(true));
		const targets = topology.targets(box.round);
		for (const [place, {address}] of targets.entries()) {
			peers.recordSent(address.name);
			const other = this.boxes.find(({address: {name}}) => name === address.name)!;
			const asksDigest = topology.isLarge && place === box.round % targets.length;
			this.deliver(() => {
				this.receiveGossip(other, box, encodeGossip({...message, ...echoOf(box, address), ...(asksDigest ? {asksDigest} : {})}));
			});
		}
	}

	private receiveGossip(box: Box, sender: Box, data: Uint8Array): void {
		const message = decodeGossip(data)!;
		const {peers, topology, state} = box;
		const contact = peers.recordMessage(message);
		if (contact === undefined) {
			return;
		}

		const madeAt = timeMade(box, message);
		if (message.digest) {
			peers.recordFleetSize(message.digest.boxes);
			state.applyDigest(message, message.digest, madeAt);
			return;
		}

		state.applyMessage(message, contact, madeAt);
		if (topology.isLarge) {
			const isWhole = message.asksDigest === true;
			const answer = this.messageOf(box, {
				...state.commonUpdate(isWhole), quota: [], isWhole: false, work: [], usage: [], digest: state.digestFor(peers.named(sender.address.name)!, isWhole),
			});
			this.deliver(() => {
				this.receiveGossip(sender, box, encodeGossip({...answer, ...echoOf(box, sender.address)}));
			});
		}
	}

	private messageOf(box: Box, parts: Omit<GossipMessage, 'sender' | 'incarnation' | 'sequence' | 'uptime' | 'wall' | 'members'>): GossipMessage {
		box.sequence++;
		box.sentAt.set(box.sequence, box.clock.monotonic());
		return {
			...parts, sender: box.address, incarnation: 'first', sequence: box.sequence, uptime: box.peers.uptime, wall: box.clock.wall(), members: [],
		};
	}

	private deliver(receive: () => void): void {
		if (this.random() >= this.shape.loss) {
			setTimeout(() => {
				if (!this.isClosed) {
					receive();
				}
			}, datagramDelay);
		}
	}
}

/** @returns What a message says of the last one that its sender received from the box to which it goes. */
const echoOf = ({peers, clock}: Box, {name}: MemberAddress): Pick<GossipMessage, 'echo'> => {
	const {last, heardAt = 0} = peers.named(name) ?? {};
	return last ? {echo: {incarnation: last.incarnation, sequence: last.sequence, age: Math.floor(clock.monotonic() - heardAt)}} : {};
};

/** @returns Milliseconds by the clock of the box before which a message cannot have been made; `undefined` if unknown. */
const timeMade = ({sentAt}: Box, {echo}: GossipMessage): number | undefined => {
	const leftAt = echo && sentAt.get(echo.sequence);
	return leftAt === undefined ? undefined : leftAt + echo!.age;
};

const storeNames = {
	replicaKind: modelReplicaKind,
	configurationKind: 'config',
	configurationName: 'main',
	decodeConfiguration: () => Result.succeed({version: 1}),
	decodeReplica: ({name, revision, spec}: StoredObject) => Result.succeed({
		id: name, bornAt: undefined, software: '', revision, service, host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 1,
		isReclaimable: false, leavesIn: undefined, ...spec as {readonly isDraining: boolean},
	}),
};

const stubServices = {
	evidence: {reports: []},
	rollouts: {permitsFor: () => []},
	quarantine: {collectUpdate: () => undefined},
	reach: {unreachable: []},
	brittle: {services: new Set<string>()},
	statements: {updates: () => undefined},
	loads: {updates: () => [], merge: () => undefined},
	scheduling: {isOn: () => false, costs: {summaries: [], pooled: []}},
	quota: {
		counts: [], recentCounts: [], levelsFor: () => [], knows: () => true, applyCounts: () => undefined, adopt: () => undefined,
	},
	usage: {ownUsage: [], recentOwnUsage: [], merge: () => undefined},
	demands: {snapshots: [], readSamples: []},
	fleetRates: {all: [], adopt: () => undefined},
	limits: {services: [], openDueSlots: () => undefined},
};

/** Creates a route table whose version never changes. */
function createTable(clock: VirtualClock): RouteTableView {
	let provenAt = Number.NEGATIVE_INFINITY;
	const table = {
		version: 1,
		get proofAge() {
			return clock.monotonic() - provenAt;
		},
		prove(_: number, at: number) {
			provenAt = Math.max(provenAt, at);
		},
	};
	return table as unknown as RouteTableView;
}
