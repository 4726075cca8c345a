/**
 * A whole small deployment in one process: store, replicas and relays, on loopback. Development only.
 */
import {request, type Agent, type IncomingHttpHeaders} from 'node:http';
import {createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import {configurationKind, configurationName, replicaKind} from '../../platform/formats.js';
import {EventLog, type EventFields} from '../../src/base/event-log.js';
import type {EventName} from '../../src/base/event-catalogue.js';
import {createPlatformLink} from '../../src/command/create-platform-link.js';
import {RelayNode} from '../../src/node/relay-node.js';
import {RelayMetrics} from '../../src/relay/relay-metrics.js';
import type {RelayBounds, RelaySettings} from '../../src/settings/relay-settings.js';
import {ReplicaStandin} from './replica-standin.js';
import {StoreStandin} from './store-standin.js';

/** A line that a relay logged. */
export type LoggedEvent = EventFields & {readonly eventName: EventName};

/** Keeps what is logged. */
export class KeepingLog extends EventLog {
	readonly lines: LoggedEvent[] = [];

	override write(eventName: EventName, fields: EventFields = {}): void {
		this.lines.push({eventName, ...fields});
	}
}

/** A relay of the installation. */
export type RelayMember = {
	readonly name: string;
	readonly node: RelayNode;
	readonly port: number;
	readonly readyPort: number;
	readonly log: KeepingLog;
	readonly metrics: RelayMetrics;
	/** Ends it at once, as a kill does. */
	readonly end: () => Promise<void>;
};

/** An answer that a client got; status zero where the connection ended without a whole one. */
export type ClientView = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	readonly isWhole: boolean;
};

/** A client's request. */
export type ClientCall = {
	readonly path: string;
	readonly method?: string;
	readonly host?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly agent?: Agent;
	readonly signal?: AbortSignal;
};

/** A route as the platform spells it. */
export type WireRoute = Readonly<Record<string, unknown>>;

/** Milliseconds that a usual route allows. */
export const routeTimeout = 2000;
export const testHost = 'front.example';
export const testKey = 'key-of-basin';
const bounds: RelayBounds = {
	grace: 8000, revoke: 5000, isRevocationStrict: true, retryRatio: 0.2, retryWindow: 10_000, retrySlack: 60,
	lease: 600, isFenceRequired: false, reportWindow: 1000, reportDelay: 6000, drain: 2000, heartbeat: 1200,
};

/**
 * @param path - Path prefix.
 * @param changes - What is otherwise than usual.
 * @returns A route to the service `plain`.
 */
export const routeTo = (path: string, changes: WireRoute = {}): WireRoute => ({
	name: `r${path}`, host: testHost, path_prefix: path, kind: 'idempotent', timeout_ms: routeTimeout, goal_ms: 200, priority: 1, service: 'plain', max_attempts: 2, public: false, ...changes,
});

const usualRoutes = [
	routeTo('/calls/'),
	routeTo('/once/', {kind: 'non_idempotent', max_attempts: 1}),
	routeTo('/stream/', {kind: 'streaming', resumable: true}),
	routeTo('/whole/', {kind: 'streaming', max_attempts: 1}),
	routeTo('/long/', {kind: 'streaming', max_attempts: 1, timeout_ms: 60_000}),
];

/** What an installation is made of. */
export type InstallationPlan = {
	readonly relays: number;
	/** Ids of replicas of the service `plain`. */
	readonly replicas: readonly string[];
	readonly routes?: readonly WireRoute[];
	readonly tenant?: Readonly<Record<string, unknown>>;
	readonly services?: ReadonlyArray<Readonly<Record<string, unknown>>>;
	readonly bounds?: Partial<RelayBounds>;
	readonly withDuties?: boolean;
	/** Fingerprints of requests that run whatever they did to replicas. */
	readonly released?: readonly string[];
};

/** Milliseconds from a body that ends a replica to its end; until its entry lapses; and until it is back. */
const crashDelay = 60;
const lapseDelay = 600;
const restartDelay = 2000;

/**
 * Below the ports that Linux gives to outgoing connections, from 32,768 on: one of them could hold the port of a box that starts again. Each
 * process draws from a block of its own, in turn, since a port of a box that is down seems free to others.
 */
const firstPort = 15_000;
const portsInBlock = 500;
const blocks = 34;

let portsGiven = 0;
let attempts = 0;

/** The installation. */
export class RelayInstallation {
	/**
	 * @param plan - What it is made of.
	 * @returns The installation; every relay is ready.
	 */
	static async start(plan: InstallationPlan): Promise<RelayInstallation> {
		const installation = new RelayInstallation(plan, await StoreStandin.start());
		installation.configure();
		await Promise.all(plan.replicas.map(async id => installation.addReplica(id)));
		await Promise.all(Array.from({length: plan.relays}, async (_, index) => installation.addRelay(`relay-${index + 1}`)));
		return installation;
	}

	readonly replicas = new Map<string, ReplicaStandin>();
	/** Every start of every replica there ever was. */
	readonly everyReplica: ReplicaStandin[] = [];
	/** What each replica last wrote of itself, whatever the store holds. */
	readonly entries = new Map<string, unknown>();
	readonly relays: RelayMember[] = [];
	private prepare: ((replica: ReplicaStandin) => void) | undefined;
	private version = 0;
	/** When each replica was started, in milliseconds since the epoch. */
	private readonly born = new Map<string, number>();
	private crashMark: string | undefined;
	private onEnd: ((id: string) => void) | undefined;
	private restarts: ReadonlyArray<Promise<void>> = [];
	private isClosing = false;

	private constructor(private readonly plan: InstallationPlan, readonly store: StoreStandin) {}

	/**
	 * Puts a configuration in force.
	 *
	 * @param changes - What is otherwise than planned.
	 * @returns Its version.
	 */
	configure(changes: Readonly<Record<string, unknown>> = {}): number {
		this.version += 3;
		this.store.put(configurationKind, configurationName, {
			version: this.version,
			routes: this.plan.routes ?? usualRoutes,
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
	 * @param entry - What its entry says otherwise than usual.
	 * @returns The replica, listed.
	 */
	async addReplica(id: string, entry: Readonly<Record<string, unknown>> = {}): Promise<ReplicaStandin> {
		const replica = await ReplicaStandin.start(id);
		this.replicas.set(id, replica);
		this.everyReplica.push(replica);
		this.prepare?.(replica);
		this.born.set(id, Date.now());
		this.arm(id, replica);
		this.list(id, entry);
		return replica;
	}

	/**
	 * Writes a replica's entry.
	 *
	 * @param id - Id of the replica.
	 * @param entry - What it says otherwise than usual.
	 */
	list(id: string, entry: Readonly<Record<string, unknown>> = {}): void {
		this.entries.set(id, {
			service: 'plain', addr: `127.0.0.1:${this.replicas.get(id)!.port}`, zone: 'zone-1', slots: 8, state: 'ready', seq: 1, born: this.born.get(id), version: 1, ...entry,
		});
		this.store.put(replicaKind, id, this.entries.get(id));
	}

	/** @param prepare - Called for each replica of now and later. */
	prepareReplicas(prepare: (replica: ReplicaStandin) => void): void {
		this.prepare = prepare;
		for (const replica of this.replicas.values()) {
			prepare(replica);
		}
	}

	/**
	 * Lets the replicas of now and later end under a body, lose their entries as after three heartbeats, and start again under
	 * their ids.
	 *
	 * @param mark - What such a body holds.
	 * @param onEnd - Called at each end with the id of the replica.
	 */
	crashOn(mark: string, onEnd: (id: string) => void): void {
		this.crashMark = mark;
		this.onEnd = onEnd;
		for (const [id, replica] of this.replicas) {
			this.arm(id, replica);
		}
	}

	/** @param id - Id of a replica that is listed no longer. */
	unlist(id: string): void {
		this.entries.delete(id);
		this.store.remove(replicaKind, id);
	}

	/**
	 * @param name - Name of a new relay.
	 * @returns The relay, ready.
	 */
	async addRelay(name: string): Promise<RelayMember> {
		const member = await this.startRelay(name);
		this.relays.push(member);
		await until(() => member.node.isReady);
		return member;
	}

	/**
	 * @param name - Name of a new relay.
	 * @returns The relay, listening.
	 */
	async startRelay(name: string): Promise<RelayMember> {
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
			isFirstStart: true,
			store: loopback(this.store.port),
			duties: this.plan.withDuties ? loopback(this.store.port) : undefined,
			dutyKinds: [],
			limits: {},
			released: this.plan.released ?? [],
			bounds: {...bounds, ...this.plan.bounds},
		};
		const log = new KeepingLog();
		const metrics = RelayMetrics.create();
		let fiber: Fiber.Fiber<unknown> | undefined;
		const node = await new Promise<RelayNode>(resolve => {
			fiber = Effect.runFork(Effect.scoped(Effect.gen(function * () {
				resolve(yield * RelayNode.start({
					settings: () => settings, link: createPlatformLink(settings), log, metrics,
				}));
				yield * Effect.never;
			})));
		});
		const end = async () => {
			await Effect.runPromise(Fiber.interrupt(fiber!));
		};

		return {
			name, node, port: front!, readyPort: ready!, log, metrics, end,
		};
	}

	/**
	 * Sends a request to a relay.
	 *
	 * @param call - The request.
	 * @param relay - Which relay; the first by default.
	 * @returns What the client saw.
	 */
	async call(call: ClientCall, relay: {readonly port: number} = this.relays[0]!): Promise<ClientView> {
		attempts++;
		return send(relay.port, {
			...call,
			headers: {
				Host: call.host ?? testHost, 'Attempt-Id': `attempt-${attempts}`, Authorization: `Bearer ${testKey}`, 'Deadline-Ms': '4000', ...call.headers,
			},
		});
	}

	/** Ends everything. */
	async close(): Promise<void> {
		this.isClosing = true;
		await Promise.all(this.relays.map(async ({end}) => end()));
		await Promise.all(this.restarts);
		await Promise.all([...this.replicas.values()].map(async replica => replica.close()));
		await this.store.close();
	}

	/**
	 * Ends a replica for a reason of its own; its entry lapses and it starts again as after a body that ends it.
	 *
	 * @param id - Id of the replica.
	 */
	async end(id: string): Promise<void> {
		this.restarts = [...this.restarts, this.restart(id)];
		await this.replicas.get(id)!.close();
	}

	private arm(id: string, replica: ReplicaStandin): void {
		const {crashMark: mark} = this;
		if (mark !== undefined) {
			replica.crashMark = {
				mark, delay: crashDelay, onEnd: () => {
					this.onEnd?.(id);
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
 * Waits until something holds.
 *
 * @param holds - Asked again and again.
 * @param patience - Milliseconds after which to give up.
 */
export async function until(holds: () => boolean, patience = 15_000): Promise<void> {
	const end = performance.now() + patience;
	while (!holds()) {
		if (performance.now() > end) {
			throw new Error(`did not hold within ${patience} ms: ${holds.toString()}`);
		}

		await pause(10);
	}
}

/** @returns A TCP port of loopback that nobody listens on, and that no connection takes by itself; another one each time. */
export async function freePort(): Promise<number> {
	const port = firstPort + ((process.pid % blocks) * portsInBlock) + (portsGiven % portsInBlock);
	portsGiven++;
	const server = createServer();
	const isFree = await new Promise<boolean>(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(true);
		});
	});
	if (!isFree) {
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
		outgoing.on('error', error => {
			if (signal?.aborted) {
				reject(error);
			} else {
				resolve({
					status: 0, headers: {}, body: '', isWhole: false,
				});
			}
		});
		outgoing.once('response', answer => {
			let text = '';
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
