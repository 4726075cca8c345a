/**
 * Starts relays that keep their ports when they are started again, in this process or as processes. Development only.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {path as paths} from '../../platform/names.js';
import {Child} from '../harness/child.js';
import type {RelayInstallation} from './relay-installation.js';
import {freeRelayPorts, relaySettingsText, type RelayPorts} from './relay-settings-text.js';
import type {StoreListener} from './store-standin.js';

/** A line that a relay logged. */
export type RelayLine = Readonly<Record<string, unknown>>;

/** A relay that was started. */
export type StartedRelay = {
	readonly name: string;
	/** TCP port for clients. */
	readonly port: number;
	readonly lines: readonly RelayLine[];
	/** @returns Whether the relay tells the balancer that it serves. */
	readonly isReady: () => Promise<boolean>;
	readonly kill: () => Promise<void>;
};

/** The address of a relay, and the listener of the store that it alone uses. */
export type RelayPlace = {readonly ports: RelayPorts; readonly store: StoreListener};

/** Maximum duration of a graceful stop in seconds. */
const grace = 6;

/** Starts the relays of one deployment. */
export abstract class RelayHost {
	private readonly started = new Set<string>();

	protected constructor(protected readonly installation: RelayInstallation, readonly places: ReadonlyMap<string, RelayPlace>) {}

	/**
	 * @param name - Name of a relay.
	 * @returns The relay, which may not be ready yet.
	 */
	async start(name: string): Promise<StartedRelay> {
		const isFirstStart = !this.started.has(name);
		this.started.add(name);
		return this.launch(name, this.places.get(name)!, isFirstStart);
	}

	/** Releases what the host has opened; the relays must have been killed. */
	abstract close(): void;

	protected abstract launch(name: string, place: RelayPlace, isFirstStart: boolean): Promise<StartedRelay>;

	protected get controlPorts(): readonly number[] {
		return [...this.places.values()].map(({ports: {control}}) => control);
	}
}

/**
 * @param installation - The deployment.
 * @param names - Names of relays.
 * @returns Ports of each, and a listener of the store for it.
 */
export async function createPlaces(installation: RelayInstallation, names: readonly string[]): Promise<ReadonlyMap<string, RelayPlace>> {
	return new Map(await Promise.all(names.map(async name => [name, {ports: await freeRelayPorts(), store: await installation.store.openListener()}] as const)));
}

/** Runs relays in this process. */
export class LocalRelayHost extends RelayHost {
	/**
	 * @param installation - The deployment.
	 * @param names - Names of its relays.
	 * @returns The host.
	 */
	static async create(installation: RelayInstallation, names: readonly string[]): Promise<RelayHost> {
		return new LocalRelayHost(installation, await createPlaces(installation, names));
	}

	override close(): void {
		// The deployment closes the listeners of its store.
	}

	protected override async launch(name: string, {ports, store}: RelayPlace, isFirstStart: boolean): Promise<StartedRelay> {
		const loopback = (port: number) => ({host: '127.0.0.1', port});
		const {node, port, log: {lines}, kill} = await this.installation.startRelay(name, {
			front: loopback(ports.front),
			ready: loopback(ports.ready),
			control: loopback(ports.control),
			metrics: loopback(ports.metrics),
			seeds: this.controlPorts.map(control => loopback(control)),
			store: loopback(store.port),
			isFirstStart,
		});
		return {
			name, port, lines, kill, isReady: async () => node.isReady,
		};
	}
}

/** Runs each relay as a process. */
export class ProcessRelayHost extends RelayHost {
	/**
	 * @param installation - The deployment.
	 * @param names - Names of its relays.
	 * @returns The host.
	 */
	static async create(installation: RelayInstallation, names: readonly string[]): Promise<RelayHost> {
		return new ProcessRelayHost(installation, await createPlaces(installation, names));
	}

	protected readonly folder = mkdtempSync(path.join(tmpdir(), 'waydrift-host-'));
	private readonly children = new Map<string, Child>();

	/**
	 * @param name - Name of a relay.
	 * @param signal - Signal that its process gets.
	 */
	signal(name: string, signal: NodeJS.Signals): void {
		this.children.get(name)?.signal(signal);
	}

	override close(): void {
		rmSync(this.folder, {recursive: true});
	}

	protected override async launch(name: string, {ports, store}: RelayPlace, isFirstStart: boolean): Promise<StartedRelay> {
		const file = path.join(this.folder, `${name}.yaml`);
		writeFileSync(file, relaySettingsText({
			name, ports, storePort: store.port, grace, seeds: this.controlPorts.map(port => `127.0.0.1:${port}`), isFirstStart,
		}));
		const child = Child.start('src/command/main.js', ['relay', '--settings', file], this.nodeOptionsOf(name));
		this.children.set(name, child);
		return {
			name, port: ports.front, lines: child.lines, isReady: async () => isServing(ports.ready), kill: async () => child.kill(),
		};
	}

	/** @returns Options of Node.js for the process of a relay. */
	protected nodeOptionsOf(_name: string): readonly string[] {
		return [];
	}
}

async function isServing(port: number): Promise<boolean> {
	try {
		const {ok} = await fetch(`http://127.0.0.1:${port}${paths.ready}`);
		return ok;
	} catch {
		return false;
	}
}
