/**
 * A relay process of any build, which can be cut off from the store and from other relays. Development only.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Child} from '../harness/child.js';
import {relaySettingsText, type RelayPorts} from '../relay/relay-settings-text.js';
import type {StoreListener} from '../relay/store-standin.js';
import {DatagramProxy} from '../soak/datagram-proxy.js';
import {hookOptions} from '../soak/process-hooks.js';

const root = fileURLToPath(new URL('../../', import.meta.url));
/** Maximum duration of a graceful stop in seconds. */
const grace = 2;
/** Maximum duration of a readiness check in milliseconds. */
const readinessTimeout = 500;

/** Parameters of a relay. */
export type OrderRelayPlan = {
	readonly name: string;
	/** Path of the compiled entry point. */
	readonly program: string;
	/** Folder of the settings file. */
	readonly folder: string;
	readonly ports: RelayPorts;
	/** UDP port that the process binds in place of its control port. */
	readonly ownPort: number;
	/** The relay's own endpoint of the store. */
	readonly store: StoreListener;
	/** Control ports of all relays. */
	readonly controlPorts: readonly number[];
};

/** From what a relay is cut off. */
export type Isolation = {readonly store: boolean; readonly boxes: boolean};

/** The relay. */
export class OrderRelay {
	/**
	 * @param plan - Parameters of the relay.
	 * @returns The relay, whose process is starting.
	 */
	static async create(plan: OrderRelayPlan): Promise<OrderRelay> {
		const relay = new OrderRelay(plan, await DatagramProxy.create(plan.ports.control, plan.ownPort, () => 0));
		relay.isolate({store: false, boxes: false});
		relay.start();
		return relay;
	}

	/** Whether no datagram of this relay may reach another. */
	isMuted = false;
	private child: Child | undefined;
	private starts = 0;
	private earlierLines: Child['lines'] = [];

	private constructor(private readonly plan: OrderRelayPlan, readonly datagrams: DatagramProxy) {
		writeFileSync(this.clockFile, '0');
	}

	get name(): string {
		return this.plan.name;
	}

	/** TCP port for clients. */
	get port(): number {
		return this.plan.ports.front;
	}

	/** UDP port from which the process sends. */
	get ownPort(): number {
		return this.plan.ownPort;
	}

	/** Log lines of all processes of the relay. */
	get lines(): Child['lines'] {
		return [...this.earlierLines, ...this.child?.lines ?? []];
	}

	/** @returns Whether the relay reports that it is ready. */
	async isReady(): Promise<boolean> {
		try {
			const {ok} = await fetch(`http://127.0.0.1:${this.plan.ports.ready}/api/readyz`, {signal: AbortSignal.timeout(readinessTimeout)});
			return ok;
		} catch {
			return false;
		}
	}

	/** Starts the process, unless one runs. */
	start(): void {
		if (this.child && !this.child.isEnded) {
			return;
		}

		const {name, program, ports, store, controlPorts, ownPort} = this.plan;
		this.earlierLines = this.lines;
		writeFileSync(this.file('yaml'), relaySettingsText({
			name, ports, storePort: store.port, grace, seeds: controlPorts.map(port => `127.0.0.1:${port}`), isFirstStart: this.starts === 0,
		}));
		this.starts++;
		this.child = Child.start(path.relative(root, program), ['relay', '--settings', this.file('yaml')], hookOptions({
			clockFile: this.clockFile, networkFile: this.file('network'), toldPort: ports.control, ownPort,
		}));
	}

	/** Kills the process and waits for its exit. */
	async kill(): Promise<void> {
		await this.child?.kill();
	}

	/** Asks the process to stop and waits for its exit. */
	async stop(): Promise<void> {
		this.child?.signal('SIGTERM');
		await this.child?.exited;
	}

	/** @param signal - Signal that suspends or resumes the process. */
	signal(signal: 'SIGSTOP' | 'SIGCONT'): void {
		this.child?.signal(signal);
	}

	/** @param isolation - From what the relay is cut off from now on, also after a restart. */
	isolate({store, boxes}: Isolation): void {
		const ports = [...store ? [this.plan.store.port] : [], ...boxes ? this.plan.controlPorts : []];
		writeFileSync(this.file('network'), JSON.stringify({state: ports.length > 0 ? 'hang' : 'whole', ports}));
		this.plan.store.isClosed = store;
		this.datagrams.isShut = boxes;
		this.isMuted = boxes;
	}

	/** Kills the process and closes its proxy. */
	async close(): Promise<void> {
		this.signal('SIGCONT');
		await this.kill();
		this.datagrams.close();
	}

	private get clockFile(): string {
		return this.file('clock');
	}

	private file(kind: string): string {
		return path.join(this.plan.folder, `${this.plan.name}.${kind}`);
	}
}
