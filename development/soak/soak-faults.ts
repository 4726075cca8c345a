/**
 * Injects the faults of a plan, and clears them.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {configurationKind, configurationName, replicaKind} from '../../platform/formats.js';
import type {ProxyFault} from '../harness/fault-proxy.js';
import type {NetworkState} from '../harness/network-state.js';
import {testKey, type RelayInstallation} from '../relay/relay-installation.js';
import type {ReplicaConduct, ReplicaStandin} from '../relay/replica-standin.js';
import {RawJson} from '../standins/raw-json.js';
import {isolationKey, revocableKey, type SoakClients} from './soak-clients.js';
import type {DatagramFault} from './datagram-proxy.js';
import type {SoakFault, SoakFaultKind} from './soak-plan.js';
import {poisonBodies, poisonMark} from './soak-poison.js';
import type {SoakRelay} from './soak-relay.js';
import type {SoakStreams, StreamFault} from './soak-streams.js';

/** Milliseconds for which a replica goes on serving after it has announced that it is leaving. */
export const drainTime = 2000;
/** Milliseconds between two attempts with this request. */
const poisonPause = 250;

/** Milliseconds after its revocation within which a key may still be used. */
export const revokeTime = 5000;
/** Milliseconds between the isolation of a box and the revocation of a key. */
const revokeDelay = 200;
/** Number of uses of the key after it has become invalid. */
const lateUses = 5;
/** Milliseconds before each of these uses. */
const lateUsePause = 200;
/** Offsets of a wall clock in milliseconds; the smallest is the least jump that counts as a suspension. */
const clockJumps = [250, 1500, 20_000, 3_600_000];
/** Limits that replicas announce, in requests per second. */
const announcedLimits = [0.5, 1, 3, 10];
/** Milliseconds for which replicas announce a limit: long enough for all boxes to learn of it. */
const limitTime = 6000;
/** Milliseconds between two changes of a changing limit. */
const limitPause = 300;
/** Fraction of the datagrams that is lost. */
const lossRate = 0.4;
/** Maximum delay of a datagram in milliseconds. */
const maxDatagramDelay = 400;
/** Mean milliseconds between two changes of the settings. */
const settingsPause = 60;
/** Milliseconds after which replicas and the operator rewrite what a restored store has lost. */
const rewriteDelay = 500;
/** Pauses without requests that replicas ask for, in seconds. */
const requestedPauses = [0.7, 1.5, 3];
/** HTTP statuses with which the store refuses the calls of a box. */
const storeRefusals = [503, 429];

const storeFaults: Partial<Readonly<Record<SoakFaultKind, ProxyFault>>> = {
	'store-cut': {kind: 'cut'}, 'store-frozen': {kind: 'freeze'}, 'store-delayed': {kind: 'delay', milliseconds: 120},
};
const replicaFaults: Partial<Readonly<Record<SoakFaultKind, Partial<ReplicaConduct>>>> = {
	'replica-errs': {fault: 'error'}, 'replica-cuts': {fault: 'cut'}, 'replica-mute': {fault: 'mute'}, 'replica-refuses': {fault: 'refuse'}, 'replica-garbles': {fault: 'wrong-id'},
};
const invalidEntries: readonly unknown[] = [{}, null, 'ready', [1], {service: 'plain', addr: 7, state: 'ready'}, {
	service: 'plain', addr: '127.0.0.1:99999', slots: 'many', state: 'ready',
}, RawJson.create(`${'['.repeat(20_000)}${']'.repeat(20_000)}`), {service: 'plain', addr: RawJson.create('1e400'), state: 'ready'}, 'x'.repeat(1_000_000)];

const versionOf = (configuration: unknown): number => (configuration as {readonly version: number}).version;

/** A replica whose entry was set to draining, and when, in monotonic milliseconds. */
export type Drain = {readonly replica: ReplicaStandin; readonly at: number};

/** A replica that announced limits, the greatest of them in requests per second, and when, in monotonic milliseconds. */
export type LimitPeriod = {readonly replica: ReplicaStandin; readonly limit: number; readonly from: number; readonly to: number};

/** A period in which a relay was isolated from the store and the other relays, in monotonic milliseconds. */
export type CutOff = {readonly relay: SoakRelay; readonly from: number; readonly to: number};

/** Injects the faults of one soak test, and records what the checks need to know of them. */
export class SoakFaults {
	/**
	 * @param installation - Store and replicas.
	 * @param relays - The relays.
	 * @param clients - Clients that send the request that crashes replicas, and requests under a revoked key.
	 * @param streams - Stream behaviour of the replicas.
	 * @param hasParts - Whether the requests that crash replicas differ and share a part of their prompts.
	 * @returns The injector, without a fault in force.
	 */
	static create(installation: RelayInstallation, relays: readonly SoakRelay[], clients: SoakClients, streams: SoakStreams, hasParts = false): SoakFaults {
		return new SoakFaults(installation, relays, clients, streams, hasParts);
	}

	readonly drains: Drain[] = [];
	/** Monotonic milliseconds of each crash of a replica caused by the poison request. */
	readonly poisonCrashes: number[] = [];
	/** Monotonic milliseconds at which each key was revoked. */
	readonly revokedAt = new Map<string, number>();
	/** Periods in which a relay was isolated. */
	readonly cutOffs: CutOff[] = [];
	readonly limitPeriods: LimitPeriod[] = [];
	private invalidEntryCount = 0;
	private isPoisoned = false;

	private constructor(
		private readonly installation: RelayInstallation,
		private readonly relays: readonly SoakRelay[],
		private readonly clients: SoakClients,
		private readonly streams: SoakStreams,
		private readonly hasParts: boolean,
	) {
		installation.crashOn(poisonMark, () => {
			this.poisonCrashes.push(performance.now());
		});
	}

	/**
	 * Injects all faults of a plan; completes when the last one is cleared.
	 *
	 * @param plan - Faults in the order of their start.
	 */
	async run(plan: readonly SoakFault[]): Promise<void> {
		const startedAt = performance.now();
		const running: Array<Promise<void>> = [];
		for (const fault of plan) {
			await pause(Math.max(0, startedAt + fault.at - performance.now()));
			running.push(this.inject(fault));
		}

		await Promise.all(running);
	}

	private async inject(fault: SoakFault): Promise<void> {
		const relay = this.relays[fault.target % this.relays.length]!;
		const ids = [...this.installation.replicas.keys()];
		const id = ids[fault.target % ids.length]!;
		const {kind, duration} = fault;
		const [group] = kind.split('-');
		switch (group) {
			case 'relay': {
				await this.injectRelayFault(kind, relay, duration);
				break;
			}

			case 'store': {
				await this.injectStoreFault(kind, relay, duration, fault.target);
				break;
			}

			case 'replica': {
				await this.injectReplicaFault(kind, id, duration);
				break;
			}

			case 'stream': {
				this.streams.faults.set(id, kind as StreamFault);
				await pause(duration);
				this.streams.faults.delete(id);
				break;
			}

			case 'clock': {
				relay.setClock(clockJumps[fault.target % clockJumps.length]! * (kind === 'clock-ahead' ? 1 : -1));
				await pause(duration);
				relay.setClock(0);
				break;
			}

			case 'datagrams': {
				await this.injectDatagramFault(relay, fault);
				break;
			}

			case 'box': {
				await this.injectIsolation(relay);
				break;
			}

			case 'network': {
				await this.injectPartition(kind === 'network-hangs' ? 'hang' : 'refuse', relay, duration);
				break;
			}

			case 'says': {
				await this.injectAnnouncement(kind, id, fault);
				break;
			}

			case 'limit': {
				await this.injectLimit(id, fault);
				break;
			}

			case 'settings': {
				await this.injectSettingsChanges(relay, fault);
				break;
			}

			default: {
				await this.injectInputFault(kind, id, fault);
			}
		}
	}

	private async injectPartition(state: NetworkState, relay: SoakRelay, duration: number): Promise<void> {
		const ports = [...this.installation.replicas.values()].filter(({isUp}) => isUp).map(({port}) => port);
		relay.partition({state, ports});
		await pause(duration);
		relay.partition({state: 'whole', ports});
	}

	private async injectRelayFault(kind: SoakFaultKind, relay: SoakRelay, duration: number): Promise<void> {
		switch (kind) {
			case 'relay-killed': {
				await relay.kill();
				break;
			}

			case 'relay-stopped': {
				await relay.stop();
				break;
			}

			case 'relay-frozen': {
				relay.kills.push(performance.now());
				relay.signal('SIGSTOP');
				await pause(duration);
				relay.signal('SIGCONT');
				break;
			}

			default: {
				relay.reload();
			}
		}
	}

	private async injectStoreFault(kind: SoakFaultKind, relay: SoakRelay, duration: number, target: number): Promise<void> {
		const {store} = this.installation;
		if (kind === 'store-turns-away') {
			relay.storeDoor.refusalStatus = storeRefusals[target % storeRefusals.length];
			await pause(duration);
			relay.storeDoor.refusalStatus = undefined;
			return;
		}

		const fault = storeFaults[kind];
		if (fault) {
			relay.store.fault = fault;
			await pause(duration);
			relay.store.fault = {kind: 'none'};
			return;
		}

		if (kind === 'store-restored') {
			await this.restoreStore(duration);
			return;
		}

		if (kind === 'store-forgets') {
			store.forgetHistory();
			return;
		}

		store.faults = {...store.faults, ...(kind === 'store-busy' ? {isBusy: true} : {losesAnswers: true})};
		await pause(duration);
		store.clearFaults();
	}

	/** Restores the store from a backup, so that recent writes are lost; replicas and the operator then rewrite their objects. */
	private async restoreStore(duration: number): Promise<void> {
		const {store} = this.installation;
		const copy = store.backUp();
		await pause(duration);
		const lost = store.backUp();
		store.restore(copy, duration % 2 === 0);
		await pause(rewriteDelay);
		for (const [id, entry] of this.installation.entries) {
			if (store.spec(replicaKind, id) !== entry) {
				store.put(replicaKind, id, entry);
			}
		}

		for (const id of [...copy.objects.get(replicaKind)?.keys() ?? []].filter(name => !this.installation.entries.has(name))) {
			store.remove(replicaKind, id);
		}

		const configuration = lost.objects.get(configurationKind)?.get(configurationName)?.spec;
		if (versionOf(store.spec(configurationKind, configurationName)) < versionOf(configuration)) {
			store.put(configurationKind, configurationName, configuration);
		}
	}

	/**
	 * Lets a replica refuse requests and ask for a pause, or announce in its answers that it is leaving while its entry still says that it
	 * is ready, and then end.
	 */
	private async injectAnnouncement(kind: SoakFaultKind, id: string, {duration, target}: SoakFault): Promise<void> {
		const replica = this.installation.replicas.get(id)!;
		if (!replica.isUp || replica.shedding !== undefined || replica.isLeaving) {
			return;
		}

		if (kind === 'says-pause') {
			replica.shedding = {every: 1 + (target % 3), retryAfter: String(requestedPauses[target % requestedPauses.length])};
			await pause(duration);
			replica.shedding = undefined;
			return;
		}

		replica.isLeaving = true;
		await pause(drainTime + duration);
		if (replica.isUp && this.installation.replicas.get(id) === replica) {
			await this.installation.crashReplica(id);
		}
	}

	/** Revokes a key while a box is isolated and can't learn of it; a client goes on using the key at this box. */
	private async injectIsolation(relay: SoakRelay): Promise<void> {
		const from = performance.now();
		relay.cutOff(true);
		await pause(revokeDelay);
		this.revokeKey(isolationKey);
		await pause(revokeTime);
		for (const index of Array.from({length: lateUses}).keys()) {
			await pause(lateUsePause);
			await this.clients.send('calls', `late use ${index}`, {relay, key: isolationKey});
		}

		relay.cutOff(false);
		this.cutOffs.push({relay, from, to: performance.now()});
	}

	/** Loses, delays or cuts off datagrams: for two in three targets at all relays, otherwise, and for one-way cuts, at one relay. */
	private async injectDatagramFault(relay: SoakRelay, {kind, duration, target}: SoakFault): Promise<void> {
		const affected = target % 3 === 0 || kind === 'datagrams-one-way' ? [relay] : this.relays;
		const others = new Set(this.relays.filter((_, index) => index % 2 === target % 2).map(({ownPort}) => ownPort));
		const fault: DatagramFault = kind === 'datagrams-lost'
			? {kind: 'lose', part: lossRate}
			: (kind === 'datagrams-late' ? {kind: 'delay', milliseconds: maxDatagramDelay} : {kind: 'cut-from', ports: others});
		for (const {datagrams} of affected) {
			datagrams.fault = fault;
		}

		await pause(duration);
		for (const {datagrams} of affected) {
			datagrams.fault = {kind: 'none'};
		}
	}

	/** Reloads one or all relays several times with changed settings, some of them unreadable, and then with the usual settings. */
	private async injectSettingsChanges(relay: SoakRelay, {duration, target}: SoakFault): Promise<void> {
		const affected = target % 2 === 0 ? [relay] : this.relays;
		const rounds = Math.max(1, Math.floor(duration / settingsPause));
		for (let round = 0; round < rounds; round++) {
			for (const affectedRelay of affected) {
				affectedRelay.reloadWith(round % 3 === 2 ? 'unreadable' : [`none-${round}`]);
			}

			// Some signals directly follow one another, others come after a delay.
			await pause(round % 2 === 0 ? settingsPause * 2 : 0);
		}

		for (const affectedRelay of affected) {
			affectedRelay.restoreSettings();
		}
	}

	private async injectReplicaFault(kind: SoakFaultKind, id: string, duration: number): Promise<void> {
		const replica = this.installation.replicas.get(id)!;
		if (!replica.isUp) {
			return;
		}

		const conduct = replicaFaults[kind];
		if (conduct) {
			replica.behave({...replica.conduct, ...conduct});
			await pause(duration);
			// The replica may have been restarted under the same id meanwhile.
			this.installation.replicas.get(id)!.behave({});
			return;
		}

		if (kind === 'replica-drains') {
			this.installation.list(id, {state: 'draining', seq: 9});
			this.drains.push({replica, at: performance.now()});
			await pause(drainTime + duration);
		}

		if (replica.isUp && this.installation.replicas.get(id) === replica) {
			await this.installation.crashReplica(id);
		}
	}

	private async injectLimit(id: string, {kind, target}: SoakFault): Promise<void> {
		const replica = this.installation.replicas.get(id)!;
		if (replica.limit !== undefined) {
			return;
		}

		const limit = announcedLimits[target % announcedLimits.length]!;
		const from = performance.now();
		const changes = kind === 'limit-named' ? 1 : limitTime / limitPause;
		for (const index of Array.from({length: changes}).keys()) {
			replica.limit = String(index % 2 === 0 ? limit : limit / 2);
			await pause(limitTime / changes);
		}

		replica.limit = undefined;
		this.limitPeriods.push({
			replica, limit, from, to: performance.now(),
		});
	}

	private async injectInputFault(kind: SoakFaultKind, id: string, {duration, target}: SoakFault): Promise<void> {
		const {installation} = this;
		switch (kind) {
			case 'entry-odd': {
				this.invalidEntryCount++;
				const name = `odd-${this.invalidEntryCount}`;
				installation.store.put(replicaKind, name, invalidEntries[target % invalidEntries.length]);
				await pause(duration);
				installation.unlist(name);
				break;
			}

			case 'entry-spoilt': {
				await this.corruptEntry(id, duration);
				break;
			}

			case 'configuration-bad': {
				const inForce = installation.store.spec(configurationKind, configurationName) as Readonly<Record<string, unknown>>;
				installation.store.put(configurationKind, configurationName, {...inForce, version: Number(inForce.version) + 1, routes: 'none'});
				await pause(duration);
				this.configure();
				break;
			}

			case 'key-taken': {
				this.revokeKey(revocableKey);
				break;
			}

			case 'poison': {
				await this.sendPoison();
				break;
			}

			default: {
				this.configure();
			}
		}
	}

	/** Corrupts an entry as another writer would; then its replica restores it, unless the entry was changed or removed meanwhile. */
	private async corruptEntry(id: string, duration: number): Promise<void> {
		const {store} = this.installation;
		const own = store.spec(replicaKind, id);
		if (own === undefined) {
			return;
		}

		const corrupted = {...own, slots: 'many'};
		store.put(replicaKind, id, corrupted);
		await pause(duration);
		if (store.spec(replicaKind, id) === corrupted) {
			store.put(replicaKind, id, this.installation.entries.get(id) ?? own);
		}
	}

	private revokeKey(key: string): void {
		if (!this.revokedAt.has(key)) {
			this.revokedAt.set(key, performance.now());
		}

		this.configure();
	}

	private configure(): void {
		this.installation.configure({
			tenants: [{
				name: 'basin', api_keys: [testKey, revocableKey, isolationKey].filter(key => !this.revokedAt.has(key)), unit: 'requests', plain_tokens: 1, rate_per_s: 0, burst: 0,
			}],
		});
	}

	/** Sends the request that crashes replicas repeatedly, to the relays in turn, whatever the answers are. */
	private async sendPoison(): Promise<void> {
		if (this.isPoisoned) {
			return;
		}

		this.isPoisoned = true;
		const sending = poisonBodies(this.hasParts).map(async (body, index) => {
			await pause(index * poisonPause);
			await this.clients.send('calls', body, {relay: this.relays[index % this.relays.length]!});
		});
		await Promise.all(sending);
	}
}
