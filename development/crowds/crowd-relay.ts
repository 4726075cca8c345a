/**
 * A relay as a process with low limits, its store and its replicas, for crowds of clients. Development only.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {replicaKind} from '../../platform/formats.js';
import {path as paths} from '../../platform/names.js';
import {Child} from '../harness/child.js';
import {
	RelayInstallation, routeTo, testHost, testKey,
} from '../relay/relay-installation.js';
import {freeRelayPorts, relaySettingsText, type RelayPorts} from '../relay/relay-settings-text.js';
import {portOf} from '../standins/standin-server.js';
import type {Limits, Target} from './crowd.js';
import type {HeadWriter} from './requests.js';
import {statusOf} from './simple-call.js';

/** Milliseconds, longer than any crowd. */
const routeTimeout = 60_000;
/** Seconds. */
const grace = 8;
/** Bytes of the answer to a request whose path ends with `large`. */
const largeAnswer = 3 * 1024 * 1024;
const replicaCount = 2;

/** A replica that answers at once and counts the bytes of each body. */
class CountingReplica {
	static async start(): Promise<CountingReplica> {
		const replica = new CountingReplica();
		replica.server.listen(0, '127.0.0.1');
		await once(replica.server, 'listening');
		return replica;
	}

	/** Bytes of the bodies of complete requests. */
	readonly bodies: number[] = [];
	private readonly server: Server;

	private constructor() {
		this.server = createServer((incoming, response) => {
			let size = 0;
			incoming.on('error', () => undefined);
			incoming.on('data', (chunk: Uint8Array) => {
				size += chunk.length;
			});
			incoming.once('end', () => {
				this.bodies.push(size);
				this.answer(incoming, response);
			});
		});
	}

	get port(): number {
		return portOf(this.server);
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private answer({headers, url}: IncomingMessage, response: ServerResponse): void {
		const body = url?.endsWith('large') ? 'x'.repeat(largeAnswer) : 'answered';
		response.writeHead(200, {'Attempt-Id': headers['attempt-id'], 'Server-Stamp': 'stamp', 'Content-Length': body.length}).end(body);
	}
}

/** A relay that is exposed to crowds. */
export class CrowdRelay implements Target {
	/**
	 * @param limits - Limits in the settings of the relay.
	 * @returns The relay, which serves.
	 */
	static async start(limits: Limits): Promise<CrowdRelay> {
		const installation = await RelayInstallation.start({
			relays: 0,
			replicas: [],
			routes: [routeTo('/calls/', {timeout_ms: routeTimeout, goal_ms: routeTimeout})],
			services: [{name: 'plain', max_conns: 10_000}],
		});
		const replicas = await Promise.all(Array.from({length: replicaCount}, async () => CountingReplica.start()));
		for (const [index, {port}] of replicas.entries()) {
			installation.store.put(replicaKind, `i-${index}`, {
				service: 'plain', addr: `127.0.0.1:${port}`, zone: 'zone-1', slots: 1000, state: 'ready', seq: 1, born: Date.now(), version: 1,
			});
		}

		const relay = new CrowdRelay(limits, installation, replicas, await freeRelayPorts());
		await relay.open();
		return relay;
	}

	child!: Child;
	private readonly folder = mkdtempSync(path.join(tmpdir(), 'waydrift-crowd-'));
	private requests = 0;

	private constructor(
		readonly limits: Limits,
		private readonly installation: RelayInstallation,
		private readonly replicas: readonly CountingReplica[],
		readonly ports: RelayPorts,
	) {}

	/** Sizes of the bodies that the replicas received. */
	get bodies(): readonly number[] {
		return this.replicas.flatMap(({bodies}) => bodies);
	}

	/** Writes heads of requests of clients. */
	readonly head: HeadWriter = lines => this.headOf('/calls/x', lines);
	/** Writes heads of requests with large answers. */
	readonly largeHead: HeadWriter = lines => this.headOf('/calls/large', lines);
	/** Writes heads of requests that another box forwards. */
	readonly forwardedHead: HeadWriter = lines => this.headOf('/calls/x', ['waydrift-origin: box-2', 'waydrift-version: 1', 'waydrift-service: plain', ...lines]);

	readonly isServing = async (): Promise<boolean> => {
		this.requests++;
		const status = await statusOf({
			port: this.ports.front,
			path: '/calls/x',
			method: 'POST',
			headers: {Host: testHost, Authorization: `Bearer ${testKey}`, 'Attempt-Id': `ordinary-${this.requests}`},
			body: 'ordinary',
		});
		return status === 200;
	};

	readonly isAnsweringCheck = async (): Promise<boolean> => await statusOf({port: this.ports.ready, path: paths.ready}) === 200;

	/** Ends the relay, its store and its replicas. */
	async close(): Promise<void> {
		await this.child.kill();
		for (const replica of this.replicas) {
			replica.close();
		}

		await this.installation.close();
		rmSync(this.folder, {recursive: true});
	}

	private async open(): Promise<void> {
		const file = path.join(this.folder, 'settings.yaml');
		writeFileSync(file, relaySettingsText({
			name: 'box-1', ports: this.ports, storePort: this.installation.store.port, grace, limits: this.limits,
		}));
		this.child = Child.start('src/command/main.js', ['relay', '--settings', file], nodeOptions(this.limits));
		await this.child.line(({eventName}) => eventName === 'relayStarted');
		while (!await this.isServing()) {
			// Repeated until the relay has read its configuration.
		}
	}

	private headOf(target: string, lines: readonly string[]): string {
		this.requests++;
		return [
			`POST ${target} HTTP/1.1`, `Host: ${testHost}`, `Authorization: Bearer ${testKey}`, `Attempt-Id: crowd-${this.requests}`, ...lines, '', '',
		].join('\r\n');
	}
}

/** Part of a process's memory that deploy/system.toml grants to the old space of the heap. */
const oldSpacePart = 220 / 350;

/**
 * @param limits - Limits of a process.
 * @returns Options of Node.js in proportion to those of deploy/system.toml.
 */
export const nodeOptions = ({memory}: Limits): readonly string[] => [`--max-old-space-size=${Math.round(memory * oldSpacePart)}`, '--max-semi-space-size=1'];
