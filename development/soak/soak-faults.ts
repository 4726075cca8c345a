/**
 * Brings the faults of a plan about, and heals them.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {configurationKind, configurationName, replicaKind} from '../../platform/formats.js';
import type {ProxyFault} from '../harness/fault-proxy.js';
import {testKey, type RelayInstallation} from '../relay/relay-installation.js';
import type {ReplicaConduct, ReplicaStandin} from '../relay/replica-standin.js';
import {loneKey, spareKey, type SoakClients} from './soak-clients.js';
import type {DatagramFault} from './datagram-proxy.js';
import type {SoakFault, SoakFaultKind} from './soak-plan.js';
import type {SoakRelay} from './soak-relay.js';
import type {SoakStreams, StreamFault} from './soak-streams.js';

/** Milliseconds for which a replica that says that it leaves serves on. */
export const drainTime = 2000;
/** What a body holds under which replicas end. */
export const poisonMark = 'poison of the soak';
/** Milliseconds between two tries of the client that sends it, and how many. */
const poisonPause = 250;
const poisonTries = 20;

/** Milliseconds in which a key that was taken away may still be used. */
export const revokeTime = 5000;
/** Milliseconds for which a box is cut off before a key is taken away, how often the key is used once it may not be, and between these. */
const beforeTaking = 200;
const lateUses = 5;
const lateUsePause = 200;
/** Milliseconds by which a wall clock is set off: the least that counts as a suspension, and more. */
const clockJumps = [250, 1500, 20_000, 3_600_000];
/** Requests a second that replicas in need name, and milliseconds for which they do: others have to hear of it first. */
const limitsNamed = [0.5, 1, 3, 10];
const limitTime = 6000;
/** Milliseconds between two changes of one that changes. */
const limitPause = 300;
/** Part of the datagrams that are lost, and milliseconds for which others wait at most. */
const lostPart = 0.4;
const datagramDelay = 400;
/** Milliseconds between changes of settings, on average. */
const settingsPause = 60;
/** Milliseconds after which replicas and the operator write again what the store has lost. */
const writingAgain = 500;
/** Seconds without requests that replicas ask for. */
const pausesAsked = [0.7, 1.5, 3];
/** HTTP statuses with which the store turns a box away. */
const storeRefusals = [503, 429];

const storeFaults: Partial<Readonly<Record<SoakFaultKind, ProxyFault>>> = {
	'store-cut': {kind: 'cut'}, 'store-frozen': {kind: 'freeze'}, 'store-delayed': {kind: 'delay', milliseconds: 120},
};
const replicaFaults: Partial<Readonly<Record<SoakFaultKind, Partial<ReplicaConduct>>>> = {
	'replica-errs': {fault: 'error'}, 'replica-cuts': {fault: 'cut'}, 'replica-mute': {fault: 'mute'}, 'replica-refuses': {fault: 'refuse'}, 'replica-garbles': {fault: 'wrong-id'},
};
const oddEntries: readonly unknown[] = [{}, null, 'ready', [1], {service: 'plain', addr: 7, state: 'ready'}, {
	service: 'plain', addr: '127.0.0.1:99999', slots: 'many', state: 'ready',
}];

const versionOf = (configuration: unknown): number => (configuration as {readonly version: number}).version;

/** A replica that said that it leaves. */
export type Drain = {readonly replica: ReplicaStandin; readonly at: number};

/** A replica that named limits, the greatest of them, and when, in monotonic milliseconds. */
export type LimitSpell = {readonly replica: ReplicaStandin; readonly limit: number; readonly from: number; readonly to: number};

/** A relay that nobody could tell anything, in monotonic milliseconds. */
export type CutOff = {readonly relay: SoakRelay; readonly from: number; readonly to: number};

/** The faults of one soak. */
export class SoakFaults {
	/**
	 * @param installation - Store and replicas.
	 * @param relays - The relays.
	 * @param clients - Who sends the request that ends replicas.
	 * @param streams - How replicas write streams.
	 * @returns Nothing is wrong yet.
	 */
	static create(installation: RelayInstallation, relays: readonly SoakRelay[], clients: SoakClients, streams: SoakStreams): SoakFaults {
		return new SoakFaults(installation, relays, clients, streams);
	}

	readonly drains: Drain[] = [];
	/** Monotonic milliseconds of each end of a replica under the request that ends them. */
	readonly poisonEnds: number[] = [];
	/** Monotonic milliseconds at which keys were taken away. */
	readonly takenAt = new Map<string, number>();
	/** Boxes that were cut off from everybody, and when. */
	readonly cutOffs: CutOff[] = [];
	readonly limitSpells: LimitSpell[] = [];
	private odd = 0;
	private isPoisoned = false;

	private constructor(
		private readonly installation: RelayInstallation,
		private readonly relays: readonly SoakRelay[],
		private readonly clients: SoakClients,
		private readonly streams: SoakStreams,
	) {
		installation.crashOn(poisonMark, () => {
			this.poisonEnds.push(performance.now());
		});
	}

	/** @param plan - Faults in order; ends when the last is healed. */
	async run(plan: readonly SoakFault[]): Promise<void> {
		const startedAt = performance.now();
		const running: Array<Promise<void>> = [];
		for (const fault of plan) {
			await pause(Math.max(0, startedAt + fault.at - performance.now()));
			running.push(this.strike(fault));
		}

		await Promise.all(running);
	}

	private async strike(fault: SoakFault): Promise<void> {
		const relay = this.relays[fault.target % this.relays.length]!;
		const ids = [...this.installation.replicas.keys()];
		const id = ids[fault.target % ids.length]!;
		const {kind, duration} = fault;
		const [group] = kind.split('-');
		switch (group) {
			case 'relay': {
				await this.strikeRelay(kind, relay, duration);
				break;
			}

			case 'store': {
				await this.strikeStore(kind, relay, duration, fault.target);
				break;
			}

			case 'replica': {
				await this.strikeReplica(kind, id, duration);
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
				await this.strikeDatagrams(relay, fault);
				break;
			}

			case 'box': {
				await this.strikeAlone(relay);
				break;
			}

			case 'says': {
				await this.strikeStatement(kind, id, fault);
				break;
			}

			case 'limit': {
				await this.strikeLimit(id, fault);
				break;
			}

			case 'settings': {
				await this.strikeSettings(relay, fault);
				break;
			}

			default: {
				await this.strikeInput(kind, id, fault);
			}
		}
	}

	private async strikeRelay(kind: SoakFaultKind, relay: SoakRelay, duration: number): Promise<void> {
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

	private async strikeStore(kind: SoakFaultKind, relay: SoakRelay, duration: number, target: number): Promise<void> {
		const {store} = this.installation;
		if (kind === 'store-turns-away') {
			relay.storeDoor.turnsAway = storeRefusals[target % storeRefusals.length];
			await pause(duration);
			relay.storeDoor.turnsAway = undefined;
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
		store.heal();
	}

	/** The store loses what was written for a while; replicas and the operator write theirs again soon. */
	private async restoreStore(duration: number): Promise<void> {
		const {store} = this.installation;
		const copy = store.copy();
		await pause(duration);
		const lost = store.copy();
		store.restore(copy, duration % 2 === 0);
		await pause(writingAgain);
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

	/** A replica says that it leaves while its entry says that it is ready, and ends; or it turns requests away and asks for a pause. */
	private async strikeStatement(kind: SoakFaultKind, id: string, {duration, target}: SoakFault): Promise<void> {
		const replica = this.installation.replicas.get(id)!;
		if (!replica.isUp || replica.shedding !== undefined || replica.isLeaving) {
			return;
		}

		if (kind === 'says-pause') {
			replica.shedding = {every: 1 + (target % 3), retryAfter: String(pausesAsked[target % pausesAsked.length])};
			await pause(duration);
			replica.shedding = undefined;
			return;
		}

		replica.isLeaving = true;
		await pause(drainTime + duration);
		if (replica.isUp && this.installation.replicas.get(id) === replica) {
			await this.installation.end(id);
		}
	}

	/** A key is taken away while a box can hear of it from nobody; a client with an open connection goes on using it there. */
	private async strikeAlone(relay: SoakRelay): Promise<void> {
		const from = performance.now();
		relay.cutOff(true);
		await pause(beforeTaking);
		this.takeAway(loneKey);
		await pause(revokeTime);
		for (const index of Array.from({length: lateUses}).keys()) {
			await pause(lateUsePause);
			await this.clients.send('calls', `late use ${index}`, {relay, key: loneKey});
		}

		relay.cutOff(false);
		this.cutOffs.push({relay, from, to: performance.now()});
	}

	/** Two of three times all relays lose what comes, else the struck one alone. */
	private async strikeDatagrams(relay: SoakRelay, {kind, duration, target}: SoakFault): Promise<void> {
		const struck = target % 3 === 0 || kind === 'datagrams-one-way' ? [relay] : this.relays;
		const others = new Set(this.relays.filter((_, index) => index % 2 === target % 2).map(({ownPort}) => ownPort));
		const fault: DatagramFault = kind === 'datagrams-lost'
			? {kind: 'lose', part: lostPart}
			: (kind === 'datagrams-late' ? {kind: 'delay', milliseconds: datagramDelay} : {kind: 'cut-from', ports: others});
		for (const {datagrams} of struck) {
			datagrams.fault = fault;
		}

		await pause(duration);
		for (const {datagrams} of struck) {
			datagrams.fault = {kind: 'none'};
		}
	}

	/** Settings change and change back, several times, while others are told the same; some cannot be read. */
	private async strikeSettings(relay: SoakRelay, {duration, target}: SoakFault): Promise<void> {
		const struck = target % 2 === 0 ? [relay] : this.relays;
		const rounds = Math.max(1, Math.floor(duration / settingsPause));
		for (let round = 0; round < rounds; round++) {
			for (const one of struck) {
				one.reloadWith(round % 3 === 2 ? 'unreadable' : [`none-${round}`]);
			}

			// Signals that come together, and some apart.
			await pause(round % 2 === 0 ? settingsPause * 2 : 0);
		}

		for (const one of struck) {
			one.reloadUsual();
		}
	}

	private async strikeReplica(kind: SoakFaultKind, id: string, duration: number): Promise<void> {
		const replica = this.installation.replicas.get(id)!;
		if (!replica.isUp) {
			return;
		}

		const conduct = replicaFaults[kind];
		if (conduct) {
			replica.behave({...replica.conduct, ...conduct});
			await pause(duration);
			// It may have started again meanwhile.
			this.installation.replicas.get(id)!.behave({});
			return;
		}

		if (kind === 'replica-drains') {
			this.installation.list(id, {state: 'draining', seq: 9});
			this.drains.push({replica, at: performance.now()});
			await pause(drainTime + duration);
		}

		if (replica.isUp && this.installation.replicas.get(id) === replica) {
			await this.installation.end(id);
		}
	}

	private async strikeLimit(id: string, {kind, target}: SoakFault): Promise<void> {
		const replica = this.installation.replicas.get(id)!;
		if (replica.limit !== undefined) {
			return;
		}

		const limit = limitsNamed[target % limitsNamed.length]!;
		const from = performance.now();
		const changes = kind === 'limit-named' ? 1 : limitTime / limitPause;
		for (const index of Array.from({length: changes}).keys()) {
			replica.limit = String(index % 2 === 0 ? limit : limit / 2);
			await pause(limitTime / changes);
		}

		replica.limit = undefined;
		this.limitSpells.push({
			replica, limit, from, to: performance.now(),
		});
	}

	private async strikeInput(kind: SoakFaultKind, id: string, {duration, target}: SoakFault): Promise<void> {
		const {installation} = this;
		switch (kind) {
			case 'entry-odd': {
				this.odd++;
				const name = `odd-${this.odd}`;
				installation.store.put(replicaKind, name, oddEntries[target % oddEntries.length]);
				await pause(duration);
				installation.unlist(name);
				break;
			}

			case 'entry-spoilt': {
				await this.spoil(id, duration);
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
				this.takeAway(spareKey);
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

	/** Another writer spoils an entry; its replica writes the same again, unless it has said something else or gone meanwhile. */
	private async spoil(id: string, duration: number): Promise<void> {
		const {store} = this.installation;
		const own = store.spec(replicaKind, id);
		if (own === undefined) {
			return;
		}

		const spoilt = {...own, slots: 'many'};
		store.put(replicaKind, id, spoilt);
		await pause(duration);
		if (store.spec(replicaKind, id) === spoilt) {
			store.put(replicaKind, id, this.installation.entries.get(id) ?? own);
		}
	}

	private takeAway(key: string): void {
		if (!this.takenAt.has(key)) {
			this.takenAt.set(key, performance.now());
		}

		this.configure();
	}

	private configure(): void {
		this.installation.configure({
			tenants: [{
				name: 'basin', api_keys: [testKey, spareKey, loneKey].filter(key => !this.takenAt.has(key)), unit: 'requests', plain_tokens: 1, rate_per_s: 0, burst: 0,
			}],
		});
	}

	/** One request comes again and again at relays in turn, whatever it is told. */
	private async sendPoison(): Promise<void> {
		if (this.isPoisoned) {
			return;
		}

		this.isPoisoned = true;
		const sending = Array.from({length: poisonTries}, async (_, index) => {
			await pause(index * poisonPause);
			await this.clients.send('calls', poisonMark, {relay: this.relays[index % this.relays.length]!});
		});
		await Promise.all(sending);
	}
}
