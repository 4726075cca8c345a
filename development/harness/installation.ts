/**
 * A complete deployment of separate processes on loopback: the platform stand-in, upstreams and entry boxes.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {Box} from '../../src/external/box-list.js';
import type {BoxId, DataCentre, PoolName} from '../../src/base/identifiers.js';
import type {Settings} from '../../src/settings/settings.js';
import type {Table} from '../../src/table/table.js';
import {encodeVersionedTable} from '../../src/table/versioned-table.js';
import type {EngineTraits} from '../standins/model-engine.js';
import {Child} from './child.js';

const standinProgram = 'development/standins/main.js';
const daemonProgram = 'src/command/main.js';

/** A process of a box in the box list. */
export type Member = {
	readonly box: Box;
	readonly child: Child;
	/** TCP port for operators of an entry box; 0 for an upstream. */
	readonly operatorsPort: number;
};

/** Options for the start of an entry box. */
export type EntryOptions = {
	readonly dataCentre: string;
	/** TCP port through which this box reaches the platform, for example that of a proxy. */
	readonly platformPort?: number;
	/** The setting `stopping.balancerDelay`, in milliseconds. */
	readonly balancerDelay?: number;
	/** Options for Node.js itself, for example to profile a box. */
	readonly nodeOptions?: readonly string[];
	/** The section `limits` of its settings. */
	readonly limits?: Settings['limits'];
	/** Maps its TCP port for peers to the port that other boxes use, for example that of a proxy. */
	readonly proxyPeers?: (port: number) => Promise<number>;
};

/** Options for the start of an upstream. */
export type UpstreamOptions = {
	readonly dataCentre: string;
	readonly pool: string;
	readonly price?: number;
	readonly traits?: Partial<EngineTraits>;
	/** Maps the TCP port of the upstream to the port that the boxes use, for example that of a proxy. */
	readonly proxy?: (port: number) => Promise<number>;
};

/** Calls one of the stand-ins' control paths. */
export async function control(port: number, name: string, value: unknown): Promise<unknown> {
	const answer = await fetch(`http://127.0.0.1:${port}/control/${name}`, {method: 'POST', body: JSON.stringify(value)});
	return answer.json();
}

/** A complete deployment for tests. */
export class Installation {
	/** @returns A deployment that consists of the platform only. */
	static async create(): Promise<Installation> {
		const platform = Child.start(standinProgram, ['platform', '0']);
		const {port} = await platform.line(line => 'port' in line);
		return new Installation(platform, port as number);
	}

	readonly members = new Map<string, Member>();
	/** TCP ports of the upstreams themselves, without a proxy in front of them. */
	readonly directPorts = new Map<string, number>();
	private readonly folder = mkdtempSync(path.join(tmpdir(), 'waydrift-'));
	private edits = 0;

	private constructor(readonly platform: Child, readonly platformPort: number) {}

	/** Entry boxes whose process is running. */
	get entries(): readonly Member[] {
		return [...this.members.values()].filter(({box, child}) => box.role === 'entry' && !child.isEnded);
	}

	/**
	 * Starts an entry box and adds it to the box list.
	 *
	 * @param name - Its name.
	 * @param options - How it is started.
	 * @returns The box.
	 */
	async addEntry(name: string, options: EntryOptions): Promise<Member> {
		const file = path.join(this.folder, `${name}.yaml`);
		const listener = {host: '127.0.0.1', port: 0};
		writeFileSync(file, JSON.stringify({
			box: name,
			dataCentre: options.dataCentre,
			callers: listener,
			peers: listener,
			operators: listener,
			platform: {host: '127.0.0.1', port: options.platformPort ?? this.platformPort},
			stopping: {balancerDelay: options.balancerDelay ?? 500},
			...(options.limits ? {limits: options.limits} : {}),
		}));
		const child = Child.start(daemonProgram, ['serve', '--settings', file], options.nodeOptions);
		const started = await child.line(line => line.eventName === 'boxStarted');
		const peerPort = started.peers as number;
		return this.register({
			...this.describe(name, options.dataCentre, started.callers as number),
			role: 'entry',
			peerPort: await options.proxyPeers?.(peerPort) ?? peerPort,
		}, child, started.operators as number);
	}

	/**
	 * Starts a model engine and adds it to the box list.
	 *
	 * @param name - Its name.
	 * @param options - How it is started.
	 * @returns The engine.
	 */
	async addEngine(name: string, options: UpstreamOptions): Promise<Member> {
		return this.addUpstream(name, 'model-engine', options);
	}

	/**
	 * Starts a plain service and adds it to the box list.
	 *
	 * @param name - Its name.
	 * @param options - How it is started.
	 * @returns The service.
	 */
	async addService(name: string, options: UpstreamOptions): Promise<Member> {
		return this.addUpstream(name, 'plain-service', options);
	}

	/**
	 * Writes a new version of the table to the Object API, as an operator does.
	 *
	 * @param table - The table.
	 * @returns Version of the table.
	 */
	async applyTable(table: Table): Promise<number> {
		const url = `http://127.0.0.1:${this.platformPort}/objects/table`;
		const current = await fetch(url);
		const {version} = await current.json() as {readonly version: number};
		this.edits++;
		const value = encodeVersionedTable({
			id: `edit-${this.edits}`, author: 'harness', comment: '', at: 0, base: version, previous: '',
		}, table);
		const answer = await fetch(`${url}?expected=${version}`, {method: 'PUT', body: value});
		const written = await answer.json() as {readonly version: number};
		return written.version;
	}

	/** Waits until every entry box is ready and reaches all its peers. */
	async untilReady(): Promise<void> {
		await Promise.all(this.entries.map(async ({operatorsPort}) => until(async () => {
			const answer = await fetch(`http://127.0.0.1:${operatorsPort}/readyz`);
			return answer.ok && await readMetric(operatorsPort, 'waydrift_peers_reachable') === this.entries.length - 1;
		})));
	}

	/**
	 * Makes the platform reclaim a box.
	 *
	 * @param name - Name of the box.
	 * @param notice - Notice period in milliseconds, after which the process is killed.
	 */
	async reclaim(name: string, notice: number): Promise<void> {
		const {child, box} = this.members.get(name)!;
		await control(this.platformPort, 'reclaim', {box: name, notice});
		if (box.role !== 'entry') {
			await control(this.directPorts.get(name)!, 'leave', {notice});
		}

		setTimeout(() => {
			child.signal('SIGKILL');
			void control(this.platformPort, 'remove', {box: name}).catch(() => undefined);
		}, notice);
	}

	/** Kills all processes and deletes their settings files. */
	async close(): Promise<void> {
		await Promise.all([...this.members.values()].map(async ({child}) => child.kill()));
		await this.platform.kill();
		rmSync(this.folder, {recursive: true});
	}

	private async addUpstream(name: string, role: 'model-engine' | 'plain-service', options: UpstreamOptions): Promise<Member> {
		const child = Child.start(standinProgram, [role, '0', JSON.stringify(options.traits ?? {})]);
		const {port} = await child.line(line => 'port' in line);
		this.directPorts.set(name, port as number);
		const advertisedPort = await options.proxy?.(port as number) ?? port as number;
		return this.register({
			...this.describe(name, options.dataCentre, advertisedPort),
			role,
			pool: options.pool as PoolName,
			price: options.price ?? 1,
		}, child, 0);
	}

	private describe(name: string, dataCentre: string, port: number) {
		return {
			id: name as BoxId,
			dataCentre: dataCentre as DataCentre,
			host: '127.0.0.1',
			port,
			machineClass: 'standard',
			reclaimable: true,
			price: 1,
			state: 'live' as const,
		};
	}

	private async register(box: Box, child: Child, operatorsPort: number): Promise<Member> {
		const member: Member = {box, child, operatorsPort};
		this.members.set(box.id, member);
		await control(this.platformPort, 'boxes', box);
		return member;
	}
}

/** Milliseconds between two checks of a condition. */
const checkInterval = 25;
/** Timeout in milliseconds for a condition; generous, so that a slow machine does not fail a test. */
const conditionTimeout = 60_000;

/**
 * Waits for a condition, not for a time.
 *
 * @param isMet - The condition; one that throws is not met.
 */
export async function until(isMet: () => Promise<boolean> | boolean): Promise<void> {
	const endsAt = performance.now() + conditionTimeout;
	while (performance.now() < endsAt) {
		try {
			if (await isMet()) {
				return;
			}
		} catch {
			// A condition that throws is not met yet.
		}

		await new Promise(resolve => {
			setTimeout(resolve, checkInterval);
		});
	}

	throw new Error(`condition not met within ${conditionTimeout} ms: ${String(isMet)}`);
}

/**
 * @param operatorsPort - TCP port for operators of an entry box.
 * @param name - Name of a metric, with its labels as printed.
 * @returns Its value; 0 if the metric is absent.
 */
export async function readMetric(operatorsPort: number, name: string): Promise<number> {
	const answer = await fetch(`http://127.0.0.1:${operatorsPort}/metrics`);
	const text = await answer.text();
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `));
	return Number(line?.split(' ').at(-1) ?? 0);
}
