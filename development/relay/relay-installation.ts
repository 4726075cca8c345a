/**
 * A complete small deployment in one process on loopback: metadata store, replicas and relays. Development only.
 */
import {request, type Agent, type IncomingHttpHeaders} from 'node:http';
import {createServer, type Server} from 'node:net';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import {configurationKind, configurationName, replicaKind} from '../../platform/formats.js';
import {EventLog, type EventFields} from '../../src/base/event-log.js';
import type {EventName} from '../../src/base/event-catalogue.js';
import {sumOf} from '../../src/base/sum.js';
import {createPlatformLink} from '../../src/command/create-platform-link.js';
import {RelayNode} from '../../src/node/relay-node.js';
import {RelayMetrics} from '../../src/relay/relay-metrics.js';
import {
	defaultScheduling, type RelayBounds, type RelaySettings, type RolloutBounds,
} from '../../src/settings/relay-settings.js';
import {ReplicaNetwork} from '../harness/replica-network.js';
import {ReplicaStandin} from './replica-standin.js';
import {StoreStandin} from './store-standin.js';

/** An event that a relay logged. */
export type LoggedEvent = EventFields & {readonly eventName: EventName};

/** An event log that keeps all events in memory. */
export class RecordingLog extends EventLog {
	readonly lines: LoggedEvent[] = [];

	override write(eventName: EventName, fields: EventFields = {}): void {
		this.lines.push({eventName, ...fields});
	}
}

/** A relay of the deployment. */
export type RelayMember = {
	readonly name: string;
	readonly node: RelayNode;
	readonly port: number;
	readonly readyPort: number;
	/** Port on which other boxes send to it. */
	readonly controlPort: number;
	readonly log: RecordingLog;
	readonly metrics: RelayMetrics;
	/** The network between it and the replicas. */
	readonly network: ReplicaNetwork;
	/** Stops the relay at once, without draining, as a killed process does. */
	readonly kill: () => Promise<void>;
};

/** A response as its client received it; the status is 0 if the connection failed before the response began. */
export type ClientView = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	readonly isWhole: boolean;
};

/** A request of a client. */
export type ClientCall = {
	readonly path: string;
	readonly method?: string;
	readonly host?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly agent?: Agent;
	readonly signal?: AbortSignal;
};

/** A route in the platform's wire format. */
export type WireRoute = Readonly<Record<string, unknown>>;

/** Timeout of the default routes, in milliseconds. */
export const routeTimeout = 2000;
export const testHost = 'front.example';
export const testKey = 'key-of-basin';
const bounds: RelayBounds = {
	grace: 8000, revoke: 5000, isRevocationStrict: true, retryRatio: 0.2, retryWindow: 10_000, retrySlack: 60,
	lease: 600, isFenceRequired: false, reportWindow: 1000, reportDelay: 6000, drain: 2000, heartbeat: 1200,
};

/**
 * @param path - Path prefix.
 * @param changes - Fields that differ from the default route.
 * @returns A route to the service `plain`.
 */
export const routeTo = (path: string, changes: WireRoute = {}): WireRoute => ({
	name: `r${path}`, host: testHost, path_prefix: path, kind: 'idempotent', timeout_ms: routeTimeout, goal_ms: 200, priority: 1, service: 'plain', max_attempts: 2, public: false, ...changes,
});

const defaultRoutes = [
	routeTo('/calls/'),
	routeTo('/once/', {kind: 'non_idempotent', max_attempts: 1}),
	routeTo('/stream/', {kind: 'streaming', resumable: true}),
	routeTo('/whole/', {kind: 'streaming', max_attempts: 1}),
	routeTo('/long/', {kind: 'streaming', max_attempts: 1, timeout_ms: 60_000}),
];

/** Parameters of a deployment. */
export type InstallationPlan = {
	readonly relays: number;
	/** Ids of replicas of the service `plain`. */
	readonly replicas: readonly string[];
	readonly routes?: readonly WireRoute[];
	readonly tenant?: Readonly<Record<string, unknown>>;
	readonly services?: ReadonlyArray<Readonly<Record<string, unknown>>>;
	readonly bounds?: Partial<RelayBounds>;
	readonly withDuties?: boolean;
	/** @returns Software version of a replica; by default all have the same. */
	readonly versionOf?: (id: string) => string;
	/** Bounds of rollouts; without them the relays follow none. */
	readonly rollout?: RolloutBounds;
	/** Fingerprints of requests that are exempt from quarantine, even if they crashed replicas. */
	readonly released?: readonly string[];
};

/** Milliseconds from a request that crashes a replica to the crash. */
const crashDelay = 60;
/** Milliseconds from the crash of a replica until its entry lapses. */
const lapseDelay = 600;
/** Milliseconds from the crash of a replica until its restart. */
const restartDelay = 2000;

/**
 * First port of the first block. Ports are below the range that Linux assigns to outgoing connections, which starts at 32,768: such a connection
 * could occupy the port of a box that restarts. Each process uses a block of its own, because the port of a stopped box looks free to other
 * processes; it listens on the first port of the block to claim it.
 */
const firstPort = 15_000;
/** Number of ports in a block. */
const portsInBlock = 500;
/** Number of blocks of ports. */
const blocks = 34;

let claimedBlock: Promise<number> | undefined;
let assignedPorts = 0;
let attempts = 0;

/** A deployment of relays and replicas for tests. */
export class RelayInstallation {
	/**
	 * @param plan - Parameters of the deployment.
	 * @returns The deployment, with all relays ready.
	 */
	static async start(plan: InstallationPlan): Promise<RelayInstallation> {
		const installation = new RelayInstallation(plan, await StoreStandin.start());
		installation.configure();
		await Promise.all(plan.replicas.map(async id => installation.addReplica(id)));
		await Promise.all(Array.from({length: plan.relays}, async (_, index) => installation.addRelay(`relay-${index + 1}`)));
		return installation;
	}

	readonly replicas = new Map<string, ReplicaStandin>();
	/** All replica processes so far; a restarted replica adds a new one. */
	readonly allReplicas: ReplicaStandin[] = [];
	/** The last entry that each replica wrote, which may differ from the store's after a fault. */
	readonly entries = new Map<string, unknown>();
	readonly relays: RelayMember[] = [];
	private prepare: ((replica: ReplicaStandin) => void) | undefined;
	private version = 0;
	/** Start time of each replica, in milliseconds since the Unix epoch. */
	private readonly startTimes = new Map<string, number>();
	private crashMark: string | undefined;
	private isAnswering = false;
	private onCrash: ((id: string) => void) | undefined;
	private restarts: ReadonlyArray<Promise<void>> = [];
	private isClosing = false;
	private cutCalls = 0;
	/** Names of the relays that were started. */
	private readonly started = new Set<string>();

	private constructor(private readonly plan: InstallationPlan, readonly store: StoreStandin) {}

	/**
	 * Writes a new configuration to the store.
	 *
	 * @param changes - Top-level fields that differ from the plan.
	 * @returns Version of the configuration.
	 */
	configure(changes: Readonly<Record<string, unknown>> = {}): number {
		this.version += 3;
		this.store.put(configurationKind, configurationName, {
			version: this.version,
			routes: this.plan.routes ?? defaultRoutes,
			services: this.plan.services ?? [{name: 'plain', max_conns: 100}],
			limits: {max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000},
			tenants: [{
				name: 'basin', api_keys: [testKey], unit: 'requests', plain_tokens: 1, rate_per_s: 0, burst: 0, ...this.plan.tenant,
			}],
			...changes,
		});
		return this.version;
	}

	/**
	 * @param id - Id of a new replica of the service `plain`.
	 * @param entry - Fields of its entry that differ from the default.
	 * @returns The replica, with its entry in the store.
	 */
	async addReplica(id: string, entry: Readonly<Record<string, unknown>> = {}): Promise<ReplicaStandin> {
		const replica = await ReplicaStandin.start(id);
		this.replicas.set(id, replica);
		this.allReplicas.push(replica);
		this.prepare?.(replica);
		this.startTimes.set(id, Date.now());
		this.setCrashMark(id, replica);
		this.list(id, entry);
		return replica;
	}

	/**
	 * Writes a replica's entry to the store.
	 *
	 * @param id - Id of the replica.
	 * @param entry - Fields that differ from the default.
	 */
	list(id: string, entry: Readonly<Record<string, unknown>> = {}): void {
		this.entries.set(id, {
			service: 'plain',
			addr: `127.0.0.1:${this.replicas.get(id)!.port}`,
			zone: 'zone-1',
			slots: 8,
			state: 'ready',
			seq: 1,
			born: this.startTimes.get(id),
			version: this.plan.versionOf?.(id) ?? 1,
			...entry,
		});
		this.store.put(replicaKind, id, this.entries.get(id));
	}

	/** @param prepare - Called for each existing and each future replica. */
	prepareReplicas(prepare: (replica: ReplicaStandin) => void): void {
		this.prepare = prepare;
		for (const replica of this.replicas.values()) {
			prepare(replica);
		}
	}

	/**
	 * Makes all existing and future replicas crash when they receive a request with a mark. After a crash, the entry lapses as it
	 * does after three missed heartbeats, and the replica restarts under the same id.
	 *
	 * @param mark - Text that its body contains, or id of a part of its prompt.
	 * @param onCrash - Called at each crash with the id of the replica.
	 * @param isAnswering - Whether replicas begin their answers before they crash.
	 */
	crashOn(mark: string, onCrash: (id: string) => void, isAnswering = false): void {
		this.crashMark = mark;
		this.isAnswering = isAnswering;
		this.onCrash = onCrash;
		for (const [id, replica] of this.replicas) {
			this.setCrashMark(id, replica);
		}
	}

	/** @param id - Id of a replica whose entry is removed from the store. */
	unlist(id: string): void {
		this.entries.delete(id);
		this.store.remove(replicaKind, id);
	}

	/**
	 * @param name - Name of a new relay.
	 * @returns The relay, after it has become ready.
	 */
	async addRelay(name: string): Promise<RelayMember> {
		const member = await this.startRelay(name);
		this.relays.push(member);
		await until(() => member.node.isReady);
		return member;
	}

	/**
	 * @param name - Name of a new relay.
	 * @param changes - Settings that differ from those of this deployment.
	 * @returns The relay, which listens but may not be ready yet.
	 */
	async startRelay(name: string, changes: Partial<RelaySettings> = {}): Promise<RelayMember> {
		const [front, ready, control, metricsPort] = await Promise.all(Array.from({length: 4}, async () => freePort()));
		const loopback = (port: number | undefined) => ({host: '127.0.0.1', port: port!});
		const settings: RelaySettings = {
			node: name,
			dataCentre: 'zone-1',
			front: loopback(front),
			ready: loopback(ready),
			control: loopback(control),
			metrics: loopback(metricsPort),
			seeds: [],
			isFirstStart: !this.started.has(name),
			store: loopback(this.store.port),
			duties: this.plan.withDuties ? loopback(this.store.port) : undefined,
			dutyKinds: [],
			limits: {},
			released: this.plan.released ?? [],
			rollout: this.plan.rollout,
			scheduling: defaultScheduling,
			bounds: {...bounds, ...this.plan.bounds},
			...changes,
		};
		this.started.add(name);
		const log = new RecordingLog();
		const metrics = RelayMetrics.create();
		const network = ReplicaNetwork.create();
		let fiber: Fiber.Fiber<unknown> | undefined;
		const node = await new Promise<RelayNode>(resolve => {
			fiber = Effect.runFork(Effect.scoped(Effect.gen(function * () {
				resolve(yield * RelayNode.start({
					settings: () => settings, link: createPlatformLink(settings), log, metrics, connector: network.connector,
				}));
				yield * Effect.never;
			})));
		});
		const kill = async () => {
			await Effect.runPromise(Fiber.interrupt(fiber!));
		};

		return {
			name, node, port: settings.front.port, readyPort: settings.ready.port, controlPort: settings.control.port, log, metrics, network, kill,
		};
	}

	/** Waits until each relay has received messages of all others, as in a small fleet that has been running for a while. */
	async untilAllHeard(): Promise<void> {
		const heardBy = ({log}: RelayMember) => new Set(log.lines.filter(({eventName}) => eventName === 'memberHeard').map(({member}) => member));
		await until(() => this.relays.every(relay => heardBy(relay).size === this.relays.length - 1));
	}

	/**
	 * Sends a request to a relay.
	 *
	 * @param call - The request.
	 * @param relay - The relay to send to; the first by default.
	 * @returns The response as the client received it.
	 */
	async call(call: ClientCall, relay: {readonly port: number} = this.relays[0]!): Promise<ClientView> {
		attempts++;
		const view = await send(relay.port, {
			...call,
			headers: {
				Host: call.host ?? testHost, 'Attempt-Id': `attempt-${attempts}`, Authorization: `Bearer ${testKey}`, 'Deadline-Ms': '4000', ...call.headers,
			},
		});
		this.cutCalls += Number(view.status === 0);
		return view;
	}

	/**
	 * An overloaded relay closes new connections unread, since their clients reach another box; a busy test process overloads all of its relays.
	 *
	 * @returns Number of calls so far that were cut without an answer, without those whose connections the relays closed unread.
	 */
	async countCut(): Promise<number> {
		const counters = await Promise.all(this.relays.map(async ({metrics}) => metrics.connectionsShed.get()));
		const unread = sumOf(counters.flatMap(({values}) => values).map(({value}) => value));
		return Math.max(0, this.cutCalls - unread);
	}

	/** Stops all relays, replicas and the store. */
	async close(): Promise<void> {
		this.isClosing = true;
		await Promise.all(this.relays.map(async ({kill}) => kill()));
		await Promise.all(this.restarts);
		await Promise.all([...this.replicas.values()].map(async replica => replica.close()));
		await this.store.close();
	}

	/**
	 * Crashes a replica independently of any request. Its entry lapses and it restarts as after a crash that a request caused.
	 *
	 * @param id - Id of the replica.
	 */
	async crashReplica(id: string): Promise<void> {
		this.restarts = [...this.restarts, this.restart(id)];
		await this.replicas.get(id)!.close();
	}

	private setCrashMark(id: string, replica: ReplicaStandin): void {
		const {crashMark: mark, isAnswering} = this;
		if (mark !== undefined) {
			replica.crashMark = {
				mark, delay: crashDelay, isAnswering, onCrash: () => {
					this.onCrash?.(id);
					this.restarts = [...this.restarts, this.restart(id)];
				},
			};
		}
	}

	private async restart(id: string): Promise<void> {
		await pause(lapseDelay);
		this.unlist(id);
		await pause(restartDelay - lapseDelay);
		if (!this.isClosing) {
			const {conduct} = this.replicas.get(id)!;
			const replica = await this.addReplica(id);
			replica.behave(conduct);
		}
	}
}

/**
 * Waits until a condition is met.
 *
 * @param isMet - The condition, checked every 10 ms.
 * @param timeout - Timeout in milliseconds.
 */
export async function until(isMet: () => boolean, timeout = 15_000): Promise<void> {
	const end = performance.now() + timeout;
	while (!isMet()) {
		if (performance.now() > end) {
			throw new Error(`condition not met within ${timeout} ms: ${isMet.toString()}`);
		}

		await pause(10);
	}
}

/** @returns A server on the port; `undefined` if the port is in use. */
async function listenOn(port: number): Promise<Server | undefined> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

/** @returns The first port of a block that no other process has claimed; it stays in use until this process exits. */
async function claimBlock(block: number, left: number): Promise<number> {
	if (left === 0) {
		throw new Error(`All ${blocks} blocks of ports are in use.`);
	}

	const port = firstPort + (block * portsInBlock);
	const server = await listenOn(port);
	if (!server) {
		return claimBlock((block + 1) % blocks, left - 1);
	}

	server.unref();
	return port;
}

/** @returns A TCP port on loopback that is free and outside the range of outgoing connections; a different port at each call. */
export async function freePort(): Promise<number> {
	claimedBlock ??= claimBlock(process.pid % blocks, blocks);
	const claimed = await claimedBlock;
	const port = claimed + 1 + (assignedPorts % (portsInBlock - 1));
	assignedPorts++;
	const server = await listenOn(port);
	if (!server) {
		return freePort();
	}

	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

async function send(port: number, {path, method = 'GET', headers, body, agent, signal}: ClientCall): Promise<ClientView> {
	return new Promise((resolve, reject) => {
		const outgoing = request({
			host: '127.0.0.1', port, path, method, headers, agent: agent ?? false, signal,
		});
		let hasBegun = false;
		outgoing.on('error', error => {
			if (signal?.aborted) {
				reject(error);
			} else if (!hasBegun) {
				resolve({
					status: 0, headers: {}, body: '', isWhole: false,
				});
			}
		});
		outgoing.once('response', answer => {
			let text = '';
			hasBegun = true;
			answer.setEncoding('utf8');
			answer.on('data', (chunk: string) => {
				text += chunk;
			});
			answer.on('error', () => undefined);
			answer.once('close', () => {
				resolve({
					status: answer.statusCode ?? 0, headers: answer.headers, body: text, isWhole: answer.complete,
				});
			});
		});
		outgoing.end(body);
	});
}
