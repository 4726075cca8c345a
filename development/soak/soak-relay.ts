/**
 * A relay of a soak test: a separate process whose wall clock can be shifted. It reaches the store, and receives the datagrams of other
 * relays, through proxies that inject faults.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {Child} from '../harness/child.js';
import {FaultProxy} from '../harness/fault-proxy.js';
import type {RolloutBounds} from '../../src/settings/relay-settings.js';
import type {StoreListener} from '../relay/store-standin.js';
import {freeRelayPorts, relaySettingsText, type RelayPorts} from '../relay/relay-settings-text.js';
import {DatagramProxy, freeDatagramPort} from './datagram-proxy.js';
import {hookOptions, type ProcessPartition} from './process-hooks.js';

/** Parameters of a relay. */
export type SoakRelayOptions = {
	readonly name: string;
	/** Folder of the settings file. */
	readonly folder: string;
	/** The relay's own endpoint of the store. */
	readonly storeDoor: StoreListener;
	/** Draws which datagrams are lost. */
	readonly random: () => number;
	/** Addresses at which other relays receive gossip. */
	readonly seeds: readonly string[];
	/** Bounds of rollouts; without them the relay follows none. */
	readonly rollout?: RolloutBounds;
};

/** Grace period of a stop in seconds. A relay exits 0.9 s before its end; this must lie in the last sixth of the period. */
const grace = 6;

/**
 * Milliseconds after a stop signal within which a request may arrive that the end of the grace period cuts, and the fraction of the grace
 * period before which no request is cut.
 */
const cuttableAfterStop = 3000;
const uncutGraceShare = 5 / 6;
const millisecondsPerSecond = 1000;

/** A relay process with its proxies. */
export class SoakRelay {
	/**
	 * @param plan - Parameters of the relay.
	 * @returns The relay, whose process is starting.
	 */
	static async start(plan: SoakRelayOptions): Promise<SoakRelay> {
		const [ports, ownPort] = await Promise.all([freeRelayPorts(), freeDatagramPort()]);
		const [store, datagrams] = await Promise.all([FaultProxy.create(plan.storeDoor.port), DatagramProxy.create(ports.control, ownPort, plan.random)]);
		const relay = new SoakRelay(plan, ports, ownPort, {store, datagrams});
		relay.startProcess();
		return relay;
	}

	/** Whether the process was killed or asked to stop, and has not been restarted. */
	isStopping = false;
	/** Monotonic milliseconds of kills and suspensions: connections cut around these times are not a fault of the relay. */
	readonly kills: number[] = [];
	/** Monotonic milliseconds of the stop signals. */
	readonly stops: number[] = [];
	/** Number of processes that exited without being killed or asked to stop. */
	unexpectedExits = 0;
	private child: Child | undefined;
	private earlierLines: Child['lines'] = [];
	private starts = 0;

	private constructor(
		private readonly plan: SoakRelayOptions,
		readonly ports: RelayPorts,
		/** UDP port that the process binds, and from which it sends its datagrams. */
		readonly ownPort: number,
		private readonly proxies: {readonly store: FaultProxy; readonly datagrams: DatagramProxy},
	) {
		this.setClock(0);
		this.partition({state: 'whole', ports: []});
	}

	/** Proxy in front of the store. */
	get store(): FaultProxy {
		return this.proxies.store;
	}

	/** Proxy in front of the UDP port on which the relay receives gossip. */
	get datagrams(): DatagramProxy {
		return this.proxies.datagrams;
	}

	/** The relay's own endpoint of the store, which can refuse its calls. */
	get storeDoor(): StoreListener {
		return this.plan.storeDoor;
	}

	/** TCP port for client requests. */
	get port(): number {
		return this.ports.front;
	}

	/** Address at which other relays send gossip. */
	get exchange(): string {
		return `127.0.0.1:${this.ports.control}`;
	}

	get name(): string {
		return this.plan.name;
	}

	/** Log lines of all processes of the relay, including those before a restart. */
	get lines(): Child['lines'] {
		return [...this.earlierLines, ...this.child?.lines ?? []];
	}

	/** @returns Whether the relay reports that it is ready. */
	async isReady(): Promise<boolean> {
		try {
			const answer = await fetch(`http://127.0.0.1:${this.ports.ready}/api/readyz`, {signal: AbortSignal.timeout(1000)});
			return answer.status === 200;
		} catch {
			return false;
		}
	}

	/** Kills the process and restarts it. If a stop is in progress, {@link stop} restarts it instead. */
	async kill(): Promise<void> {
		const isStopped = this.isStopping;
		this.isStopping = true;
		this.kills.push(performance.now());
		await this.child?.kill();
		if (!isStopped) {
			this.startProcess();
		}
	}

	/** Asks the process to stop, waits for its exit, and restarts it. */
	async stop(): Promise<void> {
		if (this.isStopping) {
			return;
		}

		this.isStopping = true;
		this.stops.push(performance.now());
		this.child?.signal('SIGTERM');
		await this.child?.exited;
		this.startProcess();
	}

	/** @param signal - Signal that suspends or resumes the process. */
	signal(signal: 'SIGSTOP' | 'SIGCONT'): void {
		this.child?.signal(signal);
	}

	/** Makes the process reload its settings, unless it has no signal handler yet: the signal would terminate it. */
	reload(): void {
		if (this.child?.hasListenerFor('SIGHUP')) {
			this.child.signal('SIGHUP');
		}
	}

	/** @param isCutOff - Whether the relay is isolated from the store and receives no datagrams of other boxes, from now on. */
	cutOff(isCutOff: boolean): void {
		this.storeDoor.isClosed = isCutOff;
		this.datagrams.isShut = isCutOff;
		if (isCutOff) {
			// Closes open connections to the store: a pending watch would still deliver updates.
			this.store.fault = {kind: 'cut'};
			this.store.fault = {kind: 'none'};
		}
	}

	/** @param offset - Offset of the relay's wall clock in milliseconds; it persists over restarts. */
	setClock(offset: number): void {
		writeFileSync(this.clockFile, String(offset));
	}

	/** @param partition - Partition of the relay from TCP ports; it persists over restarts. */
	partition(partition: ProcessPartition): void {
		writeFileSync(this.networkFile, JSON.stringify(partition));
	}

	/**
	 * Changes the settings file and makes the process reload it.
	 *
	 * @param change - Fingerprints for the setting `released`, or `unreadable` for a file that is not valid.
	 */
	reloadWith(change: readonly string[] | 'unreadable'): void {
		writeFileSync(this.file, change === 'unreadable' ? 'node: [' : `${this.settings}quarantine: {released: [${change.join(', ')}]}\n`);
		this.reload();
	}

	/** Restores the usual settings and makes the process reload them. */
	restoreSettings(): void {
		writeFileSync(this.file, this.settings);
		this.reload();
	}

	/**
	 * @param from - Monotonic milliseconds at which a request was sent.
	 * @param to - Monotonic milliseconds at which its connection was closed.
	 * @returns Whether the end of a stop's grace period may have cut the request.
	 */
	mayHaveHitGraceEnd(from: number, to: number): boolean {
		return this.stops.some(at => from < at + cuttableAfterStop && to > at + (grace * millisecondsPerSecond * uncutGraceShare) && to < at + ((grace + 1) * millisecondsPerSecond));
	}

	/** Kills the process and closes its proxies. */
	async close(): Promise<void> {
		this.isStopping = true;
		this.child?.signal('SIGCONT');
		await this.child?.kill();
		this.store.close();
		this.datagrams.close();
	}

	private startProcess(): void {
		this.starts++;
		writeFileSync(this.file, this.settings);
		this.earlierLines = this.lines;
		const child = Child.start('src/command/main.js', ['relay', '--settings', this.file], hookOptions({
			clockFile: this.clockFile, networkFile: this.networkFile, toldPort: this.ports.control, ownPort: this.ownPort,
		}));
		this.child = child;
		this.isStopping = false;
		void child.exited.then(() => {
			if (this.child === child && !this.isStopping) {
				this.unexpectedExits++;
			}
		});
	}

	private get file(): string {
		return path.join(this.plan.folder, `${this.name}.yaml`);
	}

	private get clockFile(): string {
		return path.join(this.plan.folder, `${this.name}.clock`);
	}

	private get networkFile(): string {
		return path.join(this.plan.folder, `${this.name}.network`);
	}

	private get settings(): string {
		const {name, seeds, rollout} = this.plan;
		return relaySettingsText({
			name, ports: this.ports, storePort: this.store.port, grace, seeds, isFirstStart: this.starts === 1, rollout,
		});
	}
}
